#pragma once

#include "conversation/turn_record.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Calls that a history node serves. Bodies are CBOR.
namespace history_calls {
inline constexpr std::string_view put = "/turns";      ///< a list of turns, each after the one that it continues
inline constexpr std::string_view chain = "/chain";    ///< the id of a turn; returns the turns up to it
inline constexpr std::string_view read_page = "/page"; ///< a position; returns the turns from there on
inline constexpr std::string_view copy_from = "/copy"; ///< the id of a node whose turns to copy
inline constexpr std::string_view retire = "/retire";  ///< the node takes no further turns
} // namespace history_calls

/// Statuses of a node's responses.
namespace history_status {
inline constexpr unsigned ok = 200;
inline constexpr unsigned not_found = 404;        ///< the node has all turns that it should have, and not this one
inline constexpr unsigned previous_missing = 409; ///< the turn can be put only together with those before it
inline constexpr unsigned unavailable = 503;      ///< not stored, or not known
} // namespace history_status

/// Turns from a node, with the position after them.
struct turn_page {
    std::vector<turn_record> records;
    std::uint64_t next = 0;
    bool more = false;
    /// The node lost its disk and has not copied all turns yet, so it counts as a lost copy.
    bool lost_disk = false;
};

/// Encode and decode messages. Decoding returns nothing if the message is malformed. Thread-safe.
std::string encode_turns(std::span<const turn_record* const> records);
std::optional<std::vector<turn_record>> decode_turns(std::string_view text);
std::string encode_page(std::span<const turn_record* const> records, std::uint64_t next, bool more, bool lost_disk);
std::optional<turn_page> decode_page(std::string_view text);
std::string encode_text(std::string_view value);
std::optional<std::string> decode_text(std::string_view text);
std::string encode_position(std::uint64_t position);
std::optional<std::uint64_t> decode_position(std::string_view text);

} // namespace lagoonferry
