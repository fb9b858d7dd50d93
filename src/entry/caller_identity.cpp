#include "entry/caller_identity.h"

#include "blackboard/board.h"
#include "entry/refusal_json.h"
#include "util/digest.h"

#include <httplib.h>

#include <algorithm>
#include <string_view>

namespace lagoonferry {

std::string caller_identity::full_name() const
{
    return service->record.service + '/' + account;
}

std::optional<caller_identity> identify(const httplib::Request& request, const std::string& service,
                                        const board& shared, refusal& why)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    const auto documents = shared.documents.read();
    if (!header.starts_with(scheme)) {
        why = refuse(result_code::unauthorized, "the header Authorization: Bearer <key> is missing");
        return std::nullopt;
    }
    const auto known = documents->accounts_by_digest.find(digest_hex(std::string_view(header).substr(scheme.size())));
    if (known == documents->accounts_by_digest.end()) {
        why = refuse(result_code::unauthorized, "no account has this key");
        return std::nullopt;
    }
    const auto& refs = known->second;
    const auto it = service.empty() ? refs.begin() : std::ranges::find(refs, service, &account_ref::service);
    if (it == refs.end() || (service.empty() && refs.size() > 1)) {
        why = refuse(result_code::unknown_service, service.empty()
                                                       ? "the key belongs to several services: name one in X-Service"
                                                       : "the account has no service of this name");
        return std::nullopt;
    }
    return caller_identity{documents->services.at(it->service), it->account};
}

} // namespace lagoonferry
