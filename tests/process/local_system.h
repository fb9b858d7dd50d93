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

/// An HTTP response of a process under test or a stand-in.
struct test_response {
    int status = 0; ///< 0 if there was no response
    nlohmann::json body;
    std::string location;
};

/// Settings that a test can change.
struct system_options {
    std::chrono::milliseconds presumed_down{2000};
    int engines = 2;
    std::chrono::milliseconds intent_confirmation{1000};
    std::chrono::milliseconds tool_deadline{3000};
    std::map<std::string, std::string> extra_entries{}; ///< failure domain by id
    bool kv_relays = false;                             ///< puts a relay between each process and the key-value service
};

/// Three entry processes in different failure domains, one dispatcher and all stand-ins on loopback, with short
/// timeouts. The destructor ends all processes.
class local_system {
public:
    static constexpr auto service = "boat-assignment";

    /// Starts all processes, stores a service document and waits until every entry instance serves it.
    explicit local_system(system_options options = {});

    /// Kills the entry processes and the dispatcher with SIGKILL. Tests of a planned stop send SIGTERM themselves.
    ~local_system();
    local_system(const local_system&) = delete;
    local_system& operator=(const local_system&) = delete;

    /// Sends one request to an entry instance with the caller's key. Does not follow redirects.
    test_response call(const std::string& entry, const std::string& method, const std::string& path,
                       const nlohmann::json& body = {}, const std::map<std::string, std::string>& headers = {});

    /// Sends one request to an entry instance with another key.
    test_response call_with_key(const std::string& entry, const std::string& method, const std::string& path,
                                const std::string& key);

    /// Sends a request to the entry instances in turn and follows redirects, until the status is neither 307 nor 503.
    test_response call_any(const std::string& method, const std::string& path, const nlohmann::json& body = {},
                           const std::map<std::string, std::string>& headers = {});

    /// Opens a program and returns its identifier.
    std::string open_program();

    /// Runs one turn at any instance, like `call_any`.
    test_response turn(const std::string& program, int number, const std::string& content);

    /// Books a boat at any instance, like `call_any`.
    test_response book(const std::string& program, const std::string& key);

    /// Runs one turn, or books a boat, at the given instance.
    test_response turn_at(const std::string& entry, const std::string& program, int number, const std::string& content);
    test_response book_at(const std::string& entry, const std::string& program, const std::string& key);

    /// Returns the head record of a partition in the key-value service. Injected faults do not affect this read.
    head_record head_of(std::uint32_t partition);

    /// Waits until the last entry in the head record is an outcome, so that no write of the head is left. Precondition:
    /// the last call of the program was a tool call.
    void wait_until_flushed(const std::string& program);

    /// Returns the instance that owns a program.
    std::string owner_of(const std::string& program);

    /// Adds a fault rule to a stand-in, or removes all its rules. Names: "kv", "instances", "engine-0", "engine-1" and
    /// so on, "tool-0".
    void set_fault(const std::string& standin, const nlohmann::json& fault);
    void clear_faults(const std::string& standin);

    /// Sets the mode of the relay between an entry instance and the key-value service.
    void set_kv_relay_mode(const std::string& entry, const std::string& mode);

    /// Returns the number of executions of the booking tool with an idempotency key of a program.
    int executions(const std::string& program, const std::string& key);

    /// Sends a request to a stand-in.
    test_response call_standin(const std::string& standin, const std::string& method, const std::string& path,
                               const nlohmann::json& body = {});

    child_process& entry(const std::string& id) { return *m_entries.at(id); }
    const std::string& address(const std::string& id) const { return m_addresses.at(id); }
    std::vector<std::string> entry_ids() const;

    /// Starts an entry process with the given id. Also restarts a stopped entry process.
    void start_entry(const std::string& id, const std::string& failure_domain);

    /// Starts a second entry process with the id of a running one, which keeps running. Returns the older process.
    std::unique_ptr<child_process> start_duplicate(const std::string& id, const std::string& failure_domain);

    /// Sends a request to an entry instance with the operator key.
    test_response call_as_operator(const std::string& entry, const std::string& method, const std::string& path,
                                   const nlohmann::json& body = {},
                                   const std::map<std::string, std::string>& headers = {});

    nlohmann::json document() const;

    /// Runs a command of the operators' client against an entry instance. Returns its standard output, or nothing if
    /// the command fails. `while_waiting` runs instead of the command's sleeps.
    std::optional<std::string> run_operator_command(
        const std::string& entry, const std::string& name, std::vector<std::string> args,
        const std::function<void()>& while_waiting = [] {});

private:
    void start_standins();
    void start_dispatcher();
    std::string kv_address_of(const std::string& id);
    std::vector<std::string> common_arguments(const std::string& id, const std::string& failure_domain);

    system_options m_options;
    /// Unique per object. Systems that run concurrently can reuse the ports of each other's killed processes, and with
    /// the same key they would accept each other's heartbeats.
    std::string m_cluster_key;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::string> m_seeds; ///< datagram addresses of entry instances by id
    std::unique_ptr<child_process> m_standins;
    std::unique_ptr<child_process> m_dispatcher;
    std::map<std::string, std::unique_ptr<child_process>> m_relays;
    std::map<std::string, std::unique_ptr<child_process>> m_entries;
};

/// Returns the partition that a program's identifier contains.
std::uint32_t partition_of(const std::string& program);

/// Polls `condition` until it is true or `timeout` has passed. Returns whether it became true.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout = std::chrono::milliseconds(20'000));

} // namespace lagoonferry::test
