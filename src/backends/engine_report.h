#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// The load that an engine reports about itself, as of some time in the past.
struct engine_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t batch_limit = 0;
    std::uint64_t held_tokens = 0;
    std::uint64_t capacity_tokens = 0;
    double tokens_per_second = 0;                   ///< generation rate of one running call
    std::optional<std::vector<std::string>> models; ///< loaded models; nothing if the engine does not report them
};

/// One change of the prefix cache: `kind` is "stored", "evicted", "expired", "released" or "imported". `tokens` is the
/// number of the program's cached tokens, after a "stored" or "imported" event and before any other event.
struct engine_cache_event {
    std::uint64_t sequence = 0;
    std::string kind;
    std::string program;
    std::uint64_t tokens = 0;
};

/// Published cache events in the order of their sequence numbers. Missing numbers are lost events;
/// `engine_client::cache_state` then returns the current state.
struct engine_cache_events {
    std::vector<engine_cache_event> events;
};

/// Contents of an engine's prefix cache: cached tokens by program.
struct engine_cache_state {
    std::uint64_t capacity_tokens = 0;
    std::map<std::string, std::uint64_t> programs;
};

} // namespace lagoonferry
