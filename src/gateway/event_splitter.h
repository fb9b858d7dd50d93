#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// One whole event of a stream, with its separating blank line.
struct stream_event {
    std::string text;
    std::optional<std::uint64_t> id;
};

/// Cuts the bytes of an event stream into whole events, so that a target that breaks off inside one leaves no part of
/// it with the caller. Not thread-safe.
class event_splitter {
public:
    /// Takes bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns the bytes behind the last whole event.
    const std::string& rest() const { return m_rest; }

private:
    std::string m_rest;
    std::size_t m_searched = 0; ///< no event ends before this position of the rest
};

/// Returns the id of an event's text.
std::optional<std::uint64_t> event_id(std::string_view text);

} // namespace lagoonferry
