#include "promises.h"

namespace lagoonferry::soak {

void promises::broken(std::string line)
{
    m_violations.push_back(std::move(line));
}

void promises::on_sent(const std::string& id, request_kind kind)
{
    m_requests[id].kind = kind;
}

void promises::on_run(const std::string& id, const std::string& target)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        broken("UNASKED: request " + id + " runs at " + target + ", but no caller sent it");
        return;
    }
    m_runs.insert(id);
    it->second.ran_at.push_back(target);
    if (it->second.kind == request_kind::unsafe && it->second.ran_at.size() > 1) {
        broken("TWICE: request " + id + " runs at " + it->second.ran_at.front() + " and at " + target);
    }
    if (it->second.kind == request_kind::unsafe && it->second.refused) {
        broken("REFUSED: request " + id + " runs at " + target + " after it was refused");
    }
}

void promises::on_refused(const std::string& id, unsigned status)
{
    request_state& request = m_requests[id];
    request.refused = true;
    if (request.kind == request_kind::unsafe && !request.ran_at.empty()) {
        broken("REFUSED: request " + id + " is answered " + std::to_string(status) + " and ran at " +
               request.ran_at.front());
    }
}

void promises::on_success(const std::string& id, bool signed_by_target, bool names_request)
{
    if (!signed_by_target || !names_request) {
        broken("MIXED: the answer to " + id + (signed_by_target ? " is another's" : " has no signature"));
    }
}

void promises::on_event(const std::string& request, std::uint64_t id, std::uint64_t last)
{
    if (id != last + 1) {
        broken("ORDER: event " + std::to_string(id) + " of " + request + " follows event " + std::to_string(last));
    }
}

void promises::on_tokens(const std::string& program, std::uint64_t tokens, std::uint64_t budget,
                         std::uint64_t most_of_turn)
{
    std::uint64_t& sum = m_tokens[program];
    const bool was_within = sum <= budget + most_of_turn;
    sum += tokens;
    if (was_within && sum > budget + most_of_turn) {
        broken("BUDGET: program " + program + " got " + std::to_string(sum) + " tokens on a budget of " +
               std::to_string(budget));
    }
}

} // namespace lagoonferry::soak
