#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonferry {

/// Returns a hash that is the same in all processes and all versions. Thread-safe.
std::uint64_t stable_hash(std::string_view text);

/// Returns the score of a member for a key in weighted rendezvous hashing. The member with the highest score is
/// selected; each member is selected for a share of the keys in proportion to its weight. Precondition: weight > 0.
/// Thread-safe.
double rendezvous_score(std::uint64_t key_hash, std::uint64_t member_hash, double weight);

/// Returns the hash weight of `candidate` for `key` in rendezvous hashing without member weights. The candidate with
/// the highest hash weight is selected. Thread-safe.
std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate);

/// The same for a candidate of whose id the caller keeps the `stable_hash`, which takes most of the time.
std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate_hash);

} // namespace lagoonferry
