#include "soak_target.h"

#include "net/pause.h"
#include "platform/wire_names.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace lagoonferry::soak {

namespace {

using std::chrono::milliseconds;
namespace wire_names = platform::wire_names;

constexpr int events_per_stream = 8;
constexpr milliseconds event_interval{8};
constexpr milliseconds service_time{15};

std::string field(const http_request& request, std::string_view name)
{
    return std::string(to_std(request[to_beast(name)]));
}

std::string http_chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return std::string(size.data()) + std::string(bytes) + "\r\n";
}

} // namespace

soak_target::soak_target(const asio::any_io_executor& loop, soak_store& store, invariant_checker& invariants,
                         std::string service, std::string id, std::uint64_t seed)
    : m_loop(loop), m_store(store), m_invariants(invariants), m_service(std::move(service)), m_id(std::move(id)),
      m_random(static_cast<std::minstd_rand::result_type>(2 * seed + 1))
{
    m_address = serve_http(m_loop, "127.0.0.1", [this](tcp::socket& socket, const http_request& request) {
        return handle(socket, request);
    });
    m_relay = std::make_unique<standin::tcp_relay>(m_address);
    m_relay->start("127.0.0.1");
}

void soak_target::write_registration(bool draining)
{
    m_store.put(std::string(wire_names::servers_prefix) + m_id,
                nlohmann::json{{"service", m_service},
                               {"address", m_relay->address()},
                               {"zone", "z1"},
                               {"version", 1},
                               {"slots", 32},
                               {"state", draining ? "draining" : "ready"},
                               {"coldLeftMs", 0},
                               {"sequence", ++m_sequence},
                               {"born", m_start_time_ms}}
                    .dump());
}

void soak_target::remove_registration()
{
    m_store.remove(std::string(wire_names::servers_prefix) + m_id);
}

void soak_target::restart()
{
    m_sequence = 0;
    ++m_start_time_ms;
}

bool soak_target::random_chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

std::string soak_target::header_fields(const http_request& request) const
{
    return std::string(wire_names::request_id) + ": " + field(request, wire_names::request_id) + "\r\n" +
           std::string(wire_names::response_stamp) + ": stamp-" + field(request, wire_names::request_id) + "\r\n";
}

asio::awaitable<bool> soak_target::handle(tcp::socket& socket, const http_request& request)
{
    const std::string expected = field(request, wire_names::expect_instance);
    if (!expected.empty() && expected != m_id) {
        const std::string fields = header_fields(request);
        co_return co_await send_response(socket, 421, fields, "");
    }
    if (random_chance(m_faults.refuse)) {
        const std::string fields = header_fields(request) + std::string(wire_names::not_executed) + ": 1\r\n";
        co_return co_await send_response(socket, 503, fields, "");
    }
    m_invariants.on_started(field(request, wire_names::request_id), m_id);
    const std::string_view path = to_std(request.target());
    if (path.starts_with("/kept/")) {
        const std::string id = field(request, wire_names::request_id);
        m_invariants.on_turn_started(id, field(request, wire_names::previous_turn), "body of " + id, request.body());
    }
    if (path.starts_with("/stream/") || path.starts_with("/kept/")) {
        co_return co_await respond_stream(socket, request);
    }
    co_return co_await respond_full(socket, request);
}

asio::awaitable<bool> soak_target::respond_full(tcp::socket& socket, const http_request& request)
{
    co_await pause(m_loop, service_time);
    if (random_chance(m_faults.lose_response)) {
        reset_connection(socket);
        co_return false;
    }
    const unsigned status = random_chance(m_faults.internal_error) ? 500 : 200;
    const std::string body = "answer to " + field(request, wire_names::request_id) + std::string(600, '.');
    const std::string fields = header_fields(request);
    co_return co_await send_response(socket, status, fields, body);
}

asio::awaitable<bool> soak_target::respond_stream(tcp::socket& socket, const http_request& request)
{
    co_await pause(m_loop, service_time);
    if (random_chance(m_faults.lose_response)) {
        reset_connection(socket);
        co_return false;
    }
    const std::string head = "HTTP/1.1 200 S\r\n" + header_fields(request) +
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!co_await send_bytes(socket, head)) {
        co_return false;
    }
    const std::string resume = field(request, wire_names::last_event_id);
    const int first = resume.empty() ? 1 : std::atoi(resume.c_str()) + 1;
    const int break_index = random_chance(m_faults.truncate_stream) ? first + 2 : -1;
    for (int n = first; n <= events_per_stream; ++n) {
        const std::string event = "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
        if (n == break_index) {
            const std::string part = http_chunk(event.substr(0, event.size() / 2));
            co_await send_bytes(socket, part);
            reset_connection(socket);
            co_return false;
        }
        const std::string piece = http_chunk(event);
        if (!co_await send_bytes(socket, piece)) {
            co_return false;
        }
        co_await pause(m_loop, event_interval);
    }
    co_return co_await send_bytes(socket, "0\r\n\r\n");
}

} // namespace lagoonferry::soak
