#pragma once

#include <string>
#include <utility>

namespace lagoonferry {

/// A secret key. It has no stream operator and no conversion to a string, so it cannot be logged or printed by
/// accident.
class secret {
public:
    secret() = default;
    explicit secret(std::string text) : m_text(std::move(text)) {}

    /// Returns the key itself, for use in authentication only.
    const std::string& reveal() const { return m_text; }
    bool empty() const { return m_text.empty(); }

private:
    std::string m_text;
};

} // namespace lagoonferry
