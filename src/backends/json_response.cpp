#include "backends/json_response.h"

namespace lagoonferry {

namespace {

// Error bodies are quoted in logs and answers.
constexpr std::size_t max_quoted_body = 200;

result_code code_of_status(int status)
{
    switch (status) {
    case 429:
        return result_code::overloaded;
    case 503:
        return result_code::platform_unavailable;
    default:
        return result_code::target_failed;
    }
}

} // namespace

failure describe_failure(const http_response& reply, result_code not_sent_code)
{
    if (reply.end == call_end::not_sent) {
        return {not_sent_code, reply.reason};
    }
    if (reply.end == call_end::no_reply) {
        return {result_code::outcome_unknown, reply.reason};
    }
    return {code_of_status(reply.status),
            "status " + std::to_string(reply.status) + ": " + reply.body.substr(0, max_quoted_body)};
}

} // namespace lagoonferry
