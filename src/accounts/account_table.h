#pragma once

#include "accounts/client_account.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonferry {

/// Finds the client account that holds an API key. Keeps keyed hashes of the keys (BLAKE2b with a random key of this
/// process), so the time of a look-up tells nothing about the keys. Immutable, so thread-safe.
class account_table {
public:
    /// Hashes the keys of `accounts`, which the table does not keep. The accounts themselves must outlive the table.
    explicit account_table(std::span<const client_account> accounts);

    /// Returns the position in the list of accounts of the one that holds `key`, or `npos`.
    std::size_t find(std::string_view key) const;

    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

private:
    static constexpr std::size_t hash_bytes = 16;
    using key_hash = std::array<unsigned char, hash_bytes>;
    struct first_bytes {
        std::size_t operator()(const key_hash& hash) const;
    };

    static key_hash hash_of(std::string_view key);

    std::unordered_map<key_hash, std::size_t, first_bytes> m_positions;
};

} // namespace lagoonferry
