#pragma once

#include "http_test_server.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonferry::soak {

/// Stand-in for the users' metadata store: keys with one revision counter, range reads, watches, transactions and fault
/// injection. Runs on one event loop; not thread-safe.
class soak_store {
public:
    /// How the store responds to calls.
    enum class mode {
        serve,
        refuse,        ///< status 503, without effect
        lose_response, ///< the call takes effect, then the connection is reset
        slow,          ///< the response is delayed by 240 ms
    };

    explicit soak_store(asio::any_io_executor loop);

    const std::string& address() const { return m_address; }
    void set_mode(mode value) { m_mode = value; }

    /// Drops the history of changes. A watch from before the current revision gets status 410.
    void compact();

    /// Writes or removes a key directly, as operators and targets do.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    bool has(const std::string& key) const { return m_items.contains(key); }

    std::uint64_t calls() const { return m_calls; }
    std::uint64_t ranges() const { return m_ranges; } ///< number of range reads

private:
    struct change {
        std::uint64_t revision = 0;
        std::string key;
    };
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };
    using query = std::map<std::string, std::string>;

    asio::awaitable<bool> handle(tcp::socket& socket, const http_request& request);
    asio::awaitable<std::string> watch(const query& params, unsigned& status);
    std::string key_response(const query& params, unsigned& status) const;
    std::string range_response(const query& params) const;
    std::string transaction(const std::string& body, unsigned& status);
    nlohmann::json item_json(const std::string& key) const;

    asio::any_io_executor m_loop;
    std::string m_address;
    mode m_mode = mode::serve;
    std::uint64_t m_revision = 7;
    std::uint64_t m_compacted_revision = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_ranges = 0;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
};

} // namespace lagoonferry::soak
