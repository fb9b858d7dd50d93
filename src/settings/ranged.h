#pragma once

#include <concepts>
#include <optional>
#include <utility>

namespace lagoonferry {

/// An integer that always lies between `Min` and `Max`, both included. The unit belongs to the name of the variable.
/// Values may be read by several threads.
template <std::integral T, T Min, T Max>
class ranged {
    static_assert(Min <= Max);

public:
    using value_type = T;
    static constexpr T min = Min;
    static constexpr T max = Max;

    /// A value known at compile time; one outside of the range does not compile.
    template <std::integral U>
    consteval ranged(U value) : m_value(checked(value))
    {
    }

    /// Returns the value, or nothing when it lies outside of the range.
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
            throw "the value lies outside of its range";
        }
        return static_cast<T>(value);
    }

    T m_value;
};

} // namespace lagoonferry
