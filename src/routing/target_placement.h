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
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// What is placed: a turn of a program on a model engine, or a call of a plain service (no tokens).
struct placement_request {
    std::span<const prompt_block> prompt;
    std::uint32_t output_tokens = 0;               ///< expected
    session_location session;                      ///< keeps the prompt so far
    std::string_view local_domain;                 ///< failure domain of this gateway
    std::span<const std::string> excluded_targets; ///< targets at which this request has failed
};

/// What this gateway has seen of the targets, and the choice among them. It answers uneven speeds, slow spells of
/// single machines and prompts that are kept at one target, by an estimate of the time that the request would take on
/// each. Decision code without I/O; one owner, not thread-safe.
class target_placement {
public:
    explicit target_placement(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed | 1U)) {}

    /// Returns the best of `candidates`, or nullptr if all of them are avoided or have refused lately. Precondition:
    /// all are of one service.
    const target_record* choose(std::span<const target_record* const> candidates, const placement_request& request,
                                timestamp now);

    /// Notes that a request is sent to a target, which has to read `unread` tokens for it. Each call is followed by one
    /// of `on_end`, and before that by one of `on_first_event` when the first event of its answer comes.
    void on_sent(const target_record& target, std::uint32_t unread);
    void on_first_event(std::string_view id, std::uint32_t unread);
    void on_end(std::string_view id);

    /// Returns the tokens of a prompt that a target is not known to keep.
    std::uint32_t uncached_tokens(const target_record& target, const placement_request& request, timestamp now);

    /// Returns the requests of this gateway, for the others.
    std::vector<target_load> local_loads(timestamp now) const;

    /// Notes the requests of another gateway, which replace the ones that it told before.
    void on_peer_loads(std::string_view gateway, std::span<const target_load> shares, timestamp now);

    /// Sets the number of other gateways when only a random part of them is heard at a time; 0 when all are.
    void set_sampled_peer_count(std::size_t others) { m_sampled_fleet = others; }

    /// Notes the load that a target told.
    void on_report(std::string_view id, const reported_load& report, timestamp now);

    /// Notes the time between the tokens of a stream.
    void on_token_time(std::string_view id, double ms_per_token, timestamp now);

    /// Notes the time of a whole answer of a plain service.
    void on_service_time(std::string_view id, double ms, timestamp now);

    /// Notes that a target has read a prompt and made `output` tokens behind its last part.
    void on_prompt(std::string_view id, std::span<const prompt_block> prompt, std::uint32_t output, timestamp now);

    /// Notes a broken connection, a wrong answer, a time-out or an error of the target itself.
    void on_failure(std::string_view id, timestamp now);

    /// Notes that a target refused a request that it did not run.
    void on_refusal(std::string_view id, timestamp now);

    /// Notes a whole answer.
    void on_success(std::string_view id);

    std::uint32_t in_flight(std::string_view id) const;

private:
    /// A part of a prompt that a target keeps. The part of a session grows with each turn.
    struct kept_part {
        std::uint32_t tokens = 0;
        timestamp used{};
    };

    struct row {
        std::uint64_t start = 0;
        std::uint32_t in_flight = 0;
        std::uint32_t uncached_tokens = 0; ///< of requests in flight without a first event
        timestamp reported{-1};
        double work_factor = 1;
        double pace = 0; ///< ms for a token or a whole answer, without the work factor; 0: not known
        timestamp paced{};
        std::uint32_t failures = 0; ///< in a row
        timestamp failed_at{};
        timestamp refused_until{};
        std::map<std::uint64_t, kept_part> parts;
    };

    /// What holds for all targets of a service.
    struct common_state {
        double pace = 0;      ///< mean of the known ones
        double in_flight = 0; ///< mean of all
        double sampling = 1;  ///< other gateways for each one that was heard lately
    };

    /// The requests of all gateways at one target.
    struct present_load {
        double in_flight = 0;
        double uncached_tokens = 0;
    };

    struct estimate {
        const target_record* target = nullptr;
        double ms = 0;
    };

    row& row_of(const target_record& target);
    row* find(std::string_view id);
    common_state common_of(std::span<const target_record* const> candidates, double usual_pace, timestamp now) const;
    double failure_penalty_ms(const target_record& target, const row& item, timestamp now) const;
    double estimate_ms(const target_record& target, const row& item, const placement_request& request,
                       const common_state& common, timestamp now) const;
    static double expected_work_factor(const row& item, timestamp now);
    static double uncached_tokens(const target_record& target, const row& item, const placement_request& request,
                                  timestamp now);
    present_load all_loads(const target_record& target, const row& item, double sampling, timestamp now) const;
    void learn_pace(std::string_view id, double ms, timestamp now);

    std::map<std::string, row, std::less<>> m_rows;
    peer_loads m_peers;
    std::size_t m_sampled_fleet = 0;
    std::minstd_rand m_random;
};

} // namespace lagoonferry
