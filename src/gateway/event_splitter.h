#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// One complete server-sent event, with the blank line that ends it.
struct stream_event {
    std::string text;
    std::optional<std::uint64_t> id;
};

/// Splits the bytes of an event stream into complete events, so that a caller never receives a part of an event when a
/// target's stream breaks. Not thread-safe.
class event_splitter {
public:
    /// Appends bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns whether an event has begun and not ended. Line breaks between events do not count.
    bool inside_event() const;

    /// Returns the bytes after the last complete event.
    const std::string& rest() const { return m_rest; }

private:
    std::string m_rest;
    std::size_t m_searched = 0; ///< no event ends before this position of `m_rest`
};

/// Returns whether an event has a field, and is not just line breaks. Thread-safe.
bool has_fields(const stream_event& event);

/// Returns the data of an event: the values of its `data` fields, joined by line feeds. Thread-safe.
std::string event_data(std::string_view text);

/// Returns the `id` field of an event, or nothing if it is missing or not a number.
std::optional<std::uint64_t> event_id(std::string_view text);

} // namespace lagoonferry
