#pragma once

#include <string>
#include <string_view>

namespace lagoonferry {

/// Returns the 32-byte BLAKE2b digest of `data` as 64 lowercase hex digits. Thread-safe.
std::string digest_hex(std::string_view data);

/// Returns `bytes` random bytes of the operating system's generator as lowercase hex digits. Thread-safe.
std::string random_hex(std::size_t bytes);

/// Compares two secrets in a time that depends only on their lengths, against timing attacks. Thread-safe.
bool equal_constant_time(std::string_view a, std::string_view b);

} // namespace lagoonferry
