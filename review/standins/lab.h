#pragma once

#include "http_test_server.h"
#include "net/client_connection.h"
#include "soak_store.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lagoonferry::review {

using std::chrono::milliseconds;

/// The file `record.txt` of a case: one line for each event, with the time since the start in ms.
class record_file {
public:
    explicit record_file(const std::string& path) : m_out(path), m_started(loop_clock::now()) {}
    void line(const std::string& text);

private:
    std::ofstream m_out;
    loop_clock::time_point m_started;
};

/// A gateway process, started with the command of the deploy file.
class gateway {
public:
    gateway(nlohmann::json settings, std::string folder);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start(bool bootstrap);
    void send_signal(int signal) const;
    void kill_and_wait();

    /// Reaps the process if it has ended. Returns whether it runs.
    bool running();

    const std::string& name() const { return m_name; }
    std::string address(const std::string& listener) const { return m_settings.at("listen").at(listener); }

private:
    nlohmann::json m_settings;
    std::string m_folder;
    std::string m_name;
    pid_t m_pid = -1;
};

/// A request as an engine has received it.
struct engine_call {
    std::string id;
    std::string program;
    std::uint64_t last_event = 0;
    std::uint64_t max_tokens = 0;
    http_request request;
};

class lab;

/// Stand-in of an engine. By default it behaves like a sound one; `before` may take over the whole response.
class engine {
public:
    using interceptor = std::function<asio::awaitable<std::optional<bool>>(tcp::socket&, const engine_call&)>;

    engine(lab& owner, std::string id, std::string service);

    /// Writes the entry of this engine to the store.
    void announce(bool draining = false);

    interceptor before;
    milliseconds service_time{20};
    milliseconds event_interval{10};
    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_address; }

    std::string own_headers(const engine_call& call) const;

private:
    asio::awaitable<bool> handle(tcp::socket& socket, const http_request& request);

    lab& m_lab;
    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_born = 0;
};

/// What a client has seen of one attempt.
struct answer {
    int status = 0; ///< 0: no complete header arrived
    bool complete = false;
    bool stamped = false;
    std::string body;
    std::uint64_t events = 0;
    std::uint64_t last_event = 0;
    std::string error;
};

struct call_spec {
    std::string method = "GET";
    std::string path;
    std::string id;
    std::string body;
    std::map<std::string, std::string> headers;
    milliseconds deadline{5'000};
};

/// A small deployment on loopback addresses: gateways as processes; store, engines and clients as stand-ins.
class lab {
public:
    static constexpr std::uint64_t tokens_per_event = 3;

    lab(const std::string& folder, int gateways);

    asio::any_io_executor loop() { return m_loop.get_executor(); }
    void run(std::function<asio::awaitable<void>()> scenario);

    /// Writes the configuration and starts all gateways.
    void start_gateways();
    nlohmann::json config(std::uint64_t version) const;

    /// Asks a gateway that serves the directory, as clients do. Returns the addresses, or none.
    asio::awaitable<std::vector<std::string>> resolve(std::string directory);

    /// Sends a request on a new connection and reads the response until its end or the deadline.
    asio::awaitable<answer> send(std::string address, call_spec spec);

    std::string next_id(const std::string& prefix) { return prefix + std::to_string(++m_ids); }

    record_file record;
    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<std::unique_ptr<engine>> engines;
    std::map<std::string, std::vector<std::string>> runs; ///< by request id: the engines that began to work on it
    bool beats_reach_store = true;                        ///< engines renew their entries
    soak::soak_store& store() { return *m_store; }

private:
    asio::io_context m_loop{1};
    std::unique_ptr<soak::soak_store> m_store;
    std::string m_temp;
    std::uint64_t m_ids = 0;

public:
    ~lab();
};

std::string field_of(const http_request& request, std::string_view name);
std::string http_chunk(std::string_view bytes);
tcp::endpoint endpoint_of(const std::string& address);

} // namespace lagoonferry::review
