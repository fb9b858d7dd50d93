#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lagoonferry::test {

/// A child process. Its executable is in the folder of the environment variable LAGOONFERRY_BIN_DIR. Its standard error
/// is kept in memory; the last part is printed if the test case has failed. Not thread-safe.
class child_process {
public:
    /// Starts `binary` with `arguments`; `environment` holds "NAME=value" entries to add to the
    /// environment of the test.
    /// Fails the test case if the binary cannot be started.
    child_process(const std::string& binary, const std::vector<std::string>& arguments,
                  const std::vector<std::string>& environment = {});

    /// Ends the process with SIGTERM, or with SIGKILL if it still runs after `exit_timeout`, and reaps it.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return m_pid; }

    /// Reads the next line of the standard output. Returns nothing at end of file or after `timeout`.
    std::optional<std::string> read_line(std::chrono::milliseconds timeout);

    /// Reads lines until one starts with "listening ", and returns the rest of that line. Returns nothing at end of
    /// file or after `timeout`.
    std::optional<std::string> read_listening_line(std::chrono::milliseconds timeout);

    /// Sends a signal, unless the process has been reaped.
    void send_signal(int signal) const;

    /// Waits for the end of the process and returns its exit status, or 128 plus the signal that ended it.
    std::optional<int> wait_for_exit(std::chrono::milliseconds timeout);

    static constexpr std::chrono::milliseconds exit_timeout{10'000};

private:
    void print_log() const;

    std::string m_name; ///< executable, first and last argument, for the printed log
    pid_t m_pid = -1;
    int m_pidfd = -1;
    int m_stdout = -1;
    int m_stderr = -1; ///< standard error of the process
    std::string m_stdout_buffer;
    std::optional<int> m_exit_status;
};

} // namespace lagoonferry::test
