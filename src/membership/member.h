#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonferry {

enum class member_role { entry, dispatch, target };

/// States of one incarnation, in the order in which they override each other.
enum class member_state { alive, leaving, gone };

/// Returns "entry", "dispatch" or "target". Thread-safe.
std::string_view to_string(member_role role);

/// Returns "alive", "leaving" or "gone". Thread-safe.
std::string_view to_string(member_state state);

/// The IP address of a process and its ports; a port is 0 while it is not known.
struct member_address {
    std::string ip;
    std::uint16_t http_port = 0;
    std::uint16_t datagram_port = 0;
    std::uint16_t rpc_port = 0;

    bool operator==(const member_address&) const = default;
};

/// Low bits of a process's incarnation. They count how often the process came back after others took it for gone.
inline constexpr unsigned incarnation_refutation_bits = 8;

/// Returns the first incarnation of a process that started at `start` milliseconds since 1970. Thread-safe.
constexpr std::uint64_t first_incarnation(std::uint64_t start)
{
    return start << incarnation_refutation_bits;
}

/// Returns the start of the process that has an incarnation, in milliseconds since 1970. It stays the same when the
/// process comes back after others took it for gone, because its memory is still there. Thread-safe.
constexpr std::uint64_t process_start(std::uint64_t incarnation)
{
    return incarnation >> incarnation_refutation_bits;
}

/// A process of the system, or a target. The incarnation is made of the start time for processes (`first_incarnation`),
/// and is a count of returns to the instance list for targets.
struct member {
    std::string id;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    member_role role = member_role::entry;
    member_address address{};
    std::string failure_domain{};
    std::uint32_t load_percent = 0; ///< used part of the capacity
    std::uint32_t capacity = 1;     ///< relative size of the machine, 1 to 100

    bool operator==(const member&) const = default;
};

} // namespace lagoonferry
