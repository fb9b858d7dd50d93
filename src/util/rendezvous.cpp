#include "util/rendezvous.h"

#include "util/portable_log.h"

#include <sodium.h>

#include <array>

namespace lagoonferry {

namespace {

// The finalizer of splitmix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> fixed_key{};
    std::array<unsigned char, crypto_shorthash_BYTES> hash{};
    crypto_shorthash(hash.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), fixed_key.data());
    std::uint64_t result = 0;
    for (const unsigned char byte : hash) {
        result = (result << 8U) | byte;
    }
    return result;
}

double rendezvous_score(std::uint64_t key_hash, std::uint64_t member_hash, double weight)
{
    constexpr double steps = 9007199254740992.0; // 2^53, the precision of a double
    const std::uint64_t hash = mix(key_hash ^ mix(member_hash));
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / steps;
    return -weight / portable_log(uniform);
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate)
{
    return rendezvous_weight(key, stable_hash(candidate));
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate_hash)
{
    return mix(key ^ candidate_hash);
}

} // namespace lagoonferry
