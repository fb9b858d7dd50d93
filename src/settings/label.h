#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Returns whether `text` is not empty, consists of letters, digits, '.', '_' and '-', and starts with a letter or
/// digit. Thread-safe.
constexpr bool is_label(std::string_view text)
{
    constexpr auto alphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    constexpr auto allowed = [=](char c) { return alphanumeric(c) || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && alphanumeric(text.front()) && std::ranges::all_of(text, allowed);
}

/// A name for which is_label() returns true, of at most `MaxLength` characters. A default-constructed label is empty
/// and means "not set". The maximum length is part of the type because labels are sent in datagrams of bounded size.
template <std::size_t MaxLength>
class label {
public:
    static constexpr std::size_t max_length = MaxLength;

    label() = default;

    /// Returns the label, or nothing when `text` is too long or not a label.
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
