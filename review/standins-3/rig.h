#pragma once

// Stand-ins of the users' platform for the scripts of review/11 to review/15: the metadata store, engines and clients,
// as PROTOCOL.md describes them, and the start of the project's own gateway processes with a settings file as
// DEPLOY.md describes it. Everything uses loopback addresses.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

using clock = std::chrono::steady_clock;

/// Writes one line with the time since the start to record.txt and to standard output.
void record(const std::string& text);
void open_record(const std::string& path);
double seconds_since_start();
void sleep_ms(int ms);

/// Exit statuses of a script.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

/// A message of HTTP/1.1. Names of header fields are in lower case.
struct message {
    std::string start_line;
    std::map<std::string, std::string> fields;
    std::string body;
    std::string field(const std::string& name) const;
};

/// One TCP connection with a buffer.
class stream {
public:
    explicit stream(int fd) : m_fd(fd) {}
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    ~stream();
    bool send(const std::string& bytes) const;
    /// Reads the start line and the header fields.
    bool read_head(message& out, int timeout_ms);
    /// Reads a body by its length or its chunks. `on_bytes` may be empty.
    bool read_body(message& out, int timeout_ms, const std::function<void(const std::string&)>& on_bytes = {});
    void set_receive_timeout(int ms) const;
    void reset(); ///< closes with a TCP reset
    void close();
    int fd() const { return m_fd; }

private:
    bool fill();
    bool read_line(std::string& out);
    bool read_exact(std::string& out, std::size_t n);
    int m_fd;
    std::string m_buffer;
};

int connect_to(const std::string& ip, int port, const std::string& from_ip = {});

/// Accepts connections and serves each one on a thread of its own, until the process ends.
class listener {
public:
    using handler = std::function<void(stream&)>;
    listener(const std::string& ip, int port, handler handle);

private:
    void run();
    int m_fd;
    handler m_handle;
};

/// The platform's metadata store. Linearizable; loses nothing.
class store {
public:
    store(const std::string& ip, int port);
    /// Writes as the operator or as an engine does.
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::string value_of(const std::string& key);
    std::vector<std::string> keys(const std::string& prefix);

    /// Processes whose connections `cut` tells apart. Set before the first one starts to call.
    void set_callers(std::function<std::vector<pid_t>()> list) { m_callers = std::move(list); }
    /// Partitions one process from the store: it gets no answers until it is 0 again.
    std::atomic<pid_t> cut{0};
    /// The process that waited last for changes of the engines' entries.
    std::atomic<pid_t> reader{0};
    /// When that process last got an answer.
    std::atomic<double> reader_answered_at{0};

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        item state;
        bool removed = false;
    };
    void serve(stream& connection);
    pid_t caller_of(int fd) const;
    std::string answer(const message& request, int& status);
    std::uint64_t write_locked(const std::string& key, const std::string& value, std::uint64_t lease,
                               std::uint64_t revision);
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::uint64_t m_revision = 100;
    std::uint64_t m_next_lease = 1000;
    int m_port;
    std::function<std::vector<pid_t>()> m_callers;
    std::unique_ptr<listener> m_listener;
};

/// What an engine saw of one request.
struct run {
    std::string request;
    std::string engine;
    std::string path;
    double at = 0;
    std::size_t body_bytes = 0;
};

/// One engine. Requests on paths that contain "stream" get an event stream with as many tokens as their maximum; all
/// others get a short body. It drops a request when its connection closes.
class engine {
public:
    struct options {
        std::string id;
        std::string ip;
        int port = 0;
        int slots = 48;
        int tokens_per_event = 3;
        int event_ms = 5; ///< time for each event
        int work_ms = 30; ///< of a request without a stream
        bool leaving = false;
        /// Called before the answer; returns true if it has handled the request itself.
        std::function<bool(engine&, stream&, const message&)> before;
    };
    explicit engine(options values);
    std::vector<run> runs();
    const options& values() const { return m_options; }
    /// The process ends: open and new connections are reset.
    void end() { m_ended = true; }
    void note_run(const message& request);
    std::string stamp();

private:
    void serve(stream& connection);
    bool answer_stream(stream& connection, const message& request);
    options m_options;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    std::atomic<int> m_stamps{0};
    std::atomic<bool> m_ended{false};
    std::unique_ptr<listener> m_listener;
};

std::string request_id_of(const message& request);
std::string path_of(const message& request);

/// One gateway machine: a process of the project with the command of the deploy file.
struct machine {
    std::string name;
    std::string ip;
    std::string zone;
    pid_t pid = -1;
    int starts = 0;
};

/// The ports, the folder and the machines of one small deployment.
class deployment {
public:
    deployment(const std::string& case_folder, int gateways, int memory_mb = 110);
    /// Ends the gateways and this process. Listeners and their threads end with it.
    [[noreturn]] void finish(int status);
    /// Starts a gateway process, or starts it again with `bootstrap` false.
    void start(std::size_t n);
    void start_all();
    void signal(std::size_t n, int number) const;
    bool running(std::size_t n);
    /// Waits for the end of a process; returns false after the timeout.
    bool wait_end(std::size_t n, int timeout_ms);
    bool wait_ready(std::size_t n, int timeout_ms) const;
    bool wait_all_ready(int timeout_ms) const;
    std::string folder() const { return m_folder; }

    std::vector<machine> machines;
    int front_port = 0;
    int ready_port = 0;
    int control_port = 0;
    int directory_port = 0;
    int datagram_port = 0;
    int store_port = 0;
    std::string store_ip = "127.73.200.1";
    bool healthy = true;

private:
    static constexpr int max_run_s = 112;
    void kill_all();
    std::string m_folder;
    int m_memory_mb;
};

/// One answer that a client received.
struct answer {
    int status = 0; ///< 0: none
    bool complete = false;
    std::map<std::string, std::string> fields;
    std::string body;
    int events = 0;
    bool connected = true;
};

/// Sends one request on a new connection, as a client does, and reads its answer.
answer send_request(const std::string& ip, int port, const std::string& method, const std::string& path,
                    const std::map<std::string, std::string>& fields, const std::string& body, int timeout_ms);

std::string new_request_id();

/// Environment variable TROUBLE is not "0".
bool with_trouble();

} // namespace rig
