#include "local_system.h"
#include "raw_connection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>

#include <sys/resource.h>

using namespace lagoonferry::test;
using namespace std::chrono_literals;

namespace {

// An undelayed turn takes a few milliseconds. The limit has a margin for a loaded machine.
constexpr auto max_turn_time = 2500ms;

// The entry closes a connection that sends nothing for 10 s.
constexpr auto silence_timeout = 15s;

// Limit of the resident memory of an entry process.
constexpr long max_resident_kb = 128L * 1024;

/// Returns the peak resident memory of a process in KiB, or -1 if it is unknown.
long peak_resident_kb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;) {
        long value = 0;
        if (word == "VmHWM:" && status >> value) {
            return value;
        }
    }
    return -1;
}

void allow_many_sockets()
{
    // cpp-httplib's client writes to connections that the entry has already closed, which raises SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

/// Runs one turn at an instance and returns how long it took.
std::chrono::milliseconds timed_turn(local_system& system, const std::string& entry, const std::string& program,
                                     int number)
{
    const auto start = std::chrono::steady_clock::now();
    CHECK(system.turn_at(entry, program, number, "turn").status == 200);
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

TEST_CASE("slow senders do not delay other callers and are disconnected, and an oversized request is refused")
{
    allow_many_sockets();
    local_system system;
    const std::string program = system.open_program();
    const std::string owner = system.owner_of(program);
    const std::string& address = system.address(owner);
    std::deque<raw_connection> silent;
    std::deque<raw_connection> trickling;
    for (int n = 0; n < 50; ++n) {
        silent.emplace_back(address);
        trickling.emplace_back(address);
    }
    const auto ready = [](raw_connection& it) {
        return wait_until([&] { return it.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9999\r\n"); });
    };
    CHECK(std::ranges::all_of(silent, ready));
    CHECK(std::ranges::all_of(trickling, ready));
    for (int number = 1; number <= 10; ++number) {
        std::ranges::for_each(trickling, [](raw_connection& it) { it.send("X"); });
        CHECK(timed_turn(system, owner, program, number) < max_turn_time);
    }
    // The entry waits for the body of the refused request as long as for a silent sender. Both waits overlap to save
    // time.
    raw_connection large(address);
    CHECK(wait_until(
        [&] { return large.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 1000000000000\r\n\r\n"); }));
    CHECK(std::ranges::all_of(silent, [](raw_connection& it) { return it.closed_within(silence_timeout); }));

    CHECK(large.closed_within(silence_timeout));
    CHECK(large.received().find(" 413 ") != std::string::npos);
    raw_connection endless(address);
    const std::string filler(16'384, 'x');
    CHECK(wait_until([&] { return !endless.send(filler) || endless.closed_within(0ms); }));
    CHECK(peak_resident_kb(system.entry(owner).pid()) < max_resident_kb);
}

TEST_CASE("a flood of idle connections blocks neither callers nor the process, and its memory stays bounded")
{
    allow_many_sockets();
    local_system system;
    const std::string program = system.open_program();
    const std::string owner = system.owner_of(program);
    std::deque<raw_connection> flood;
    for (int n = 0; n < 1500; ++n) {
        flood.emplace_back(system.address(owner));
    }
    const auto start = std::chrono::steady_clock::now();
    int number = 1;
    // A connection may be refused; the caller then repeats its turn.
    CHECK(wait_until([&] { return system.turn_at(owner, program, number, "turn").status == 200; }));
    MESSAGE("served after "
            << std::chrono::ceil<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count() << " ms");
    CHECK(std::chrono::steady_clock::now() - start < 2 * max_turn_time);
    for (number = 2; number <= 5; ++number) {
        CHECK(timed_turn(system, owner, program, number) < max_turn_time);
    }
    CHECK(std::ranges::all_of(flood, [](raw_connection& it) { return it.closed_within(silence_timeout); }));
    CHECK(timed_turn(system, owner, program, 6) < max_turn_time);
    CHECK(peak_resident_kb(system.entry(owner).pid()) < max_resident_kb);
}
