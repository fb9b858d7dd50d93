#include "child_process.h"

#include "case_status.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lagoonferry::test {

namespace {

using clock = std::chrono::steady_clock;

// About 50 lines, which cover the last one to two seconds of a process at the log level info.
constexpr off_t max_printed_log_bytes = 8'192;

std::vector<char*> pointers_to(std::vector<std::string>& strings)
{
    std::vector<char*> out;
    std::ranges::transform(strings, std::back_inserter(out), [](std::string& it) { return it.data(); });
    out.push_back(nullptr);
    return out;
}

std::vector<std::string> environment_with(const std::vector<std::string>& added)
{
    std::vector<std::string> out = added;
    for (char** it = environ; *it != nullptr; ++it) {
        out.emplace_back(*it);
    }
    return out;
}

std::string path_of(const std::string& binary)
{
    const char* folder = std::getenv("LAGOONFERRY_BIN_DIR");
    REQUIRE_MESSAGE(folder != nullptr, "LAGOONFERRY_BIN_DIR is not set");
    return std::string(folder) + "/" + binary;
}

bool wait_readable(int descriptor, clock::time_point deadline)
{
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now());
        pollfd entry{descriptor, POLLIN, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
        if (ready >= 0 || errno != EINTR) {
            return ready > 0;
        }
    }
}

} // namespace

child_process::child_process(const std::string& binary, const std::vector<std::string>& arguments,
                             const std::vector<std::string>& environment)
{
    std::vector<std::string> args{path_of(binary)};
    args.insert(args.end(), arguments.begin(), arguments.end());
    std::vector<std::string> env = environment_with(environment);
    std::array<int, 2> output{};
    REQUIRE(::pipe2(output.data(), O_CLOEXEC) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    m_name = binary + (arguments.empty() ? "" : " " + arguments.front() + " " + arguments.back());
    m_stderr = ::memfd_create("log", MFD_CLOEXEC);
    posix_spawn_file_actions_adddup2(&actions, m_stderr, STDERR_FILENO);
    // The child must not inherit that the test ignores SIGPIPE.
    sigset_t defaults;
    sigemptyset(&defaults);
    sigaddset(&defaults, SIGPIPE);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigdefault(&attributes, &defaults);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    const int error = ::posix_spawn(&m_pid, args[0].c_str(), &actions, &attributes, pointers_to(args).data(),
                                    pointers_to(env).data());
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    ::close(output[1]);
    m_stdout = output[0];
    REQUIRE_MESSAGE(error == 0, "cannot start " << args[0]);
    m_pidfd = static_cast<int>(::syscall(SYS_pidfd_open, m_pid, 0));
}

child_process::~child_process()
{
    if (!m_exit_status) {
        send_signal(SIGTERM);
        if (!wait_for_exit(exit_timeout)) {
            send_signal(SIGKILL);
            wait_for_exit(exit_timeout);
        }
    }
    if (case_has_failed()) {
        print_log();
    }
    ::close(m_pidfd);
    ::close(m_stdout);
    ::close(m_stderr);
}

void child_process::print_log() const
{
    const off_t size = ::lseek(m_stderr, 0, SEEK_END);
    const off_t from = std::max<off_t>(0, size - max_printed_log_bytes);
    std::string text(static_cast<std::size_t>(std::max<off_t>(0, size - from)), '\0');
    const ssize_t n = ::pread(m_stderr, text.data(), text.size(), from);
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    std::cerr << "log of process " << m_pid << " (" << m_name << "), exit status " << m_exit_status.value_or(-1)
              << ":\n"
              << text << '\n';
}

std::optional<std::string> child_process::read_line(std::chrono::milliseconds timeout)
{
    const auto deadline = clock::now() + timeout;
    std::size_t end = m_stdout_buffer.find('\n');
    while (end == std::string::npos) {
        std::array<char, 4096> buf{};
        const ssize_t n = wait_readable(m_stdout, deadline) ? ::read(m_stdout, buf.data(), buf.size()) : 0;
        if (n <= 0) {
            return std::nullopt;
        }
        m_stdout_buffer.append(buf.data(), static_cast<std::size_t>(n));
        end = m_stdout_buffer.find('\n');
    }
    std::string line = m_stdout_buffer.substr(0, end);
    m_stdout_buffer.erase(0, end + 1);
    return line;
}

std::optional<std::string> child_process::read_listening_line(std::chrono::milliseconds timeout)
{
    constexpr std::string_view prefix = "listening ";
    const auto deadline = clock::now() + timeout;
    auto line = read_line(timeout);
    while (line && !line->starts_with(prefix)) {
        line = read_line(std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now()));
    }
    return line ? std::optional(line->substr(prefix.size())) : std::nullopt;
}

void child_process::send_signal(int signal) const
{
    if (!m_exit_status) {
        ::kill(m_pid, signal);
    }
}

std::optional<int> child_process::wait_for_exit(std::chrono::milliseconds timeout)
{
    if (!m_exit_status && wait_readable(m_pidfd, clock::now() + timeout)) {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return m_exit_status;
}

} // namespace lagoonferry::test
