#pragma once

#include "net/http_types.h"

#include <string_view>

namespace lagoonferry {

/// Writes the response to one request. Either `send_response` is called once, or `start_stream`, any number of
/// `send_data`, and then `end_stream` or `abort_stream`. A false result means that the caller has disconnected.
class response_writer {
public:
    response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    virtual ~response_writer() = default;

    virtual asio::awaitable<bool> send_response(unsigned status, http_fields fields, std::string_view body) = 0;

    /// Sends the header of a streamed response and its first bytes.
    virtual asio::awaitable<bool> start_stream(unsigned status, http_fields fields, std::string_view first) = 0;
    virtual asio::awaitable<bool> send_data(std::string_view bytes) = 0;
    virtual asio::awaitable<bool> end_stream(std::string_view last) = 0;

    /// Closes the connection, so that the response does not look complete.
    virtual void abort_stream() = 0;
};

} // namespace lagoonferry
