#include "accounts/account_table.h"

#include "util/ensure.h"

#include <sodium.h>

#include <cstring>

namespace lagoonferry {

namespace {

constexpr std::size_t secret_bytes = crypto_generichash_KEYBYTES;
using process_secret = std::array<unsigned char, secret_bytes>;

const process_secret& secret()
{
    static const process_secret value = [] {
        ensure(sodium_init() >= 0, "libsodium could not be initialised");
        process_secret random{};
        randombytes_buf(random.data(), random.size());
        return random;
    }();
    return value;
}

} // namespace

account_table::account_table(std::span<const client_account> accounts)
{
    for (std::size_t n = 0; n < accounts.size(); ++n) {
        for (const std::string& key : accounts[n].keys) {
            m_positions.emplace(hash_of(key), n);
        }
    }
}

std::size_t account_table::find(std::string_view key) const
{
    const auto it = m_positions.find(hash_of(key));
    return it == m_positions.end() ? npos : it->second;
}

account_table::key_hash account_table::hash_of(std::string_view key)
{
    key_hash hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                       secret().data(), secret().size());
    return hash;
}

std::size_t account_table::first_bytes::operator()(const key_hash& hash) const
{
    std::size_t value = 0;
    std::memcpy(&value, hash.data(), sizeof(value));
    return value;
}

} // namespace lagoonferry
