#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonferry::bench {

/// Exact state of a simulated run, which only the oracle policy may query.
class ground_truth {
public:
    ground_truth() = default;
    ground_truth(const ground_truth&) = delete;
    ground_truth& operator=(const ground_truth&) = delete;
    virtual ~ground_truth() = default;

    /// Returns the engine time that the program of a prefix still needs if it runs alone on an engine of speed 1.
    virtual double remaining_work_us(std::uint64_t prefix) const = 0;

    /// Returns the current speed of an engine, including a slowdown.
    virtual double speed(std::string_view engine) const = 0;

    /// Returns the tokens of a prefix that an engine has cached.
    virtual std::uint32_t cached(std::string_view engine, std::uint64_t prefix) const = 0;

    /// Returns the tokens that the current call of a program has yet to generate.
    virtual std::uint32_t output(std::uint64_t prefix) const = 0;
};

} // namespace lagoonferry::bench
