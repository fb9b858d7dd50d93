#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::soak {

/// How often a request may run: any number of times, once, or again behind the last event that arrived.
enum class request_kind { safe, unsafe, stream };

/// Checks the promises of the pages from what callers and targets see. Every violation is kept as a line. Not
/// thread-safe.
class invariant_checker {
public:
    /// A caller sends a request with this id.
    void on_sent(const std::string& id, request_kind kind);

    /// A target has begun to work on a request.
    void on_started(const std::string& id, const std::string& target);

    /// A caller got a status of the system's own that says that the request has not run.
    void on_refused(const std::string& id, unsigned status);

    /// A caller got a whole answer with success. `names_this_request`: its body is the one to this request.
    void on_success(const std::string& id, bool signed_by_target, bool names_this_request);

    /// A caller got the event `id` after `last` (0: none yet).
    void on_event(const std::string& request, std::uint64_t id, std::uint64_t last);

    /// A caller got tokens for a program. A budget may be exceeded by the most of one turn.
    void on_tokens(const std::string& program, std::uint64_t tokens, std::uint64_t budget,
                   std::uint64_t max_turn_tokens);

    /// Notes any other violation.
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
    std::map<std::string, std::uint64_t> m_tokens; ///< by program
    std::vector<std::string> m_violations;
};

} // namespace lagoonferry::soak
