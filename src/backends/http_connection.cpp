#include "backends/http_connection.h"

#include "util/time.h"

#include <httplib.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace lagoonferry {

namespace {

std::unique_ptr<httplib::Client> make_client(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return nullptr;
    }
    int port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port <= 0 || port > 65'535) {
        return nullptr;
    }
    auto client = std::make_unique<httplib::Client>(address.substr(0, colon), port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    return client;
}

httplib::Request make_request(const http_request& request)
{
    httplib::Request out;
    out.method = request.method;
    out.path = request.path;
    out.body = request.body;
    out.headers.emplace("Accept-Encoding", "identity");
    std::ranges::for_each(request.headers, [&](const auto& header) { out.headers.insert(header); });
    // Without a length, cpp-httplib's server reads the body of a DELETE until the connection closes.
    if (request.body.empty() && request.method == "DELETE") {
        out.headers.emplace("Content-Length", "0");
    }
    return out;
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b,
                              [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

/// Returns whether the call failed before its request was written. After any other failure it may have had an effect.
bool failed_before_sending(httplib::Error error)
{
    using enum httplib::Error;
    return error == Connection || error == ConnectionTimeout || error == BindIPAddress;
}

} // namespace

std::string_view http_response::header(std::string_view name) const
{
    const auto it = std::ranges::find_if(headers, [&](const auto& h) { return equal_ignoring_case(h.first, name); });
    return it == headers.end() ? std::string_view{} : std::string_view{it->second};
}

http_connection::http_connection(const std::string& address) : m_address(address), m_client(make_client(address)) {}

http_connection::~http_connection() = default;

http_response http_connection::send(const http_request& request, const http_timeouts& timeouts,
                                    const body_receiver& receiver)
{
    http_response response;
    if (m_client == nullptr || m_interrupted) {
        response.reason =
            m_interrupted ? "interrupted before sending" : "malformed address, expected <ip>:<port>: " + m_address;
        return response;
    }
    m_client->set_connection_timeout(timeouts.connect);
    m_client->set_read_timeout(timeouts.idle);
    m_client->set_write_timeout(timeouts.idle);
    const timestamp deadline = steady_now() + timeouts.connect + timeouts.total;
    bool stopped_by_receiver = false;
    httplib::Request out = make_request(request);
    out.response_handler = [&](const httplib::Response& received) {
        response.status = received.status;
        return !m_interrupted;
    };
    out.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (m_interrupted || steady_now() > deadline) {
            return false;
        }
        if (!receiver || response.status != 200) {
            response.body.append(data, size);
            return true;
        }
        stopped_by_receiver = !receiver({data, size});
        return !stopped_by_receiver;
    };
    httplib::Response received;
    httplib::Error error = httplib::Error::Success;
    m_reusable = m_client->send(out, received, error);
    if (m_reusable) {
        response.end = call_end::answered;
        response.headers.assign(received.headers.begin(), received.headers.end());
        return response;
    }
    response.end = failed_before_sending(error) ? call_end::not_sent : call_end::no_reply;
    response.reason =
        httplib::to_string(error) + " error in " + request.method + " " + request.path + " to " + m_address;
    if (m_interrupted) {
        response.reason = "interrupted";
    }
    else if (steady_now() > deadline) {
        response.reason += ", time limit reached";
    }
    return response;
}

void http_connection::interrupt()
{
    m_interrupted = true;
    if (m_client != nullptr) {
        m_client->stop();
    }
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~/";
    std::string out;
    out.reserve(text.size());
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || unreserved.find(static_cast<char>(c)) != std::string_view::npos) {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += hex_digits[c >> 4U];
        out += hex_digits[c & 15U];
    }
    return out;
}

} // namespace lagoonferry
