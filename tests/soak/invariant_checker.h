#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::soak {

/// How often a request may run: `safe` any number of times, `unsafe` at most once, `stream` again after the last event
/// that the caller received, `kept_turn` like a stream whose history the system keeps.
enum class request_kind { safe, unsafe, stream, kept_turn };

/// Checks the documented guarantees of the system against the observations of callers and targets. Records one line per
/// violation. Not thread-safe.
class invariant_checker {
public:
    /// Records that a caller sends a request with this id.
    void on_sent(const std::string& id, request_kind kind);

    /// Records that a target starts to run a request.
    void on_started(const std::string& id, const std::string& target);

    /// Records a response of the system, not of a target, which states that the request has not run.
    void on_refused(const std::string& id, unsigned status);

    /// Records a complete successful response. `names_this_request`: the body belongs to this request.
    void on_success(const std::string& id, bool signed_by_target, bool names_this_request);

    /// Records that a caller received the event `id` after the event `last` (0: the first event).
    void on_event(const std::string& request, std::uint64_t id, std::uint64_t last);

    /// Records tokens received for a program. The budget may be exceeded by at most one turn, `max_turn_tokens`.
    void on_tokens(const std::string& program, std::uint64_t tokens, std::uint64_t budget,
                   std::uint64_t max_turn_tokens);

    /// Records that a caller received the whole response to a turn whose history the system keeps.
    void on_turn_served(const std::string& id, const std::string& previous, std::string_view input,
                        std::string_view output);

    /// Records the body that a target received for such a turn. `input` is what the caller sent.
    void on_turn_started(const std::string& id, const std::string& previous, std::string_view input,
                         std::string_view body);

    /// Records a response which states that the previous turn does not exist.
    void on_turn_unknown(const std::string& id, const std::string& previous);

    /// Records any other violation.
    void add_violation(std::string line);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t runs() const { return m_runs.size(); }

private:
    struct request_state {
        request_kind kind = request_kind::safe;
        bool refused = false;
        std::vector<std::string> ran_at;
    };

    std::map<std::string, request_state> m_requests;
    std::set<std::string> m_runs;
    std::map<std::string, std::uint64_t> m_tokens;  ///< by program
    std::map<std::string, std::string> m_histories; ///< text of each served turn with those before it
    std::vector<std::string> m_violations;
};

} // namespace lagoonferry::soak
