#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Parses a stream of server-sent events (SSE) into the data of its events. Each event has one data line. One thread at
/// a time.
class sse_parser {
public:
    /// Receives the data of one event. Returning false stops the stream.
    using event_handler = std::function<bool(std::string_view data)>;

    explicit sse_parser(event_handler on_event);

    /// Adds the next chunk of the stream. Returns false once the handler has stopped the stream.
    bool feed(std::string_view chunk);

private:
    bool handle_line(std::string_view line);

    event_handler m_on_event;
    std::string m_partial; ///< incomplete last line
};

} // namespace lagoonferry
