#include "backends/kv_response.h"

#include "backends/json_response.h"

#include <charconv>

namespace lagoonferry {

namespace {

kv_status status_of_write(const http_response& response)
{
    if (response.end != call_end::answered) {
        return response.end == call_end::not_sent ? kv_status::unavailable : kv_status::unknown;
    }
    if (response.status == 200 || response.status == 409) {
        return response.status == 200 ? kv_status::ok : kv_status::conflict;
    }
    return response.status >= 500 && response.status != 503 ? kv_status::unknown : kv_status::unavailable;
}

} // namespace

http_request kv_write_request(std::string_view method, std::string_view key, std::uint64_t expected,
                              std::string_view value)
{
    http_request request{std::string(method), "/kv/" + percent_encode(key), {}, std::string(value)};
    request.headers.emplace_back("If-Version", std::to_string(expected));
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    return request;
}

kv_write read_kv_write(const http_response& response, failure& reason)
{
    const kv_status status = status_of_write(response);
    if (status != kv_status::ok && status != kv_status::conflict) {
        reason = describe_failure(response, result_code::platform_unavailable);
        return {status, 0};
    }
    const auto version = read_version(response);
    if (!version) {
        reason = {result_code::malformed, "malformed response: no valid X-Version header"};
        return {kv_status::unknown, 0};
    }
    return {status, *version};
}

std::optional<std::uint64_t> read_version(const http_response& response)
{
    const std::string_view text = response.header("X-Version");
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

} // namespace lagoonferry
