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

// Messages between slot holders (entry processes) and dispatchers. They travel as CBOR in datagrams, so the JSON field
// names are one or two letters and default values are left out. All are idempotent. Times are durations, because the
// clocks of two processes have different origins.

/// Asks for a slot. Retransmitted with the same request id until answered; a repeated acquire gets the same grant.
struct slot_acquire {
    std::uint64_t request = 0; ///< unique within the holder
    std::string holder;        ///< instance id of the sender
    std::string service;
    std::string model;
    std::string account;
    service_class priority = service_class::normal;
    /// What the program has received so far: generated tokens plus a tenth of the prompt tokens that were computed.
    std::uint64_t attained_service = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output = 0;     ///< tokens; 0 when the caller gives no estimate
    std::uint64_t prefix = 0;              ///< identifies the program's prompt prefix; 0 when nothing is reusable
    std::chrono::milliseconds deadline{0}; ///< time left for this call; 0 for none
    std::vector<std::string> excluded;     ///< targets that have already failed this call
};

/// Answer to an acquire: send the call to `target`.
struct slot_grant {
    std::uint64_t request = 0;
    std::uint64_t slot = 0;
    std::string target;
    std::uint64_t epoch = 0; ///< incarnation of the dispatcher
};

/// Answer to an acquire: the call was not run; ask again after `retry_after`.
struct slot_refuse {
    std::uint64_t request = 0;
    std::chrono::milliseconds retry_after{0};
    result_code reason = result_code::overloaded; ///< `overloaded`, `deadline_exceeded` or `no_target`
};

/// Withdraws an acquire, also when its grant is on the way; that slot is then free again.
struct slot_cancel {
    std::uint64_t request = 0;
    std::string holder;
};

/// Returns a slot with what was observed. Retransmitted until `slot_released` arrives.
struct slot_release {
    std::uint64_t slot = 0;
    std::string holder;
    std::uint32_t first_token_us = 0; ///< from sending the call to its first token; 0 when there was none
    std::uint32_t per_token_us = 0;   ///< mean time between tokens; 0 with fewer than two tokens
    std::uint32_t tokens = 0;         ///< generated in this slot
    std::uint32_t cached_tokens = 0;  ///< prompt tokens that the engine found in its cache
    bool failed = false;              ///< the target failed the call
    bool preempted = false;           ///< given up on a `slot_preempt`; the prefix stays cached at the target
};

/// Confirms a release or cancel, also a repeated one.
struct slot_released {
    std::uint64_t slot = 0;    ///< 0 for a cancel
    std::uint64_t request = 0; ///< 0 for a release
};

/// Asks the holder to make room for urgent work: cancel the call, release the slot as preempted, acquire again and
/// resume.
struct slot_preempt {
    std::uint64_t slot = 0;
};

/// Tokens received so far on one slot.
struct slot_tokens {
    std::uint64_t slot = 0;
    std::uint32_t tokens = 0;
};

/// Sign of life of a holder once a second, with the progress of its slots.
struct slot_progress {
    std::string holder;
    std::vector<slot_tokens> slots;
};

/// One slot in a `slot_report` report.
struct held_slot {
    std::uint64_t slot = 0;
    std::uint64_t request = 0;
    std::string target;
    service_class priority = service_class::normal;
    std::uint64_t prefix = 0;
    std::uint32_t prompt_tokens = 0;
};

/// All slots a holder has in one group: after a change of dispatcher and on a `slot_query`. Slots that no part of a
/// report lists are free.
/// `complete` says that this one message lists all of them; a report that needs several datagrams has `parts` of them
/// with the same number `report`.
struct slot_report {
    std::string holder;
    std::vector<held_slot> slots;
    bool complete = true;
    std::uint64_t epoch = 0;  ///< highest epoch the holder has accepted in this group; 0 for none
    std::uint32_t report = 0; ///< counts the reports of the holder
    std::uint32_t part = 0;   ///< index of this message in its report
    std::uint32_t parts = 1;
};

/// Sent by a dispatcher that does not know a slot or starts to serve a group: the holder follows the dispatcher if the
/// epoch is not lower than the one it has accepted, and answers with `slot_report`.
struct slot_query {
    std::uint64_t epoch = 0;
};

/// The epoch in force for the sender. A dispatcher answers a repeated acquire that still waits with it, as a sign of
/// life. A holder answers a dispatcher with a lower epoch, which then stops to grant. A dispatcher that was replaced
/// answers an acquire with the epoch of its successor; a holder that still follows it then reports with that epoch, so
/// that the dispatcher takes over again.
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

/// Encodes any message with its kind in field "t". Thread-safe.
nlohmann::json encode_slot_message(const slot_message& message);

/// Decodes what `encode_slot_message` made; nothing for an unknown kind, a wrong type or a value out of range.
/// Thread-safe.
std::optional<slot_message> decode_slot_message(const nlohmann::json& in);

} // namespace lagoonferry
