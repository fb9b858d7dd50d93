#pragma once

#include "util/failure.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// The platform's store of model weights, whose reads are rate-limited. One thread at a time.
class weight_store {
public:
    weight_store() = default;
    weight_store(const weight_store&) = delete;
    weight_store& operator=(const weight_store&) = delete;
    virtual ~weight_store() = default;

    /// Reads the named weights. The last failure is `overloaded` if the rate limit rejected the read.
    virtual std::optional<std::string> read(std::string_view name) = 0;

    /// Why the last call returned nothing.
    virtual const failure& last_failure() const = 0;
};

} // namespace lagoonferry
