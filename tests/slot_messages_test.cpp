#include "dispatch/slot_messages.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

namespace {

/// A large but realistic acquire: long identifiers, all numeric fields set.
slot_acquire large_acquire()
{
    slot_acquire m;
    m.request = 0xfedcba9876543210U;
    m.holder = "entry-instance-17";
    m.service = "ruderbootzuteilung";
    m.model = "allocation";
    m.account = "ruderclub-waedenswil";
    m.priority = service_class::bulk;
    m.attained_service = 1'000'000;
    m.prompt_tokens = 300'000;
    m.expected_output = 1000;
    m.prefix = 0x0123456789abcdefU;
    m.deadline = std::chrono::seconds(600);
    m.excluded = {"allocation-17"};
    return m;
}

std::size_t cbor_size(const slot_message& m)
{
    return nlohmann::json::to_cbor(encode_slot_message(m)).size();
}

template <class Message>
Message round_trip(const Message& m)
{
    const auto bytes = nlohmann::json::to_cbor(encode_slot_message(m));
    const auto decoded = decode_slot_message(nlohmann::json::from_cbor(bytes));
    REQUIRE(decoded.has_value());
    REQUIRE(std::holds_alternative<Message>(*decoded));
    return std::get<Message>(*decoded);
}

} // namespace

TEST_CASE("an acquire and a grant stay below 150 bytes, to bound the control traffic for each request")
{
    CHECK(cbor_size(large_acquire()) < 150);
    CHECK(cbor_size(slot_grant{0xfedcba9876543210U, 0xfedcba9876543210U, "allocation-17", 0xffffffffU}) < 150);
    MESSAGE("acquire ", cbor_size(large_acquire()), " bytes, grant ",
            cbor_size(slot_grant{0xfedcba9876543210U, 0xfedcba9876543210U, "allocation-17", 0xffffffffU}), " bytes");
}

TEST_CASE("encoding and decoding preserve all fields")
{
    const auto acquire = round_trip(large_acquire());
    CHECK(nlohmann::json(acquire) == nlohmann::json(large_acquire()));
    CHECK(acquire.deadline == std::chrono::seconds(600));
    CHECK(acquire.excluded.front() == "allocation-17");

    const auto release = round_trip(slot_release{1, "entry-1", 2, 3, 4, 5, true, true});
    CHECK(release.first_token_us == 2);
    CHECK(release.per_token_us == 3);
    CHECK(release.tokens == 4);
    CHECK(release.cached_tokens == 5);
    CHECK(release.failed);
    CHECK(release.preempted);

    const slot_report report{"entry-1", {{7, 8, "engine-1", service_class::bulk, 9, 10}}, false, 11, 12, 1, 3};
    const auto holding = round_trip(report);
    CHECK_FALSE(holding.complete);
    CHECK(holding.epoch == 11);
    CHECK(holding.report == 12);
    CHECK(holding.part == 1);
    CHECK(holding.parts == 3);
    CHECK(round_trip(slot_report{"entry-1", {}, true}).complete);
    CHECK(nlohmann::json(holding) == nlohmann::json(report));
    CHECK(round_trip(slot_progress{"entry-1", {{7, 100}}}).slots.front().tokens == 100);
    CHECK(round_trip(slot_preempt{7}).slot == 7);
    CHECK(round_trip(slot_refuse{1, std::chrono::milliseconds(1500), result_code::no_target}).retry_after.count() ==
          1500);
    CHECK(round_trip(slot_cancel{3, "entry-1"}).request == 3);
    CHECK(round_trip(slot_released{4, 0}).slot == 4);
    CHECK(round_trip(slot_query{5}).epoch == 5);
    CHECK(round_trip(slot_epoch{6}).epoch == 6);
}

TEST_CASE("a message with a wrong type or value is rejected without an exception")
{
    using nlohmann::json;
    CHECK_FALSE(decode_slot_message(json::parse("[]")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"r":1})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":99,"r":1})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":0,"r":"1"})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":0,"r":-1})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":0,"c":4})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":0,"p":4294967296})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":2,"q":0})")));
    CHECK_FALSE(decode_slot_message(json::parse(R"({"t":7,"l":[[1]]})")));
}
