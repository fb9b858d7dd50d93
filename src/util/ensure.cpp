#include "util/ensure.h"

#include <cstdlib>
#include <iostream>

namespace lagoonferry {

void ensure_failed(std::string_view text, const std::source_location& place)
{
    std::cerr << "ensure: " << text << " at " << place.file_name() << ':' << place.line() << std::endl;
    std::abort();
}

} // namespace lagoonferry
