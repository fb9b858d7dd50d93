#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace lagoonferry {

/// The keys derived from the secret that all processes of one cluster share. They authenticate datagrams and RPC calls.
class cluster_key {
public:
    /// Derives a datagram key and an RPC token from the shared secret.
    explicit cluster_key(std::string_view secret);

    static constexpr std::size_t tag_bytes = 8;
    using tag = std::array<std::byte, tag_bytes>;

    /// Returns the message authentication code (SipHash) of a datagram. Thread-safe.
    tag tag_of(std::span<const std::byte> data) const;

    /// Returns whether `expected` is the tag of `data`; compares in constant time. Thread-safe.
    bool verify(std::span<const std::byte> data, std::span<const std::byte> expected) const;

    /// The bearer token for RPC calls between processes. Thread-safe.
    const std::string& rpc_token() const { return m_rpc_token; }

private:
    static constexpr std::size_t key_bytes = 16;
    std::array<unsigned char, key_bytes> m_datagram_key{};
    std::string m_rpc_token;
};

} // namespace lagoonferry
