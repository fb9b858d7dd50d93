#pragma once

#include "child_process.h"

#include "journal/head_record.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry::test {

/// An HTTP reply of a process under test.
struct test_response {
    int status = 0; ///< 0 without an answer
    nlohmann::json body;
    std::string location;
};

/// What a test changes in its processes.
struct system_options {
    std::chrono::milliseconds presumed_down{2000};
    int engines = 2;
    std::chrono::milliseconds intent_confirmation{1000};
    std::chrono::milliseconds tool_deadline{3000};
    std::map<std::string, std::string> extra_entries{}; ///< failure domain by id
    bool kv_relays = false; ///< a relay between each entry instance and the key-value service
};

/// Three entry processes in different failure domains, one dispatcher and all stand-ins on loopback, with short
/// timeouts. Every process ends with the object.
class local_system {
public:
    static constexpr auto service = "boat-assignment";

    /// Starts all processes, stores a service document and waits until every entry instance serves it.
    explicit local_system(system_options options = {});

    /// Ends all processes at once; tests of the planned stop send their own signal.
    ~local_system();
    local_system(const local_system&) = delete;
    local_system& operator=(const local_system&) = delete;

    /// Sends one request to an entry instance with the caller's key, without following redirects.
    test_response call(const std::string& entry, const std::string& method, const std::string& path,
                       const nlohmann::json& body = {}, const std::map<std::string, std::string>& headers = {});

    /// Sends one request to an entry instance with another key.
    test_response call_with_key(const std::string& entry, const std::string& method, const std::string& path,
                                const std::string& key);

    /// Sends a request to the entry instances in turn and follows redirects until one answers with another status than
    /// 307 and 503.
    test_response call_any(const std::string& method, const std::string& path, const nlohmann::json& body = {},
                           const std::map<std::string, std::string>& headers = {});

    /// Opens a program and returns its identifier.
    std::string open_program();

    /// Runs one turn anywhere and returns the reply.
    test_response turn(const std::string& program, int number, const std::string& content);

    /// Books a boat anywhere.
    test_response book(const std::string& program, const std::string& key);

    /// Runs one turn, or books a boat, at one instance.
    test_response turn_at(const std::string& entry, const std::string& program, int number, const std::string& content);
    test_response book_at(const std::string& entry, const std::string& program, const std::string& key);

    /// Returns the head record of a partition as the key-value service holds it, whatever faults its calls have.
    head_record head_of(std::uint32_t partition);

    /// Waits until the head record contains the outcome of every call, so that nothing is left to be written. The
    /// program must have called a tool last.
    void wait_until_flushed(const std::string& program);

    /// Returns the instance that owns a program.
    std::string owner_of(const std::string& program);

    /// Sets a fault of a stand-in ("kv", "instances", "engine-0", "engine-1" and so on, "tool-0"), or clears its
    /// faults.
    void set_fault(const std::string& standin, const nlohmann::json& fault);
    void clear_faults(const std::string& standin);

    /// Sets the mode of the relay between an entry instance and the key-value service.
    void set_kv_relay_mode(const std::string& entry, const std::string& mode);

    /// Returns how often the booking tool ran with an idempotency key of a program.
    int executions(const std::string& program, const std::string& key);

    /// Sends a request to a stand-in.
    test_response call_standin(const std::string& standin, const std::string& method, const std::string& path,
                               const nlohmann::json& body = {});

    child_process& entry(const std::string& id) { return *m_entries.at(id); }
    const std::string& address(const std::string& id) const { return m_addresses.at(id); }
    std::vector<std::string> entry_ids() const;

    /// Starts an entry process with a given id; used by the constructor and for restarts.
    void start_entry(const std::string& id, const std::string& failure_domain);

    /// Starts another entry process with the id of a running one, which goes on. Returns the former process.
    std::unique_ptr<child_process> start_duplicate(const std::string& id, const std::string& failure_domain);

    /// Sends a request to an entry instance with the operator key.
    test_response call_as_operator(const std::string& entry, const std::string& method, const std::string& path,
                                   const nlohmann::json& body = {},
                                   const std::map<std::string, std::string>& headers = {});

    nlohmann::json document() const;

    /// Runs a command of the operators' client against an entry instance and returns its standard output, or nothing if
    /// it fails. `while_waiting` runs in place of its pauses.
    std::optional<std::string> run_operator_command(
        const std::string& entry, const std::string& name, std::vector<std::string> args,
        const std::function<void()>& while_waiting = [] {});

private:
    void start_standins();
    void start_dispatcher();
    std::string kv_address_of(const std::string& id);
    std::vector<std::string> common_arguments(const std::string& id, const std::string& failure_domain);

    system_options m_options;
    /// Systems that run at the same time take over ports of each other's killed processes. With one key they would
    /// accept each other's heartbeats.
    std::string m_cluster_key;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::string> m_seeds; ///< datagram addresses of entry instances by id
    std::unique_ptr<child_process> m_standins;
    std::unique_ptr<child_process> m_dispatcher;
    std::map<std::string, std::unique_ptr<child_process>> m_relays;
    std::map<std::string, std::unique_ptr<child_process>> m_entries;
};

/// Returns the partition in a program's identifier.
std::uint32_t partition_of(const std::string& program);

/// Repeats `condition` until it holds or `limit` has passed; returns whether it held.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::milliseconds(20'000));

} // namespace lagoonferry::test
