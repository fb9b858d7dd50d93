#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lagoonferry::test {

/// A process started from the folder of binaries that the environment variable LAGOONFERRY_BIN_DIR names. Its standard
/// error is kept in memory, and its end is printed when the test case has failed. One thread at a time.
class child_process {
public:
    /// Starts `binary` with `arguments`; `environment` holds "NAME=value" entries added to the test's own environment.
    /// Fails the test case if the binary cannot be started.
    child_process(const std::string& binary, const std::vector<std::string>& arguments,
                  const std::vector<std::string>& environment = {});

    /// Ends the process: SIGTERM, and SIGKILL if it is still there after `exit_timeout`. Reaps it.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return m_pid; }

    /// Reads the next line of the standard output. Returns nothing at its end or after `wait`.
    std::optional<std::string> read_line(std::chrono::milliseconds wait);

    /// Reads lines until one starts with "listening ", and returns what follows. Returns nothing as `read_line` does.
    std::optional<std::string> read_listening_line(std::chrono::milliseconds wait);

    /// Sends a signal, unless the process has been reaped.
    void send_signal(int signal) const;

    /// Waits for the end of the process and returns its exit status, or 128 plus the signal that ended it.
    std::optional<int> wait_for_exit(std::chrono::milliseconds wait);

    static constexpr std::chrono::milliseconds exit_timeout{10'000};

private:
    void print_log() const;

    std::string m_name; ///< binary and arguments, for the printed log
    pid_t m_pid = -1;
    int m_pidfd = -1;
    int m_output = -1;
    int m_log = -1; ///< standard error of the process
    std::string m_buffered;
    std::optional<int> m_exit_status;
};

} // namespace lagoonferry::test
