#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonferry::bench {

/// What only the oracle may ask about a run.
class run_truth {
public:
    run_truth() = default;
    run_truth(const run_truth&) = delete;
    run_truth& operator=(const run_truth&) = delete;
    virtual ~run_truth() = default;

    /// Engine time that the program of a prefix still needs, alone on an engine of speed 1.
    virtual double remaining_work_us(std::uint64_t prefix) const = 0;

    /// Present speed of an engine.
    virtual double speed(std::string_view engine) const = 0;

    /// Tokens of a prefix that an engine holds at present.
    virtual std::uint32_t cached(std::string_view engine, std::uint64_t prefix) const = 0;

    /// Tokens the present call of the program will generate.
    virtual std::uint32_t output(std::uint64_t prefix) const = 0;
};

} // namespace lagoonferry::bench
