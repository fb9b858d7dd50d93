#include "backends/json_response.h"

namespace lagoonferry {

namespace {

// Maximum length of an error body that is quoted in logs and responses.
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

failure describe_failure(const http_response& response, result_code not_sent_code)
{
    if (response.end == call_end::not_sent) {
        return {not_sent_code, response.reason};
    }
    if (response.end == call_end::no_reply) {
        return {result_code::outcome_unknown, response.reason};
    }
    return {code_of_status(response.status),
            "status " + std::to_string(response.status) + ": " + response.body.substr(0, max_quoted_body)};
}

} // namespace lagoonferry
