#include "peer/cluster_key.h"

#include "util/digest.h"
#include "util/ensure.h"

#include <sodium.h>

namespace lagoonferry {

cluster_key::cluster_key(std::string_view secret)
    : m_rpc_token(digest_hex(std::string("lagoonferry rpc ").append(secret)))
{
    static_assert(key_bytes == crypto_shorthash_KEYBYTES && tag_bytes == crypto_shorthash_BYTES);
    const std::string input = std::string("lagoonferry datagram ").append(secret);
    const int status =
        crypto_generichash(m_datagram_key.data(), m_datagram_key.size(),
                           reinterpret_cast<const unsigned char*>(input.data()), input.size(), nullptr, 0);
    ensure(status == 0, "the datagram key could not be derived from the cluster secret");
}

cluster_key::tag cluster_key::tag_of(std::span<const std::byte> data) const
{
    tag result{};
    crypto_shorthash(reinterpret_cast<unsigned char*>(result.data()),
                     reinterpret_cast<const unsigned char*>(data.data()), data.size(), m_datagram_key.data());
    return result;
}

bool cluster_key::verify(std::span<const std::byte> data, std::span<const std::byte> expected) const
{
    const tag actual = tag_of(data);
    return expected.size() == actual.size() && sodium_memcmp(actual.data(), expected.data(), actual.size()) == 0;
}

} // namespace lagoonferry
