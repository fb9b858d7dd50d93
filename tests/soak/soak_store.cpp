#include "soak_store.h"

#include "net/loop_deadline.h"
#include "net/pause.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <charconv>

namespace lagoonferry::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds slow_response_delay{240};
constexpr milliseconds watch_poll_interval{5};
constexpr std::string_view json_type = "Content-Type: application/json\r\n";

std::string url_decode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned byte = 0;
        if (text[n] == '%' && n + 2 < text.size()) {
            std::from_chars(text.data() + n + 1, text.data() + n + 3, byte, 16);
            out += static_cast<char>(byte);
            n += 2;
        }
        else {
            out += text[n];
        }
    }
    return out;
}

std::map<std::string, std::string> parse_query(std::string_view target)
{
    std::map<std::string, std::string> out;
    std::size_t at = target.find('?');
    while (at != std::string_view::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string_view pair = target.substr(at + 1, end == std::string_view::npos ? end : end - at - 1);
        const std::size_t equals = pair.find('=');
        out[std::string(pair.substr(0, equals))] = url_decode(pair.substr(equals + 1));
        at = end;
    }
    return out;
}

std::uint64_t numeric_param(const std::map<std::string, std::string>& params, const std::string& name)
{
    const auto it = params.find(name);
    return it == params.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string base64_encode(const std::string& bytes)
{
    std::string out(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    out.pop_back();
    return out;
}

std::string base64_decode(const std::string& text)
{
    std::string out(text.size(), '\0');
    std::size_t n = 0;
    sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(), text.size(), nullptr, &n,
                      nullptr, sodium_base64_VARIANT_ORIGINAL);
    out.resize(n);
    return out;
}

} // namespace

soak_store::soak_store(asio::any_io_executor loop) : m_loop(std::move(loop))
{
    m_address = serve_http(m_loop, "127.0.0.1", [this](tcp::socket& socket, const http_request& request) {
        return handle(socket, request);
    });
}

void soak_store::compact()
{
    m_compacted_revision = m_revision;
    m_history.clear();
}

void soak_store::put(const std::string& key, const std::string& value)
{
    m_items[key] = {value, ++m_revision};
    m_history.push_back({m_revision, key});
}

void soak_store::remove(const std::string& key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({++m_revision, key});
    }
}

nlohmann::json soak_store::item_json(const std::string& key) const
{
    const item& found = m_items.at(key);
    return {{"key", key},
            {"value", base64_encode(found.value)},
            {"revision", found.revision},
            {"createdRev", 1},
            {"lease", 0}};
}

asio::awaitable<bool> soak_store::handle(tcp::socket& socket, const http_request& request)
{
    ++m_calls;
    const mode current_mode = m_mode;
    if (current_mode == mode::refuse) {
        co_return co_await send_response(socket, 503, "", "");
    }
    if (current_mode == mode::slow) {
        co_await pause(m_loop, slow_response_delay);
    }
    const std::string_view target = to_std(request.target());
    const query params = parse_query(target);
    unsigned status = 200;
    std::string body;
    if (target.starts_with("/v1/kv-watch")) {
        body = co_await watch(params, status);
    }
    else if (target.starts_with("/v1/kv-range")) {
        ++m_ranges;
        body = range_response(params);
    }
    else if (target.starts_with("/v1/kv-key")) {
        body = key_response(params, status);
    }
    else if (target.starts_with("/v1/kv-lease")) {
        body = R"({"lease":1,"ttlMs":1000})"; // leases of this stand-in do not end
    }
    else if (target.starts_with("/v1/kv-txn")) {
        body = transaction(request.body(), status);
    }
    else {
        status = 404;
    }
    if (current_mode == mode::lose_response) {
        reset_connection(socket);
        co_return false;
    }
    co_return co_await send_response(socket, status, json_type, body);
}

std::string soak_store::key_response(const query& params, unsigned& status) const
{
    const std::string& key = params.at("key");
    nlohmann::json out = nlohmann::json::object();
    if (m_items.contains(key)) {
        out = item_json(key);
    }
    else {
        status = 404;
    }
    out["storeRevision"] = m_revision;
    return out.dump();
}

std::string soak_store::range_response(const query& params) const
{
    const std::string& prefix = params.at("pathPrefix");
    nlohmann::json out{{"items", nlohmann::json::array()}, {"hasMore", false}, {"storeRevision", m_revision}};
    for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.starts_with(prefix); ++it) {
        out["items"].push_back(item_json(it->first));
    }
    return out.dump();
}

asio::awaitable<std::string> soak_store::watch(const query& params, unsigned& status)
{
    const std::string& prefix = params.at("pathPrefix");
    const std::uint64_t after = numeric_param(params, "after");
    const deadline until = deadline_after(milliseconds(numeric_param(params, "waitMs")));
    while (true) {
        if (after < m_compacted_revision) {
            status = 410;
            co_return "{}";
        }
        nlohmann::json events = nlohmann::json::array();
        for (const change& next : m_history) {
            if (next.revision <= after || !next.key.starts_with(prefix)) {
                continue;
            }
            const auto it = m_items.find(next.key);
            if (it == m_items.end()) {
                events.push_back({{"key", next.key}, {"revision", next.revision}, {"removed", true}});
            }
            else if (it->second.revision == next.revision) {
                events.push_back(item_json(next.key));
            }
        }
        if (!events.empty() || loop_clock::now() >= until) {
            co_return nlohmann::json{{"events", events}, {"storeRevision", m_revision}}.dump();
        }
        co_await pause(m_loop, watch_poll_interval);
    }
}

std::string soak_store::transaction(const std::string& body, unsigned& status)
{
    const nlohmann::json root = nlohmann::json::parse(body);
    nlohmann::json current_items = nlohmann::json::array();
    bool conditions_met = true;
    for (const nlohmann::json& condition : root.at("expectedRev")) {
        const std::string key = condition.at("key");
        const auto it = m_items.find(key);
        conditions_met = conditions_met && condition.at("revision") == (it == m_items.end() ? 0 : it->second.revision);
        if (it != m_items.end()) {
            current_items.push_back(item_json(key));
        }
    }
    if (!conditions_met) {
        status = 412;
        return nlohmann::json{{"items", current_items}}.dump();
    }
    ++m_revision;
    for (const nlohmann::json& write : root.at("writes")) {
        const std::string key = write.at("key");
        m_items[key] = {base64_decode(write.at("value")), m_revision};
        m_history.push_back({m_revision, key});
    }
    for (const nlohmann::json& key : root.at("deletes")) {
        m_items.erase(key.get<std::string>());
        m_history.push_back({m_revision, key});
    }
    return nlohmann::json{{"revision", m_revision}}.dump();
}

} // namespace lagoonferry::soak
