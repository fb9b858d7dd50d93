#include "backends/http_instance_list.h"

#include "backends/call_counts.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"

namespace lagoonferry {

namespace {

std::optional<instance_kind> kind_of(const std::string& text)
{
    if (text == "target") {
        return instance_kind::target;
    }
    if (text == "entry") {
        return instance_kind::entry;
    }
    return text == "dispatch" ? std::optional(instance_kind::dispatch) : std::nullopt;
}

std::optional<instance_state> state_of(const std::string& text)
{
    if (text == "live") {
        return instance_state::live;
    }
    return text == "leaving" ? std::optional(instance_state::leaving) : std::nullopt;
}

/// Returns nothing if an instance has an unknown kind or state.
std::optional<std::vector<instance>> read_instances(const nlohmann::json& body)
{
    std::vector<instance> out;
    for (const auto& it : body) {
        const auto kind = kind_of(it.at("kind").get<std::string>());
        const auto state = state_of(it.at("state").get<std::string>());
        if (!kind || !state) {
            return std::nullopt;
        }
        out.push_back({it.at("id").get<std::string>(), *kind, it.at("address").get<std::string>(),
                       it.at("failure_domain").get<std::string>(), *state});
    }
    return out;
}

} // namespace

http_instance_list::http_instance_list(const std::string& address, std::chrono::milliseconds timeout,
                                       call_counts& counts)
    : m_connection(std::make_unique<http_connection>(address)), m_timeout(timeout), m_counts(counts)
{
}

http_instance_list::~http_instance_list() = default;

std::optional<std::vector<instance>> http_instance_list::poll()
{
    const http_response response = m_connection->send({"GET", "/instances", {}, {}}, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::instance_list, response.end);
    auto list = read_json_response(response, m_failure, read_instances);
    if (list && !*list) {
        m_failure = {result_code::malformed, "the list has an instance of unknown kind or state"};
    }
    return list.value_or(std::nullopt);
}

} // namespace lagoonferry
