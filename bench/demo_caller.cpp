#include "demo_caller.h"

#include <httplib.h>

#include <algorithm>
#include <thread>

namespace lagoonferry::bench {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int max_attempts = 60;
constexpr milliseconds retry_interval{200};
constexpr milliseconds connect_timeout{300};
constexpr milliseconds read_timeout{60'000};
constexpr int redirect_status = 307;
constexpr int unavailable_status = 503;

milliseconds since(clock::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - start);
}

/// Parses server-sent events. Appends the streamed tokens to `result.text` and stores the last event that carries an
/// error or the `lagoonferry` object in `result.body`.
void read_events(const std::string& stream, caller_response& result)
{
    constexpr std::string_view prefix = "data: ";
    std::size_t at = 0;
    while ((at = stream.find(prefix, at)) != std::string::npos) {
        at += prefix.size();
        const nlohmann::json event =
            nlohmann::json::parse(stream.substr(at, stream.find('\n', at) - at), nullptr, false);
        if (!event.is_object()) {
            continue;
        }
        if (event.contains("error") || event.contains("lagoonferry")) {
            result.body = event;
        }
        if (event.contains("choices")) {
            result.text += event["choices"][0]["delta"].value("content", std::string());
        }
    }
}

} // namespace

demo_caller::demo_caller(std::vector<std::string> entries, std::string key)
    : m_entries(std::move(entries)), m_key(std::move(key))
{
}

caller_response demo_caller::open(const std::string& service, const std::string& parent, std::uint64_t tokens)
{
    nlohmann::json body{{"service", service}};
    if (!parent.empty()) {
        body["parent"] = parent;
    }
    if (tokens > 0) {
        body["budget"] = {{"tokens", tokens}, {"calls", 20}, {"money_micro", 0}};
    }
    return send({"POST", "/v1/programs", {}, body.dump()});
}

caller_response demo_caller::turn(const turn_parameters& parameters)
{
    const nlohmann::json body{{"model", "allocation"},
                              {"stream", true},
                              {"max_tokens", parameters.max_tokens},
                              {"messages", {{{"role", "user"}, {"content", parameters.content}}}}};
    return send({"POST",
                 "/v1/chat/completions",
                 {{"X-Program", parameters.program},
                  {"X-Turn", std::to_string(parameters.turn)},
                  {"X-History", "new"},
                  {"X-Class", parameters.service_class}},
                 body.dump()});
}

caller_response demo_caller::tool(const std::string& program, const std::string& name, const std::string& key,
                                  const nlohmann::json& arguments)
{
    const nlohmann::json body{{"arguments", arguments}};
    return send({"POST", "/v1/tools/" + name, {{"X-Program", program}, {"Idempotency-Key", key}}, body.dump()});
}

caller_response demo_caller::program(const std::string& id)
{
    return send({"GET", "/v1/programs/" + id, {}, {}});
}

caller_response demo_caller::end(const std::string& id)
{
    return send({"DELETE", "/v1/programs/" + id, {}, {}});
}

caller_response demo_caller::send(const request_spec& spec)
{
    const auto start = clock::now();
    std::string location;
    caller_response result;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const std::string address =
            location.empty() ? m_entries[static_cast<std::size_t>(attempt) % m_entries.size()] : location;
        location.clear();
        result = send_once(spec, address, location);
        if (result.status != 0 && result.status != redirect_status && result.status != unavailable_status) {
            break;
        }
        if (location.empty()) {
            std::this_thread::sleep_for(retry_interval);
        }
    }
    result.duration = since(start);
    return result;
}

caller_response demo_caller::send_once(const request_spec& spec, const std::string& address,
                                       std::string& location) const
{
    const auto start = clock::now();
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(read_timeout);
    httplib::Request request;
    request.method = spec.method;
    request.path = spec.path;
    request.body = spec.body;
    request.headers.emplace("Authorization", "Bearer " + m_key);
    for (const auto& [name, value] : spec.headers) {
        request.headers.emplace(name, value);
    }
    caller_response result;
    std::string received;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (received.empty()) {
            result.first_token = since(start);
        }
        received.append(data, size);
        return true;
    };
    const auto response = client.send(request);
    if (!response) {
        return result;
    }
    result.status = response->status;
    if (response->status == redirect_status) {
        const std::string redirect_url = response->get_header_value("Location");
        const std::size_t host_begin = redirect_url.find("//") + 2;
        location = redirect_url.substr(host_begin, redirect_url.find('/', host_begin) - host_begin);
    }
    if (response->get_header_value("Content-Type") == "text/event-stream") {
        read_events(received, result);
    }
    else {
        result.body = nlohmann::json::parse(received, nullptr, false);
    }
    return result;
}

} // namespace lagoonferry::bench
