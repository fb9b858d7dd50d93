#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace lagoonferry::standin {

/// How a relay treats its connections.
enum class relay_mode {
    pass,
    refuse,         ///< current and new connections are reset
    drop,           ///< nothing is forwarded; data sent meanwhile arrives after the mode ends, as by TCP retransmission
    drop_responses, ///< as `drop`, but only for data from the target
    delay           ///< each chunk of data is forwarded after the delay
};

/// Forwards TCP connections to one address and injects network faults. Thread-safe.
class tcp_relay {
public:
    /// `target` is "<ip>:<port>".
    explicit tcp_relay(std::string target);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /// Starts to accept connections on `host` and a free port. Returns false if it cannot listen.
    bool start(const std::string& host);

    /// Sets the mode of current and new connections. `delay` is used by `relay_mode::delay`.
    void set_mode(relay_mode mode, std::chrono::milliseconds delay = {});

    /// Forwards nothing more on the connections that are open now, in either direction. They stay open, as after a
    /// firewall has lost their state. New connections are not affected.
    void silence_open_connections() { m_first_audible = m_accepted.load(); }

    /// Closes all connections and joins all threads. Called by the destructor.
    void stop();

    /// "<ip>:<port>" once started.
    const std::string& address() const { return m_address; }

    /// Returns the number of connections accepted so far.
    std::size_t accepted() const { return m_accepted; }

private:
    void run();
    void serve(int client, std::size_t number);
    void pump(int client, int server, std::size_t number);
    bool forward(int from, int to);
    bool stopped() const { return m_stopping; }

    const std::string m_target;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<relay_mode> m_mode = relay_mode::pass;
    std::atomic<std::chrono::milliseconds> m_delay{};
    std::atomic<std::size_t> m_accepted = 0;
    std::atomic<std::size_t> m_first_audible = 0; ///< connections that were accepted before this one are silent
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace lagoonferry::standin
