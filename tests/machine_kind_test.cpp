// What processes tell each other, store, or must decide alike is the same on each kind of machine. The expected values
// come from an x86-64 machine.
#include "conversation/history_messages.h"
#include "conversation/turn_record.h"
#include "peer/cluster_key.h"
#include "peer/datagram_codec.h"
#include "routing/route_table.h"
#include "util/portable_log.h"
#include "util/rendezvous.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <span>
#include <string>

using namespace lagoonferry;

namespace {

std::string hex(std::span<const std::byte> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::byte b : bytes) {
        text += digits[std::to_integer<std::size_t>(b) >> 4U];
        text += digits[std::to_integer<std::size_t>(b) & 0xfU];
    }
    return text;
}

} // namespace

TEST_CASE("differing machines: hashes and scores of a key are the same bits everywhere")
{
    CHECK(stable_hash("") == 0xd70077739d4b921eU);
    CHECK(stable_hash("partition/17") == 12820412363417927970U);
    CHECK(rendezvous_weight(stable_hash("a"), "front-1") == 14251423511693429796U);

    constexpr std::uint64_t count = 100'000;
    std::uint64_t digest = 0;
    for (std::uint64_t n = 0; n < count; ++n) {
        const double score = rendezvous_score(n, stable_hash("front-1"), static_cast<double>(n % 100 + 1));
        digest = rendezvous_weight(digest ^ std::bit_cast<std::uint64_t>(score), "front-1");
    }
    CHECK(digest == 16009568638660546376U);
}

TEST_CASE("the logarithm that is the same everywhere is as precise as std::log")
{
    constexpr double max_relative_error = 4 * 0x1p-53;
    double largest = 0;
    for (std::uint64_t n = 1; n <= 100'000; ++n) {
        const double uniform = static_cast<double>(rendezvous_weight(n, "x") >> 11U) * 0x1p-53 + 0x1p-54;
        const double expected = std::log(uniform);
        largest = std::max(largest, std::abs((portable_log(uniform) - expected) / expected));
    }
    CHECK(largest <= max_relative_error);
    CHECK(portable_log(1.0) == 0.0);
}

// With a fused multiplication and subtraction these keys would get the other service.
TEST_CASE("differing machines: turns of one program go to one service although its key is at the border of two")
{
    route thirds;
    thirds.services = {{"a", 0.3}, {"b", 0.6}, {"c", 0.1}};
    CHECK(choose_service(thirds, 0xe666666666666440U) == "b");
    route doubled;
    doubled.services = {{"a", 1}, {"b", 2}, {"c", 4}};
    CHECK(choose_service(doubled, 0x6db6db6db6db6a40U) == "c");
}

TEST_CASE("differing machines: datagrams have the same bytes everywhere")
{
    const cluster_key key("secret");
    const nlohmann::json body{
        {"n", 0xfedcba9876543210U}, {"x", -1.5}, {"t", "\xc3\xbc"}, {"b", nlohmann::json::binary({0, 0x80, 0xff})}};
    const auto bytes = encode_datagram({datagram_kind::losses, "front-\xc3\xbc", encode_cbor(body)}, key);
    CHECK(hex(bytes) ==
          "0b0866726f6e742dc3bca46162430080ff616e1bfedcba9876543210617462c3bc6178fabfc00000400940b835a86ccb");
}

TEST_CASE("differing machines: stored turns have the same bytes everywhere")
{
    const turn_record record{"id", "before", "in\xff", "out\n", std::chrono::milliseconds(60'000)};
    const turn_record* const records[] = {&record};
    const std::string text = encode_turns(records);
    CHECK(hex(std::as_bytes(std::span(text))) == "8185626964666265666f726563696eff646f75740a19ea60");
}
