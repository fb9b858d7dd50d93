#include "util/digest.h"

#include "util/ensure.h"

#include <sodium.h>

#include <vector>

namespace lagoonferry {

namespace {

void init_sodium()
{
    static const bool ready = sodium_init() >= 0;
    ensure(ready, "libsodium could not be initialised");
}

std::string to_hex(const std::vector<unsigned char>& bytes)
{
    std::string hex(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return hex;
}

} // namespace

std::string digest_hex(std::string_view data)
{
    init_sodium();
    std::vector<unsigned char> hash(crypto_generichash_BYTES);
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(data.data()), data.size(),
                       nullptr, 0);
    return to_hex(hash);
}

std::string random_hex(std::size_t bytes)
{
    init_sodium();
    std::vector<unsigned char> buf(bytes);
    randombytes_buf(buf.data(), buf.size());
    return to_hex(buf);
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    init_sodium();
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace lagoonferry
