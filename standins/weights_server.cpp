#include "weights_server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace lagoonferry::standin {

namespace {

/// Returns the name repeated up to the given size, so that a reader can verify which weights it received.
std::string weights_content(const std::string& name, std::size_t size)
{
    std::string out;
    out.reserve(size + name.size());
    while (out.size() < size) {
        out += name;
    }
    out.resize(size);
    return out;
}

} // namespace

weights_server::weights_server(size_map sizes, double reads_per_second, double bytes_per_second)
    : m_sizes(std::move(sizes)), m_bytes_per_second(bytes_per_second)
{
    m_reads.set_rate(reads_per_second);
    m_http.on("GET", "/weights/(.+)",
              [this](const httplib::Request& req, httplib::Response& res, const fault&) { read(req, res); });
    m_http.on("POST", "/weights", [this](const httplib::Request& req, httplib::Response& res, const fault&) {
        const auto body = nlohmann::json::parse(req.body);
        const std::lock_guard lock(m_mutex);
        m_sizes[body.at("name").get<std::string>()] = body.at("bytes").get<std::size_t>();
        respond_json(res, nlohmann::json::object());
    });
}

void weights_server::read(const httplib::Request& req, httplib::Response& res)
{
    std::unique_lock lock(m_mutex);
    const auto it = m_sizes.find(req.matches[1].str());
    if (it == m_sizes.end()) {
        respond_error(res, 404, "unknown weights");
        return;
    }
    if (!m_reads.take(steady_now())) {
        res.set_header("Retry-After", "1");
        respond_error(res, 429, "rate limit");
        return;
    }
    res.set_content(weights_content(it->first, it->second), "application/octet-stream");
    if (m_bytes_per_second <= 0) {
        return;
    }
    const std::chrono::duration<double> transfer(static_cast<double>(it->second) / m_bytes_per_second);
    const timestamp end = std::max(m_bandwidth_free_at, steady_now()) + std::chrono::duration_cast<timestamp>(transfer);
    m_bandwidth_free_at = end;
    lock.unlock();
    std::this_thread::sleep_for(end - steady_now());
}

} // namespace lagoonferry::standin
