#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Returns whether `text` has only letters, digits, '.', '_' and '-', and starts with a letter or digit. Thread-safe.
constexpr bool is_label(std::string_view text)
{
    constexpr auto alphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    constexpr auto allowed = [=](char c) { return alphanumeric(c) || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && alphanumeric(text.front()) && std::ranges::all_of(text, allowed);
}

/// A short name of letters, digits, '.', '_' and '-' with at most `MaxLength` characters. A default-constructed label
/// is empty and stands for "not set". Labels are used in datagrams, so their length is part of the type.
template <std::size_t MaxLength>
class label {
public:
    static constexpr std::size_t max_length = MaxLength;

    label() = default;

    /// Returns the label, or nothing when the text is empty, too long or has other characters.
    static std::optional<label> from(std::string_view text)
    {
        if (text.size() > MaxLength || !is_label(text)) {
            return std::nullopt;
        }
        label result;
        result.m_text = text;
        return result;
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }
    bool operator==(const label&) const = default;

private:
    std::string m_text;
};

} // namespace lagoonferry
