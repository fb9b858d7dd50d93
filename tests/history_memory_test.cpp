#include "owner_rig.h"

#include <doctest/doctest.h>
#include <malloc.h>

#include <optional>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

constexpr timestamp second{std::chrono::seconds{1}};
const budget large_limits{100'000'000, 1000, 100'000'000};

std::string name_of(std::size_t n)
{
    return "0-" + std::to_string(n);
}

std::string message_of(std::size_t bytes)
{
    return R"({"content":")" + std::string(bytes, 'x') + R"(","role":"user"})";
}

std::size_t heap_bytes()
{
    return ::mallinfo2().uordblks;
}

/// Opens programs, runs turns of the given size in each, and lets the texts reach the key-value service.
void fill(owner_rig& rig, std::size_t programs, std::uint64_t turns, std::size_t bytes)
{
    for (std::size_t n = 0; n < programs; ++n) {
        rig.open(name_of(n), large_limits);
        for (std::uint64_t turn = 1; turn <= turns; ++turn) {
            rig.turn(turn, message_of(bytes), name_of(n));
            // The prompts that the rig keeps are not part of what is measured.
            rig.engine_calls.clear();
            rig.replicated.clear();
        }
        rig.advance(3 * second);
    }
    rig.replicated.clear();
    rig.answers.clear();
}

/// Heap bytes of an owner with its programs, without the key-value service and the copies.
std::size_t owner_bytes(std::size_t programs, std::uint64_t turns, std::size_t bytes)
{
    cluster shared;
    std::optional<owner_rig> rig;
    rig.emplace(shared, "a");
    rig->take_over();
    fill(*rig, programs, turns, bytes);
    const std::size_t before = heap_bytes();
    rig.reset();
    return before - heap_bytes();
}

} // namespace

TEST_CASE("memory of an owner against the number of programs and the bytes of history")
{
    std::size_t last = 0;
    for (const std::size_t programs : {50, 100, 200, 400}) {
        const std::size_t bytes = owner_bytes(programs, 2, 100);
        MESSAGE(programs, " programs of 2 turns with 100 bytes: ", bytes / 1024, " KiB");
        CHECK(bytes > last);
        last = bytes;
    }
    for (const std::size_t kilobytes : {4, 16, 64}) {
        const std::size_t bytes = owner_bytes(40, 8, kilobytes * 1024);
        MESSAGE("40 programs of 8 turns with ", kilobytes, " KiB, ", kilobytes * 320, " KiB of history: ", bytes / 1024,
                " KiB");
    }
}
