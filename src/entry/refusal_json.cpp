#include "entry/refusal_json.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lagoonferry {

nlohmann::json refusal_json(const refusal& value)
{
    return {{"error",
             {{"code", static_cast<int>(value.code)},
              {"name", to_string(value.code)},
              {"message", value.text},
              {"run", to_string(value.run)},
              {"retry_after_ms", value.retry_after_ms}}}};
}

void send_refusal(httplib::Response& response, const refusal& value)
{
    constexpr std::uint64_t ms_per_s = 1000;
    response.status = http_status(value.code);
    if (value.retry_after_ms > 0) {
        response.set_header("Retry-After", std::to_string((value.retry_after_ms + ms_per_s - 1) / ms_per_s));
    }
    response.set_content(refusal_json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/json");
}

refusal make_refusal(result_code code, std::string text, std::uint64_t retry_after_ms)
{
    refusal value;
    value.code = code;
    value.text = std::move(text);
    value.retry_after_ms = retry_after_ms;
    return value;
}

} // namespace lagoonferry
