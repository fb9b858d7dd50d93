#pragma once

#include "gateway/call_metadata.h"
#include "gateway/response_metadata.h"
#include "ledger/session_location.h"
#include "routing/peer_loads.h"
#include "routing/target_load.h"
#include "routing/target_record.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The request to place: a turn of a program on a model engine, or a request to a plain service (empty prompt).
struct placement_request {
    std::span<const prompt_block> prompt;
    std::uint32_t output_tokens = 0;               ///< expected number
    session_location session;                      ///< target that caches the prompt of the session's previous turn
    std::string_view local_domain;                 ///< failure domain of this gateway
    std::span<const std::string> excluded_targets; ///< targets that have failed this request
};

/// How long a request is expected to take.
struct expected_duration {
    double now_ms = 0;  ///< on the best target, with its present load
    double idle_ms = 0; ///< without load
};

/// Selects the target of a request by estimating how long the request would take on each candidate. The estimate covers
/// targets of different speeds, temporary slowness of single machines and prefix caches. No I/O. Not thread-safe.
class target_placement {
public:
    explicit target_placement(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed | 1U)) {}

    /// Returns the best of `candidates`, or nullptr if all of them are excluded or have refused a request recently.
    /// Precondition: all are of one service.
    const target_record* choose(std::span<const target_record* const> candidates, const placement_request& request,
                                timestamp now);

    /// Returns the shortest expected duration of a request on `candidates` now, and on an idle target of mean speed
    /// that has the same part of the prompt cached. Nothing if `choose` would return nullptr. Precondition: as for
    /// `choose`.
    std::optional<expected_duration> expect(std::span<const target_record* const> candidates,
                                            const placement_request& request, timestamp now);

    /// Records that a request is sent to a target, which has to compute `uncached` prompt tokens for it. Each call must
    /// be followed by one call of `on_end`, and before that by one of `on_first_event` if a first event of the response
    /// arrives.
    void on_sent(const target_record& target, std::uint32_t uncached);
    void on_first_event(std::string_view id, std::uint32_t uncached);
    void on_end(std::string_view id);

    /// Returns the number of prompt tokens that are not known to be in the target's prefix cache.
    std::uint32_t uncached_tokens(const target_record& target, const placement_request& request, timestamp now);

    /// Returns the load of this gateway at each target, for the load reports to the other gateways.
    std::vector<target_load> local_loads(timestamp now) const;

    /// Records a load report of another gateway. It replaces the previous one.
    void on_peer_loads(std::string_view gateway, std::span<const target_load> loads, timestamp now);

    /// Sets the number of other gateways if each load report reaches only a random part of them, so that the known
    /// loads have to be scaled up; 0 if every report reaches all gateways.
    void set_sampled_peer_count(std::size_t others) { m_sampled_peer_count = others; }

    /// Records the load that a target has reported.
    void on_report(std::string_view id, const reported_load& report, timestamp now);

    /// Records the mean time between the tokens of a stream.
    void on_token_time(std::string_view id, double ms_per_token, timestamp now);

    /// Records the time to a complete response of a plain service.
    void on_service_time(std::string_view id, double ms, timestamp now);

    /// Records that a target has processed a prompt and generated `output` tokens after its last block.
    void on_prompt(std::string_view id, std::span<const prompt_block> prompt, std::uint32_t output, timestamp now);

    /// Records a broken connection, an invalid response, a timeout or an error of the target itself.
    void on_failure(std::string_view id, timestamp now);

    /// Records that a target refused a request without running it.
    void on_refusal(std::string_view id, timestamp now);

    /// Records a complete response.
    void on_success(std::string_view id);

    std::uint32_t in_flight(std::string_view id) const;

private:
    /// A prompt block in a target's prefix cache. The block of a session grows with each turn.
    struct cached_block {
        std::uint32_t tokens = 0;
        timestamp used{};
    };

    struct target_entry {
        std::uint64_t start = 0;
        std::uint32_t in_flight = 0;
        std::uint32_t uncached_tokens = 0; ///< of the requests in flight without a first event
        timestamp reported_at{-1};
        double work_factor = 1;
        /// Time per token, or per response of a plain service, divided by the work factor; 0: unknown.
        double ms_per_unit = 0;
        timestamp ms_per_unit_updated{};
        std::uint32_t failures = 0; ///< consecutive
        timestamp failed_at{};
        timestamp refused_until{};
        std::map<std::uint64_t, cached_block> cached_blocks;
    };

    /// Averages over all candidates.
    struct candidate_averages {
        double ms_per_unit = 0; ///< mean over the candidates with a known value
        double in_flight = 0;   ///< mean over all candidates
        double peer_scale = 1;  ///< ratio of the other gateways to those with a recent load report
    };

    /// Load of all gateways at one target.
    struct total_load {
        double in_flight = 0;
        double uncached_tokens = 0;
    };

    struct estimate {
        const target_record* target = nullptr;
        double ms = 0;
    };

    std::vector<estimate> estimates_of(std::span<const target_record* const> candidates,
                                       const placement_request& request, const candidate_averages& averages,
                                       timestamp now);

    target_entry& entry_for(const target_record& target);
    target_entry* find(std::string_view id);
    candidate_averages averages_of(std::span<const target_record* const> candidates, double default_ms_per_unit,
                                   timestamp now) const;
    double failure_penalty_ms(const target_record& target, const target_entry& item, timestamp now) const;
    double estimate_ms(const target_record& target, const target_entry& item, const placement_request& request,
                       const candidate_averages& averages, timestamp now) const;
    static double expected_work_factor(const target_entry& item, timestamp now);
    static double uncached_tokens(const target_record& target, const target_entry& item,
                                  const placement_request& request, timestamp now);
    total_load total_load_at(const target_record& target, const target_entry& item, double peer_scale,
                             timestamp now) const;
    void update_ms_per_unit(std::string_view id, double ms, timestamp now);

    std::map<std::string, target_entry, std::less<>> m_entries;
    peer_loads m_peers;
    std::size_t m_sampled_peer_count = 0;
    std::minstd_rand m_random;
};

} // namespace lagoonferry
