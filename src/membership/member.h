#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonferry {

enum class member_role { entry, dispatch, target };

/// States of one incarnation. A later one overrides the ones before it.
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

/// Low bits of a process's incarnation. They count how often the process refuted its state `gone`, which others had
/// spread while it still ran.
inline constexpr unsigned incarnation_refutation_bits = 8;

/// Returns the first incarnation of a process that started `start` milliseconds after the Unix epoch. Thread-safe.
constexpr std::uint64_t first_incarnation(std::uint64_t start)
{
    return start << incarnation_refutation_bits;
}

/// Returns the start time of the process with this incarnation, in milliseconds since the Unix epoch. A process that
/// refutes its state `gone` keeps its start time, because it still has its memory. Thread-safe.
constexpr std::uint64_t process_start(std::uint64_t incarnation)
{
    return incarnation >> incarnation_refutation_bits;
}

/// A process of the system, or a target. The incarnation of a process derives from its start time (see
/// `first_incarnation`). The incarnation of a target counts its returns to the instance list.
struct member {
    std::string id;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    member_role role = member_role::entry;
    member_address address{};
    std::string failure_domain{};
    std::uint32_t load_percent = 0; ///< used capacity in percent
    std::uint32_t capacity = 1;     ///< relative size of the machine, 1 to 100

    bool operator==(const member&) const = default;
};

} // namespace lagoonferry
