#include "backends/fencing_headers.h"

namespace lagoonferry {

void add_fencing_headers(http_headers& headers, const std::optional<fencing_token>& fence)
{
    if (!fence) {
        return;
    }
    headers.emplace_back("X-Fence", std::to_string(fence->number));
    if (!fence->scope.empty()) {
        headers.emplace_back("X-Fence-Scope", fence->scope);
    }
}

} // namespace lagoonferry
