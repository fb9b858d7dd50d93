#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Splits a server-sent event stream into the data of its events; each event has one data line. One thread at a time.
class sse_parser {
public:
    /// Receives the data of one event; returning false stops the stream.
    using event_handler = std::function<bool(std::string_view data)>;

    explicit sse_parser(event_handler on_event);

    /// Adds a piece of the stream. Returns false once the handler has stopped the stream.
    bool feed(std::string_view piece);

private:
    bool handle_line(std::string_view line);

    event_handler m_on_event;
    std::string m_partial; ///< the last line while its end has not arrived
};

} // namespace lagoonferry
