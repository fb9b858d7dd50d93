#pragma once

#include "backends/engine_answer.h"
#include "dispatch/retry_policy.h"
#include "dispatch/slot_holder.h"
#include "entry/call_options.h"
#include "program/action.h"
#include "program/event.h"

#include <caf/actor.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lagoonferry {

struct board;
struct engine_call;
class engine_client;
class slot_ticket;

/// Result of the engine call of a turn.
using turn_result = std::variant<engine_completed, engine_failed>;

/// Runs model calls: gets a slot from the dispatcher, streams from the target, and resumes on another target after a
/// failure or a preemption, within the retry budget and the deadline. Thread-safe; a call blocks its thread.
class turn_runner {
public:
    /// Receives the text of one token. Returns false if the caller has disconnected, which cancels the call.
    using token_sink = std::function<bool(std::string_view text)>;

    /// `shared` and `engines` must outlive this object.
    turn_runner(const board* shared, caf::actor slots, engine_client* engines, std::uint64_t seed);

    /// Runs one call until it completes or fails.
    turn_result run(const start_engine_call& work, const call_options& options, const token_sink& sink);

    /// Result and measurements of one attempt.
    struct attempt_result {
        std::string target;
        timestamp sent{0};
        timestamp first_token{0}; ///< 0 without a token
        timestamp last_token{0};
        bool resumed = false; ///< an earlier attempt delivered the first token of the call
        std::uint32_t tokens = 0;
        engine_answer answer;
        bool preempted = false;
        bool caller_disconnected = false;

        /// Returns whether the first token of the call came from this attempt, not from an earlier one that it resumes.
        bool delivered_first_token() const { return tokens > 0 && !resumed; }
    };

    /// Called after each attempt, for metrics. Set before the first call; must be thread-safe.
    void set_observer(std::function<void(const call_options&, const attempt_result&)> observer);

private:
    struct call_progress;

    bool get_slot(call_progress& call, const call_options& options);
    void stream(call_progress& call, const call_options& options, const token_sink& sink);

    /// Sets the failure of the last attempt. Returns true, after the backoff, if another attempt may start.
    bool prepare_retry(call_progress& call, const call_options& options);
    engine_call make_engine_call(const call_progress& call, const call_options& options) const;
    void release_slot(const call_progress& call, const attempt_result& attempt) const;

    const board* m_board;
    caf::actor m_slots;
    engine_client* m_engines;
    std::mutex m_mutex;
    retry_policy m_retries;
    std::function<void(const call_options&, const attempt_result&)> m_observer;
};

} // namespace lagoonferry
