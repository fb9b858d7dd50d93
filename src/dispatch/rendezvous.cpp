#include "dispatch/rendezvous.h"

namespace lagoonferry {

namespace {

std::uint64_t finalise(std::uint64_t h)
{
    h = (h ^ (h >> 30U)) * 0xbf58476d1ce4e5b9U;
    h = (h ^ (h >> 27U)) * 0x94d049bb133111ebU;
    return h ^ (h >> 31U);
}

} // namespace

std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t h = 0xcbf29ce484222325U;
    for (const char c : text) {
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    return finalise(h);
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate)
{
    return finalise(key ^ stable_hash(candidate));
}

} // namespace lagoonferry
