#pragma once

#include "http_test_server.h"
#include "invariant_checker.h"
#include "soak_store.h"
#include "tcp_relay.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace lagoonferry::soak {

/// Stand-in for a target of the users' platform behind a relay. It sends event streams or complete responses, and
/// registers in the store. Runs on one event loop; not thread-safe.
class soak_target {
public:
    /// Probability of each fault per request.
    struct fault_rates {
        double lose_response = 0;   ///< the request runs, then the connection is reset
        double refuse = 0;          ///< the request does not run, and the response states so
        double truncate_stream = 0; ///< a stream ends in the middle of an event
        double internal_error = 0;  ///< status 500 after the request has run
    };

    soak_target(const asio::any_io_executor& loop, soak_store& store, invariant_checker& invariants,
                std::string service, std::string id, std::uint64_t seed);

    void set_faults(const fault_rates& value) { m_faults = value; }
    standin::tcp_relay& relay() { return *m_relay; }

    /// Writes or removes the registration of this target in the store.
    void write_registration(bool draining);
    void remove_registration();

    /// Simulates a restart under the same id: the sequence number starts again and the start time changes.
    void restart();

private:
    asio::awaitable<bool> handle(tcp::socket& socket, const http_request& request);
    asio::awaitable<bool> respond_full(tcp::socket& socket, const http_request& request);
    asio::awaitable<bool> respond_stream(tcp::socket& socket, const http_request& request);
    std::string header_fields(const http_request& request) const;
    bool random_chance(double probability);

    asio::any_io_executor m_loop;
    soak_store& m_store;
    invariant_checker& m_invariants;
    std::string m_service;
    std::string m_id;
    std::string m_address;
    std::unique_ptr<standin::tcp_relay> m_relay;
    fault_rates m_faults;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_start_time_ms = 1'700'000'000'000; ///< start time of the current incarnation
    std::minstd_rand m_random;
};

} // namespace lagoonferry::soak
