#pragma once

#include "util/result_code.h"
#include "util/service_class.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonferry {

// Messages between slot holders (entry processes) and dispatchers. They are sent as CBOR in datagrams. To keep them
// small, field names have one or two letters and default values are omitted. All messages are idempotent. Times are
// durations, because the clocks of two processes have different origins.

/// Requests a slot. Retransmitted with the same request id until answered; a repeated acquire gets the same grant.
struct slot_acquire {
    std::uint64_t request = 0; ///< unique within the holder
    std::string holder;        ///< instance id of the sender
    std::string service;
    std::string model;
    std::string account;
    service_class priority = service_class::normal;
    /// Service that the program has received so far: generated tokens plus a tenth of the computed prompt tokens.
    std::uint64_t attained_service = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output = 0;     ///< tokens; 0 when the caller gives no estimate
    std::uint64_t prefix = 0;              ///< identifies the program's prompt prefix; 0 if nothing can be reused
    std::chrono::milliseconds deadline{0}; ///< time left for this call; 0 for none
    std::vector<std::string> excluded;     ///< targets that have already failed this call
};

/// Reply to an acquire: send the call to `target`.
struct slot_grant {
    std::uint64_t request = 0;
    std::uint64_t slot = 0;
    std::string target;
    std::uint64_t epoch = 0; ///< incarnation of the dispatcher
};

/// Reply to an acquire: the call was not run; retry after `retry_after`.
struct slot_refuse {
    std::uint64_t request = 0;
    std::chrono::milliseconds retry_after{0};
    result_code reason = result_code::overloaded; ///< `overloaded`, `deadline_exceeded` or `no_target`
};

/// Withdraws an acquire. If the grant is already in transit, its slot is freed.
struct slot_cancel {
    std::uint64_t request = 0;
    std::string holder;
};

/// Returns a slot, with the observations of the call. Retransmitted until `slot_released` arrives.
struct slot_release {
    std::uint64_t slot = 0;
    std::string holder;
    std::uint32_t first_token_us = 0; ///< from sending the call to its first token; 0 when there was none
    std::uint32_t per_token_us = 0;   ///< mean time between tokens; 0 with fewer than two tokens
    std::uint32_t tokens = 0;         ///< generated in this slot
    std::uint32_t cached_tokens = 0;  ///< prompt tokens that were in the engine's prefix cache
    bool failed = false;              ///< the target failed the call
    bool preempted = false;           ///< released because of a `slot_preempt`; the prefix stays cached at the target
};

/// Confirms a release or cancel, also a repeated one.
struct slot_released {
    std::uint64_t slot = 0;    ///< 0 for a cancel
    std::uint64_t request = 0; ///< 0 for a release
};

/// Requests that the holder frees a slot for an urgent call: it cancels the running call, releases the slot as
/// preempted, acquires a new one and resumes the call.
struct slot_preempt {
    std::uint64_t slot = 0;
};

/// Tokens received so far on one slot.
struct slot_tokens {
    std::uint64_t slot = 0;
    std::uint32_t tokens = 0;
};

/// Sent by a holder once a second as a heartbeat, with the progress of its slots.
struct slot_progress {
    std::string holder;
    std::vector<slot_tokens> slots;
};

/// One slot in a `slot_report`.
struct held_slot {
    std::uint64_t slot = 0;
    std::uint64_t request = 0;
    std::string target;
    service_class priority = service_class::normal;
    std::uint64_t prefix = 0;
    std::uint32_t prompt_tokens = 0;
};

/// Reports all slots that a holder has in one group. Sent after a change of dispatcher and in reply to a `slot_query`.
/// Slots that no part of the report lists are free. A report consists of `parts` datagrams with the same number
/// `report`; `complete` is set if a single one lists all slots.
struct slot_report {
    std::string holder;
    std::vector<held_slot> slots;
    bool complete = true;
    std::uint64_t epoch = 0;  ///< highest epoch that the holder has accepted in this group; 0 for none
    std::uint32_t report = 0; ///< sequence number of the report
    std::uint32_t part = 0;   ///< index of this message in its report
    std::uint32_t parts = 1;
};

/// Sent by a dispatcher that does not know a slot or starts to serve a group. If `epoch` is not lower than the one that
/// the holder has accepted, the holder follows the dispatcher and replies with a `slot_report`.
struct slot_query {
    std::uint64_t epoch = 0;
};

/// The epoch that is valid for the sender:
/// - A dispatcher replies with it to a repeated acquire that still waits, to show that it is alive.
/// - A holder sends it to a dispatcher with a lower epoch, which then stops granting slots.
/// - A dispatcher that has been replaced replies to an acquire with the epoch of its successor. A holder that still
///   follows it then reports with that epoch, so that the dispatcher takes over again.
struct slot_epoch {
    std::uint64_t epoch = 0;
};

using slot_message = std::variant<slot_acquire, slot_grant, slot_refuse, slot_cancel, slot_release, slot_released,
                                  slot_preempt, slot_progress, slot_report, slot_query, slot_epoch>;

void to_json(nlohmann::json& out, const slot_acquire& m);
void from_json(const nlohmann::json& in, slot_acquire& m);
void to_json(nlohmann::json& out, const slot_grant& m);
void from_json(const nlohmann::json& in, slot_grant& m);
void to_json(nlohmann::json& out, const slot_refuse& m);
void from_json(const nlohmann::json& in, slot_refuse& m);
void to_json(nlohmann::json& out, const slot_cancel& m);
void from_json(const nlohmann::json& in, slot_cancel& m);
void to_json(nlohmann::json& out, const slot_release& m);
void from_json(const nlohmann::json& in, slot_release& m);
void to_json(nlohmann::json& out, const slot_released& m);
void from_json(const nlohmann::json& in, slot_released& m);
void to_json(nlohmann::json& out, const slot_preempt& m);
void from_json(const nlohmann::json& in, slot_preempt& m);
void to_json(nlohmann::json& out, const slot_tokens& m);
void from_json(const nlohmann::json& in, slot_tokens& m);
void to_json(nlohmann::json& out, const slot_progress& m);
void from_json(const nlohmann::json& in, slot_progress& m);
void to_json(nlohmann::json& out, const held_slot& m);
void from_json(const nlohmann::json& in, held_slot& m);
void to_json(nlohmann::json& out, const slot_report& m);
void from_json(const nlohmann::json& in, slot_report& m);
void to_json(nlohmann::json& out, const slot_query& m);
void from_json(const nlohmann::json& in, slot_query& m);
void to_json(nlohmann::json& out, const slot_epoch& m);
void from_json(const nlohmann::json& in, slot_epoch& m);

/// Encodes a message. Field "t" is the index of its type in `slot_message`. Thread-safe.
nlohmann::json encode_slot_message(const slot_message& message);

/// Decodes a message of `encode_slot_message`. Returns nothing for an unknown kind, a wrong type or a value out of
/// range. Thread-safe.
std::optional<slot_message> decode_slot_message(const nlohmann::json& in);

} // namespace lagoonferry
