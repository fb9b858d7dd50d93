#include "dispatch/document_shares.h"

namespace lagoonferry {

per_class<double> class_shares(const service_document& document)
{
    per_class<double> shares{};
    std::uint32_t reserved = 0;
    for (std::size_t n = 0; n < class_count; ++n) {
        shares.at(n) = (100.0 - reserved) / 100;
        reserved += document.priorities.at(n).headroom_percent;
    }
    return shares;
}

void add_account_weights(const service_document& document, std::map<std::string, double, std::less<>>& weights)
{
    for (const account& item : document.accounts) {
        weights[document.service + '/' + item.name] = item.weight;
    }
}

} // namespace lagoonferry
