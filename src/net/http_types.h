#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string_view>

namespace lagoonferry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

using http_fields = http::fields;
using http_request = http::request<http::string_body>;

/// Completion token: `co_await` returns the error code as part of a tuple and throws nothing.
inline constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);

using loop_clock = std::chrono::steady_clock;

/// Convert between the string views of the standard library and of Beast. The bytes are not copied.
inline std::string_view to_std(beast::string_view text)
{
    return {text.data(), text.size()};
}
inline beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace lagoonferry
