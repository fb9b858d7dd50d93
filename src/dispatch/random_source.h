#pragma once

#include <cstdint>

namespace lagoonferry {

/// Seeded pseudo-random generator (SplitMix64) with the same sequence on every platform. Not thread-safe.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_state(seed) {}

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
        return z ^ (z >> 31U);
    }

    /// Returns a value that is uniformly distributed in [0, 1).
    double uniform() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

    /// Returns a value that is uniformly distributed in [0, n). Precondition: n > 0.
    std::uint64_t below(std::uint64_t n) { return next() % n; }

private:
    std::uint64_t m_state;
};

} // namespace lagoonferry
