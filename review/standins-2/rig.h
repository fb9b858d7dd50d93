// Stand-ins for the scripts of this review: the platform's store, engines and a client, as PROTOCOL.md describes them,
// and the start of gateway processes. One thread for each connection, blocking sockets, loopback addresses only.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace rig {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

void sleep_ms(int n);
/// Milliseconds since the start of the rig.
long now_ms();

/// Writes a line with the time to record.txt.
class record {
public:
    explicit record(const std::string& path) : m_out(path) {}
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct message {
    std::string method;                        ///< of a request
    std::string target;                        ///< of a request
    int status = 0;                            ///< of a response
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool complete = false;
    std::string field(const std::string& name) const;
};

/// A TCP connection with a read buffer.
class connection {
public:
    explicit connection(int fd) : m_fd(fd) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(false); }

    static std::unique_ptr<connection> open(const std::string& ip, int port, int timeout_ms);
    bool write(const std::string& bytes);
    /// Reads one request or the head of one response. False: the connection has ended, or the timeout is over.
    bool read_request(message& out);
    bool read_head(message& out, int timeout_ms);
    /// Reads the body of a response; `on_bytes` gets each piece as it arrives.
    bool read_body(message& out, int timeout_ms, const std::function<void(const std::string&)>& on_bytes = {});
    /// With `reset`, the other side gets a TCP reset.
    void close(bool reset);
    /// Returns whether the other side has closed the connection.
    bool peer_closed() const;

private:
    bool fill(int timeout_ms);
    bool read_line(std::string& out, int timeout_ms);
    int m_fd;
    std::string m_buffer;
};

/// Accepts connections and serves each in its own thread, until the process ends.
class server {
public:
    server(const std::string& ip, std::function<void(connection&)> serve);
    int port() const { return m_port; }

private:
    int m_port = 0;
};

/// The platform's metadata store.
class store {
public:
    explicit store(const std::string& ip);
    std::string address() const { return m_ip + ":" + std::to_string(m_server.port()); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    bool has(const std::string& key);
    /// While the store is down, a call gets no answer and has no effect.
    void set_down(bool down) { m_down = down; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<item> present;
    };
    void serve(connection& peer);
    std::string handle(const message& request, int& status);
    std::string watch(const std::map<std::string, std::string>& query, int& status);
    std::string transaction(const std::string& body, int& status);
    json item_json(const std::string& key, const item& it) const;
    void write_locked(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove_locked(const std::string& key);

    std::string m_ip;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::uint64_t m_revision = 7;
    std::uint64_t m_next_lease = 1;
    std::atomic<bool> m_down{false};
    server m_server;
};

/// One run of a request at an engine.
struct run {
    std::string engine;
    message request;
    long at = 0;
};

/// An engine: streams on POST with Lagoonferry-Token-Count, a plain answer otherwise. Registers in the store.
class engine {
public:
    struct options {
        std::string service;
        std::string id;
        std::string zone;
        int event_ms = 2; ///< pause before each event
        int work_ms = 20; ///< time of a plain request
        int slots = 48;
        /// Returns the status of a plain request that has run; 200 if it is not set.
        std::function<int()> status_of_run = {};
        /// Returns the bytes of the answer to a plain request that has run; the usual ones if it is not set or empty.
        std::function<std::string(const message& request)> answer_bytes = {};
    };
    /// Called at the start of each request's run.
    using observer = std::function<void(const run&)>;

    engine(const std::string& ip, store& keeper, options values, observer on_run);
    ~engine();
    void publish(const std::string& state);
    const options& values() const { return m_options; }

private:
    void serve(connection& peer);
    bool stream(connection& peer, const message& request);
    std::string head(const message& request, int status) const;

    std::string m_ip;
    store& m_store;
    options m_options;
    observer m_on_run;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<bool> m_stop{false};
    std::uint64_t m_born;
    std::string m_state = "ready";
    server m_server;
    std::thread m_beat;
};

/// A process of the product, started with the command of the deploy file.
class process {
public:
    process(std::string role, json settings, const std::string& folder);
    ~process();
    void start(bool bootstrap);
    void signal(int number) const;
    void wait();
    const std::string& ip() const { return m_ip; }
    int port(const std::string& what) const;
    std::string name() const { return m_settings.at("nodeName"); }

private:
    std::string m_role;
    json m_settings;
    std::string m_path;
    std::string m_log;
    std::string m_ip;
    pid_t m_pid = -1;
};

struct fleet_ports {
    int front = 0, ready = 0, control = 0, directory = 0, peer = 0;
};

/// Returns a /24 prefix of loopback addresses ("127.x.y.") for this run, and ports that are free on its addresses.
std::string address_prefix();
fleet_ports free_ports(const std::string& prefix, int machines);

/// Settings as in DEPLOY.md, with the bounds of the small deployments.
json gateway_settings(const std::string& name, const std::string& ip, const std::string& zone, const fleet_ports& ports,
                      const std::string& store_address, const std::vector<std::string>& seeds);

/// Returns whether the process answers its readiness question with 200 within the time.
bool wait_ready(const process& node, int timeout_ms);

struct answer {
    int status = 0; ///< 0: the connection ended without an answer
    std::map<std::string, std::string> fields;
    std::string body;
    bool complete = false;
};

/// Sends one request on a new connection and reads its answer.
answer call(const std::string& ip, int port, const std::string& request, int timeout_ms);

/// The same on a connection that is kept from one call to the next, as long as the other side leaves it open.
answer call_kept(std::shared_ptr<connection>& kept, const std::string& ip, int port, const std::string& request,
                 int timeout_ms);

/// A new request id, unique in this run.
std::string new_id();

} // namespace rig
