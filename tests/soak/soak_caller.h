#pragma once

#include "invariant_checker.h"
#include "net/client_connection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonferry::soak {

/// Counters over all callers of a run.
struct caller_counts {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::map<std::string, std::uint64_t> outcomes; ///< number of attempts by status or cause of failure
};

/// A caller that runs programs one after the other, each with turns and calls between them. It reuses connections until
/// the gateway closes them, and caches gateway addresses for their TTL (some callers longer). Runs on one event loop;
/// not thread-safe.
class soak_caller {
public:
    soak_caller(const asio::any_io_executor& loop, invariant_checker& invariants, caller_counts& counts,
                std::vector<std::string> directories, std::string name, std::uint64_t seed);

    /// Runs programs until `stop` is set.
    asio::awaitable<void> run(const bool& stop);

private:
    struct request {
        std::string id;
        request_kind kind = request_kind::safe;
        std::string program; ///< empty: none
        std::uint64_t budget = 0;
        std::string previous{}; ///< the turn that a kept turn continues; empty: the first one
    };
    enum class result { served, refused, budget_exhausted, failed };

    asio::awaitable<void> run_program(const bool& stop);
    asio::awaitable<result> send_with_retries(request spec);
    asio::awaitable<result> send_once(const request& spec, std::chrono::milliseconds left);
    asio::awaitable<result> read_response(const request& spec, client_connection& connection, deadline until,
                                          bool& keep_alive);
    asio::awaitable<result> read_stream(const request& spec, response_reader& reader, deadline until);
    asio::awaitable<bool> resolve_addresses();
    result count_outcome(const std::string& outcome, result value);
    std::string next_id();

    asio::any_io_executor m_loop;
    invariant_checker& m_invariants;
    caller_counts& m_counts;
    std::vector<std::string> m_directories;
    std::vector<std::string> m_addresses;
    deadline m_addresses_until{};
    std::string m_last_served; ///< id of the last request that was served
    std::string m_name;
    std::uint64_t m_count = 0;
    std::chrono::milliseconds m_retry_after{0};
    std::minstd_rand m_random;
    std::map<std::string, std::unique_ptr<client_connection>> m_idle_connections;
};

} // namespace lagoonferry::soak
