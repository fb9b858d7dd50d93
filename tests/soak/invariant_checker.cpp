#include "invariant_checker.h"

namespace lagoonferry::soak {

void invariant_checker::add_violation(std::string line)
{
    m_violations.push_back(std::move(line));
}

void invariant_checker::on_sent(const std::string& id, request_kind kind)
{
    m_requests[id].kind = kind;
}

void invariant_checker::on_started(const std::string& id, const std::string& target)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        add_violation("UNASKED: request " + id + " runs at " + target + ", but no caller sent it");
        return;
    }
    m_runs.insert(id);
    it->second.ran_at.push_back(target);
    if (it->second.kind == request_kind::unsafe && it->second.ran_at.size() > 1) {
        add_violation("TWICE: request " + id + " runs at " + it->second.ran_at.front() + " and at " + target);
    }
    if (it->second.kind == request_kind::unsafe && it->second.refused) {
        add_violation("REFUSED: request " + id + " runs at " + target + " after it was refused");
    }
}

void invariant_checker::on_refused(const std::string& id, unsigned status)
{
    request_state& request = m_requests[id];
    request.refused = true;
    if (request.kind == request_kind::unsafe && !request.ran_at.empty()) {
        add_violation("REFUSED: request " + id + " is answered " + std::to_string(status) + " and ran at " +
                      request.ran_at.front());
    }
}

void invariant_checker::on_success(const std::string& id, bool signed_by_target, bool names_this_request)
{
    if (!signed_by_target || !names_this_request) {
        add_violation("MIXED: the answer to " + id +
                      (signed_by_target ? " belongs to another request" : " has no signature"));
    }
}

void invariant_checker::on_event(const std::string& request, std::uint64_t id, std::uint64_t last)
{
    if (id != last + 1) {
        add_violation("ORDER: event " + std::to_string(id) + " of " + request + " follows event " +
                      std::to_string(last));
    }
}

void invariant_checker::on_tokens(const std::string& program, std::uint64_t tokens, std::uint64_t budget,
                                  std::uint64_t max_turn_tokens)
{
    std::uint64_t& sum = m_tokens[program];
    const bool was_within = sum <= budget + max_turn_tokens;
    sum += tokens;
    if (was_within && sum > budget + max_turn_tokens) {
        add_violation("BUDGET: program " + program + " got " + std::to_string(sum) + " tokens on a budget of " +
                      std::to_string(budget));
    }
}

void invariant_checker::on_turn_served(const std::string& id, const std::string& previous, std::string_view input,
                                       std::string_view output)
{
    std::string text = previous.empty() ? std::string{} : m_histories[previous];
    text += input;
    text += output;
    m_histories[id] = std::move(text);
}

void invariant_checker::on_turn_started(const std::string& id, const std::string& previous, std::string_view input,
                                        std::string_view body)
{
    const std::string expected = (previous.empty() ? std::string{} : m_histories[previous]) + std::string(input);
    if (body != expected) {
        add_violation("UNASKED: turn " + id + " runs with " + std::to_string(body.size()) + " bytes, not with the " +
                      std::to_string(expected.size()) + " bytes of its history and input");
    }
}

void invariant_checker::on_turn_unknown(const std::string& id, const std::string& previous)
{
    if (m_histories.contains(previous)) {
        add_violation("LOST: request " + id + " is told that turn " + previous + " does not exist");
    }
}

} // namespace lagoonferry::soak
