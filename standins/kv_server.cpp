#include "kv_server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lagoonferry::standin {

namespace {

constexpr std::size_t max_value_size = 1'000'000;

std::uint64_t number_of(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void respond_write(httplib::Response& res, const kv_write& write)
{
    res.status = write.status == kv_status::ok ? 200 : 409;
    res.set_header("X-Version", std::to_string(write.version));
}

} // namespace

kv_server::kv_server(const kv_limits& limits)
{
    set_limits(limits);
    add_routes();
    add_lease_routes();
    m_http.on_stop([this] {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    });
}

void kv_server::add_routes()
{
    m_http.on("GET", "/kv/(.+)", [this](const request& req, response& res, const fault&) { get(req, res); });
    m_http.on("PUT", "/kv/(.+)", [this](const request& req, response& res, const fault&) { put(req, res); });
    m_http.on("DELETE", "/kv/(.+)", [this](const request& req, response& res, const fault&) { erase(req, res); });
    m_http.on("GET", "/kv", [this](const request& req, response& res, const fault&) { list(req, res); });
    m_http.on("GET", "/watch", [this](const request& req, response& res, const fault&) { watch(req, res); });
    m_http.on("GET", "/inspect/(.+)", [this](const request& req, response& res, const fault&) { inspect(req, res); });
    m_http.on("GET", "/stats", [this](const request&, response& res, const fault&) { stats(res); });
    m_http.on("POST", "/limits", [this](const request& req, response& res, const fault&) {
        const auto body = nlohmann::json::parse(req.body);
        const std::lock_guard lock(m_mutex);
        set_limits({body.value("writes_per_second", 0.0), body.value("reads_per_second", 0.0)});
        respond_json(res, nlohmann::json::object());
    });
}

void kv_server::add_lease_routes()
{
    m_http.on("POST", "/lease", [this](const request& req, response& res, const fault&) {
        const std::chrono::milliseconds time_to_live(nlohmann::json::parse(req.body).at("ttl_ms").get<std::int64_t>());
        const std::lock_guard lock(m_mutex);
        if (admit("lease", res)) {
            respond_json(res, {{"lease", m_state.grant_lease(steady_now(), time_to_live)}});
            m_changed.notify_all();
        }
    });
    m_http.on("POST", "/lease/(.+)", [this](const request& req, response& res, const fault&) {
        const std::lock_guard lock(m_mutex);
        if (admit("lease", res)) {
            res.status = m_state.renew_lease(steady_now(), req.matches[1].str()) ? 200 : 404;
        }
    });
    m_http.on("DELETE", "/lease/(.+)", [this](const request& req, response& res, const fault&) {
        const std::lock_guard lock(m_mutex);
        if (admit("lease", res)) {
            res.status = m_state.revoke_lease(req.matches[1].str()) ? 200 : 404;
            m_changed.notify_all();
        }
    });
}

bool kv_server::admit(const char* kind, response& res)
{
    expire();
    ++m_calls[kind];
    const std::string_view name = kind;
    token_bucket& bucket = name == "write" || name == "erase" || name == "lease" ? m_writes : m_reads;
    if (bucket.take(steady_now())) {
        return true;
    }
    ++m_calls["limited"];
    respond_error(res, 503, "rate limit");
    return false;
}

void kv_server::get(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    if (!admit("read", res)) {
        return;
    }
    const kv_entry entry = m_state.get(req.matches[1].str());
    res.status = entry.version == 0 ? 404 : 200;
    res.set_header("X-Version", std::to_string(entry.version));
    res.set_content(entry.value, "application/octet-stream");
}

void kv_server::put(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    if (!admit("write", res)) {
        return;
    }
    if (req.body.size() > max_value_size) {
        respond_error(res, 413, "value larger than 1 MB");
        return;
    }
    const std::uint64_t expected = number_of(req.get_header_value("If-Version"));
    respond_write(res, m_state.put(req.matches[1].str(), expected, req.body, req.get_header_value("X-Lease")));
    m_changed.notify_all();
}

void kv_server::erase(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    if (!admit("erase", res)) {
        return;
    }
    respond_write(res, m_state.erase(req.matches[1].str(), number_of(req.get_header_value("If-Version"))));
    m_changed.notify_all();
}

void kv_server::list(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    if (admit("list", res)) {
        respond_json(res, m_state.list(req.get_param_value("prefix")));
    }
}

void kv_server::watch(const request& req, response& res)
{
    const std::string prefix = req.get_param_value("prefix");
    const std::uint64_t after = number_of(req.get_param_value("after"));
    const std::chrono::milliseconds timeout(number_of(req.get_param_value("timeout_ms")));
    std::unique_lock lock(m_mutex);
    if (!admit("watch", res)) {
        return;
    }
    const timestamp deadline = steady_now() + timeout;
    std::vector<kv_change> changes = m_state.changes(prefix, after);
    while (changes.empty() && !m_stopping && steady_now() < deadline) {
        const timestamp until = std::min(deadline, m_state.next_expiry().value_or(deadline));
        m_changed.wait_for(lock, until - steady_now());
        expire();
        changes = m_state.changes(prefix, after);
    }
    nlohmann::json list = nlohmann::json::array();
    for (const kv_change& it : changes) {
        list.push_back({{"key", it.key}, {"version", it.version}, {"erased", it.erased}});
    }
    respond_json(res, {{"position", m_state.latest_version()}, {"changes", std::move(list)}});
}

void kv_server::inspect(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    const kv_entry entry = m_state.get(req.matches[1].str());
    respond_json(res, {{"version", entry.version}, {"value", entry.value}});
}

void kv_server::stats(response& res)
{
    const std::lock_guard lock(m_mutex);
    respond_json(res, m_calls);
}

void kv_server::set_limits(const kv_limits& limits)
{
    m_writes.set_rate(limits.writes_per_second);
    m_reads.set_rate(limits.reads_per_second);
}

void kv_server::expire()
{
    if (m_state.expire_leases(steady_now())) {
        m_changed.notify_all();
    }
}

} // namespace lagoonferry::standin
