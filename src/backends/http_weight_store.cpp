#include "backends/http_weight_store.h"

#include "backends/call_counts.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"

namespace lagoonferry {

http_weight_store::http_weight_store(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts)
    : m_connection(std::make_unique<http_connection>(address)), m_timeout(timeout), m_counts(counts)
{
}

http_weight_store::~http_weight_store() = default;

std::optional<std::string> http_weight_store::read(std::string_view name)
{
    const http_request request{"GET", "/weights/" + percent_encode(name), {}, {}};
    http_response response = m_connection->send(request, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::weight_read, response.end);
    if (response.end == call_end::answered && response.status == 200) {
        return std::move(response.body);
    }
    m_failure = describe_failure(response, result_code::platform_unavailable);
    return std::nullopt;
}

} // namespace lagoonferry
