#pragma once

#include <concepts>
#include <optional>
#include <utility>

namespace lagoonferry {

/// An integer that is always between `Min` and `Max`, inclusive. The name of the variable states the unit. Concurrent
/// reads are safe.
template <std::integral T, T Min, T Max>
class ranged {
    static_assert(Min <= Max);

public:
    using value_type = T;
    static constexpr T min = Min;
    static constexpr T max = Max;

    /// Converts a compile-time constant. A constant outside the range does not compile.
    template <std::integral U>
    consteval ranged(U value) : m_value(checked(value))
    {
    }

    /// Returns the value, or nothing when it is outside the range.
    static constexpr std::optional<ranged> from(T value)
    {
        if (value < Min || value > Max) {
            return std::nullopt;
        }
        ranged result(Min, unchecked{});
        result.m_value = value;
        return result;
    }

    constexpr T value() const { return m_value; }
    constexpr operator T() const { return m_value; }

private:
    struct unchecked {};

    constexpr ranged(T value, unchecked) : m_value(value) {}

    template <std::integral U>
    static consteval T checked(U value)
    {
        if (std::cmp_less(value, Min) || std::cmp_greater(value, Max)) {
            throw "the value is outside its range";
        }
        return static_cast<T>(value);
    }

    T m_value;
};

} // namespace lagoonferry
