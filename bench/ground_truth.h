#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonferry::bench {

/// What only the oracle may ask about a run.
class ground_truth {
public:
    ground_truth() = default;
    ground_truth(const ground_truth&) = delete;
    ground_truth& operator=(const ground_truth&) = delete;
    virtual ~ground_truth() = default;

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
