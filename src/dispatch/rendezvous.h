#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonferry {

/// Hash of a text that is the same in every process (FNV-1a with a finaliser). Thread-safe.
std::uint64_t stable_hash(std::string_view text);

/// Weight of `candidate` for `key` in rendezvous hashing; the highest weight wins. Thread-safe.
std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate);

} // namespace lagoonferry
