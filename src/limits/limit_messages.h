#pragma once

#include "limits/request_record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace lagoonferry {

/// Asks the owner of an account's limit for requests.
struct limit_request {
    std::uint64_t id = 0; ///< of this demand; the same in each retransmission
    std::string account;
    std::uint32_t wanted = 1;
    bool starts_program = false;
    std::uint32_t max_wait_ms = 0;
    bool decide_anyway = false; ///< the receiver decides even if it does not take itself for the owner
    bool owner_silent = false;  ///< the owner did not reply, so the receiver decides on its behalf
};

enum class limit_verdict {
    decided,
    not_owner, ///< the receiver takes the gateway `owner` for the owner
    unknown,   ///< the receiver does not know the account
};

struct limit_reply {
    std::uint64_t id = 0;
    limit_verdict verdict = limit_verdict::decided;
    std::uint32_t granted = 0;
    std::uint32_t delay_ms = 0; ///< if granted: time until the request may run; otherwise time until one may be granted
    std::string owner;
};

/// Corrects the grants of a gateway.
struct limit_adjustment {
    std::string account;
    std::uint32_t returned = 0; ///< granted requests that no target has run
    std::uint32_t charged = 0;  ///< requests that ran without a grant
};

enum class limit_copy_purpose {
    backup,   ///< the record has changed; the receiver replies with its own
    reply,    ///< the sender replies with what it has
    transfer, ///< the receiver owns the record from now on
    request,  ///< the sender asks for the record, to own it
};

/// A copy of an account's record, or the statement that there is none.
struct limit_copy {
    std::string account;
    limit_copy_purpose purpose = limit_copy_purpose::backup;
    bool sender_owns = false;
    std::optional<request_record> record; ///< its level is of the time of sending
};

using limit_message = std::variant<limit_request, limit_reply, limit_adjustment, limit_copy>;

nlohmann::json to_json(const limit_request& message);
nlohmann::json to_json(const limit_reply& message);
nlohmann::json to_json(const limit_adjustment& message);
nlohmann::json to_json(const limit_copy& message);

/// Parse a message. Return nothing when a field is missing or has a wrong type or range. Thread-safe.
std::optional<limit_request> limit_request_from(const nlohmann::json& message);
std::optional<limit_reply> limit_reply_from(const nlohmann::json& message);
std::optional<limit_adjustment> limit_adjustment_from(const nlohmann::json& message);
std::optional<limit_copy> limit_copy_from(const nlohmann::json& message);

} // namespace lagoonferry
