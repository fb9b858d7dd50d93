#include "gateway_rig.h"

#include "gateway/client_session.h"
#include "scripted_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/post.hpp>

#include <array>
#include <future>
#include <stdexcept>

namespace lagoonferry::test {

namespace {

/// Returns a TCP port that was free at the time of the call.
std::uint16_t free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

route make_route(std::string prefix, retry_rule rule, std::uint32_t max_targets)
{
    route out;
    out.name = prefix;
    out.host = "h.example";
    out.path_prefix = std::move(prefix);
    out.rule = rule;
    out.timeout = std::chrono::milliseconds(3'000);
    out.max_targets = max_targets;
    out.resumable = rule == retry_rule::event_stream;
    out.services = {{"s", 1}};
    return out;
}

routing_document make_document()
{
    routing_document document;
    document.version = 1;
    document.routes = {
        make_route("/safe/", retry_rule::idempotent, 2), make_route("/unsafe/", retry_rule::non_idempotent, 2),
        make_route("/stream/", retry_rule::event_stream, 1), make_route("/kept/", retry_rule::event_stream, 1)};
    document.routes.back().keeps_history = true;
    document.routes.back().history_retention = std::chrono::seconds(60);
    document.services = {{"s", 0, 3, 0}};
    return document;
}

gateway_settings make_settings(std::uint16_t port)
{
    gateway_settings settings;
    settings.id = "gateway";
    settings.ip = "127.0.0.1";
    settings.failure_domain = "a";
    settings.callers = {"127.0.0.1", port};
    settings.first_start = true;
    return settings;
}

} // namespace

gateway_rig::gateway_rig(const std::vector<std::string>& targets) : m_work(m_loop.get_executor())
{
    const std::uint16_t port = free_port();
    m_address = "127.0.0.1:" + std::to_string(port);
    m_context = std::make_unique<gateway_context>(m_loop.get_executor(), make_settings(port), m_adapter);
    m_context->routes = std::make_shared<const route_table>(make_document());
    m_context->routes_confirmed = true;
    std::vector<target_change> changes;
    for (std::size_t n = 0; n < targets.size(); ++n) {
        target_record record;
        record.id = "t" + std::to_string(n);
        record.service = "s";
        record.address = targets[n];
        record.failure_domain = "a";
        record.slots = 8;
        changes.push_back({record.id, n + 1, record});
    }
    m_context->targets.apply(changes, steady_now());
    if (!listen_for_sessions(*m_context, m_context->settings.callers, listener_kind::callers)) {
        throw std::runtime_error("cannot listen");
    }
    m_thread = std::thread([this] { m_loop.run(); });
}

gateway_rig::~gateway_rig()
{
    m_loop.stop();
    m_thread.join();
}

void gateway_rig::set_document(const std::function<void(routing_document&)>& change)
{
    routing_document document = make_document();
    change(document);
    on_loop([&document](gateway_context& context) {
        context.routes = std::make_shared<const route_table>(std::move(document));
    });
}

void gateway_rig::on_loop(const std::function<void(gateway_context&)>& task)
{
    std::promise<void> done;
    asio::post(m_loop, [&] {
        task(*m_context);
        done.set_value();
    });
    done.get_future().wait();
}

std::string gateway_rig::request(std::string_view method, std::string_view path, std::string_view id,
                                 std::string_view more_fields, std::string_view body)
{
    std::string text(method);
    text += " " + std::string(path) + " HTTP/1.1\r\nHost: h.example\r\nLagoonferry-Request-Id: " + std::string(id);
    text += "\r\nLagoonferry-Deadline-Ms: 3000\r\nConnection: close\r\n" + std::string(more_fields);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    return text;
}

std::string gateway_rig::call(const std::string& request, int wait_ms) const
{
    const std::size_t colon = m_address.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = inet_addr(m_address.substr(0, colon).c_str());
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1))));
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::string response;
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
        ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
        std::array<char, 4096> buf{};
        pollfd item{socket, POLLIN, 0};
        ssize_t n = 1;
        while (n > 0 && ::poll(&item, 1, wait_ms) > 0) {
            n = ::recv(socket, buf.data(), buf.size(), 0);
            response.append(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
    }
    ::close(socket);
    return response;
}

std::string target_response(const std::string& request, std::string_view body, std::string_view more_fields)
{
    return "HTTP/1.1 200 OK\r\nLagoonferry-Request-Id: " + header_value(request, "Lagoonferry-Request-Id") +
           "\r\nLagoonferry-Response-Stamp: signed\r\n" + std::string(more_fields) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string stream_header(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nLagoonferry-Request-Id: " + header_value(request, "Lagoonferry-Request-Id") +
           "\r\nLagoonferry-Response-Stamp: signed\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(int id)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
    std::array<char, 8> size{};
    std::snprintf(size.data(), size.size(), "%zx", event.size());
    return std::string(size.data()) + "\r\n" + event + "\r\n";
}

} // namespace lagoonferry::test
