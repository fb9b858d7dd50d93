#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// A version of a service's document. Versions start at 1 and only rise; 0 stands for "no document".
struct document_version {
    std::string service;
    std::uint64_t version = 0;

    bool operator==(const document_version&) const = default;
};

} // namespace lagoonferry
