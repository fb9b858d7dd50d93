#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonferry {

/// Prints a table with left-aligned columns; the first row is the heading. Thread-safe.
void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

} // namespace lagoonferry
