#include "entry/caller_identity.h"

#include "blackboard/board.h"
#include "entry/refusal_json.h"
#include "util/digest.h"

#include <httplib.h>

#include <algorithm>
#include <string_view>

namespace lagoonferry {

namespace {

/// A process that starts reads the documents within this time if the key-value service or a peer replies.
constexpr std::uint64_t documents_retry_ms = 500;

/// Returns the refusal of an unknown key or service. Until a process has read all documents, the key may belong to one
/// that it has not read, so the refusal then asks the caller to retry.
refusal unknown_caller(const document_view& documents, result_code code, std::string text)
{
    return documents.ready ? make_refusal(code, std::move(text))
                           : make_refusal(result_code::platform_unavailable,
                                          "the service documents have not been read yet", documents_retry_ms);
}

} // namespace

std::string caller_identity::full_name() const
{
    return service->record.service + '/' + account;
}

std::optional<caller_identity> identify(const httplib::Request& request, const std::string& service,
                                        const board& shared, refusal& error)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    const auto documents = shared.documents.read();
    if (!header.starts_with(scheme)) {
        error = make_refusal(result_code::unauthorized, "the header Authorization: Bearer <key> is missing");
        return std::nullopt;
    }
    const auto known = documents->accounts_by_digest.find(digest_hex(std::string_view(header).substr(scheme.size())));
    if (known == documents->accounts_by_digest.end()) {
        error = unknown_caller(*documents, result_code::unauthorized, "no account has this key");
        return std::nullopt;
    }
    const auto& refs = known->second;
    const auto it = service.empty() ? refs.begin() : std::ranges::find(refs, service, &account_ref::service);
    if (it == refs.end() || (service.empty() && refs.size() > 1)) {
        error = service.empty() ? make_refusal(result_code::unknown_service,
                                               "the key belongs to several services: name one in X-Service")
                                : unknown_caller(*documents, result_code::unknown_service,
                                                 "the key belongs to no service of this name");
        return std::nullopt;
    }
    return caller_identity{documents->services.at(it->service), it->account};
}

} // namespace lagoonferry
