#pragma once

#include "net/http_types.h"

#include <string_view>

namespace lagoonferry {

/// Where the answer to one request goes. Either `send_whole` is called once, or `start_stream`, any number of
/// `send_piece`, and `end_stream` or `break_off`. A false result means that the caller is gone.
class answer_sink {
public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    virtual ~answer_sink() = default;

    virtual asio::awaitable<bool> send_whole(unsigned status, http_fields fields, std::string_view body) = 0;

    /// Sends the head of a stream and its first bytes.
    virtual asio::awaitable<bool> start_stream(unsigned status, http_fields fields, std::string_view first) = 0;
    virtual asio::awaitable<bool> send_piece(std::string_view bytes) = 0;
    virtual asio::awaitable<bool> end_stream(std::string_view last) = 0;

    /// Closes the connection, so that the answer does not look complete.
    virtual void break_off() = 0;
};

} // namespace lagoonferry
