#include "program/replica_store.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lagoonferry;

namespace {

log_item high_water_mark_item(std::uint64_t sequence)
{
    return {sequence, high_water_mark_entry{"0-a", {1, 1, 1}}, nullptr};
}

log_item turn(std::uint64_t sequence, std::uint64_t number, const std::string& previous, const std::string& answer)
{
    turn_text text{"0-a", number, previous, {"{}"}, answer, {}};
    text.digest = chain_digest(text);
    const turn_entry content{"0-a", number, text.digest, 1};
    return {sequence, content, std::make_shared<const stored_text>(text)};
}

replicate_request batch(std::uint64_t epoch, std::uint64_t previous, std::vector<log_item> items, bool reset = false,
                        std::uint64_t flushed = 0)
{
    return {0, 5, epoch, 1, reset, previous, flushed, std::move(items)};
}

} // namespace

TEST_CASE("a replica acknowledges its contiguous prefix, ignores duplicates and refuses gaps")
{
    replica_store store("b", 5);
    CHECK(store.replicate(batch(1, 0, {high_water_mark_item(1)})).status == replicate_status::gap);
    CHECK(store.replicate(batch(1, 0, {high_water_mark_item(1)}, true)).last == 1);
    CHECK(store.replicate(batch(1, 1, {high_water_mark_item(2), high_water_mark_item(3)})).last == 3);
    CHECK(store.replicate(batch(1, 1, {high_water_mark_item(2)})).last == 3);
    CHECK(store.replicate(batch(1, 0, {high_water_mark_item(1)}, true)).last == 3);
    const replicate_reply gap = store.replicate(batch(1, 4, {high_water_mark_item(5)}));
    CHECK(gap.status == replicate_status::gap);
    CHECK(gap.last == 3);
}

TEST_CASE("after a fetch with a higher epoch the former owner's batches are refused")
{
    replica_store store("b", 5);
    store.replicate(batch(1, 0, {high_water_mark_item(1)}, true));
    const fetch_reply fetched = store.fetch({0, 2, 0});
    CHECK(fetched.data_epoch == 1);
    CHECK(fetched.items.size() == 1);
    const replicate_reply late = store.replicate(batch(1, 1, {high_water_mark_item(2)}));
    CHECK(late.status == replicate_status::stale_epoch);
    CHECK(late.epoch == 2);
    CHECK(store.fetch({0, 1, 0}).refused);
    CHECK(store.replicate(batch(2, 1, {}, true)).status == replicate_status::accepted);
    CHECK(store.fetch({0, 2, 0}).data_epoch == 2);
}

TEST_CASE("a batch for an earlier start of the process does not replace the replica")
{
    replica_store store("b", 6);
    replicate_request request = batch(1, 0, {high_water_mark_item(1)}, true);
    CHECK(store.replicate(request).status == replicate_status::gap);
    request.incarnation = 6;
    CHECK(store.replicate(request).status == replicate_status::accepted);
}

TEST_CASE("a text with a wrong digest or predecessor is refused")
{
    replica_store store("b", 5);
    const log_item first = turn(1, 1, "", "a");
    const std::string digest = std::get<turn_entry>(first.content).digest;
    CHECK(store.replicate(batch(1, 0, {first}, true)).last == 1);
    CHECK(store.replicate(batch(1, 1, {turn(2, 2, "other", "b")})).last == 1);
    log_item changed = turn(2, 2, digest, "b");
    std::get<turn_entry>(changed.content).digest = "other";
    CHECK(store.replicate(batch(1, 1, {changed})).last == 1);
    CHECK(store.replicate(batch(1, 1, {turn(2, 2, digest, "b")})).last == 2);
}

TEST_CASE("flushed texts are dropped, their digests are kept, and the memory is limited")
{
    replica_store store("b", 5, {3000, 10, 1000});
    const log_item first = turn(1, 1, "", std::string(1000, 'a'));
    store.replicate(batch(1, 0, {first}, true));
    CHECK(store.replicate(batch(1, 1, {turn(2, 2, std::get<turn_entry>(first.content).digest, std::string(3000, 'b'))}))
              .status == replicate_status::full);
    CHECK(store.replicate(batch(1, 1, {}, false, 1)).status == replicate_status::accepted);
    CHECK(store.bytes() == 0);
    CHECK(store.replicate(batch(1, 1, {turn(2, 2, "other", "b")})).last == 1);
    CHECK(store.replicate(batch(1, 1, {turn(2, 2, std::get<turn_entry>(first.content).digest, "b")})).last == 2);
}

TEST_CASE("a large replica is fetched in parts")
{
    replica_store store("b", 5, {100000, 10, 1000});
    std::vector<log_item> items;
    for (std::uint64_t n = 1; n <= 20; ++n) {
        items.push_back(high_water_mark_item(n));
    }
    store.replicate(batch(1, 0, items, true));
    std::uint64_t after = 0;
    int parts = 0;
    for (fetch_reply part = store.fetch({0, 2, after}); !part.items.empty(); part = store.fetch({0, 2, after})) {
        after = part.items.back().sequence;
        ++parts;
    }
    CHECK(after == 20);
    CHECK(parts > 1);
}

TEST_CASE("replica messages are unchanged by serialization and parsing")
{
    const replicate_request request = batch(3, 4, {turn(5, 1, "", "a"), high_water_mark_item(6)}, true, 2);
    const auto same = nlohmann::json(request).get<replicate_request>();
    CHECK(nlohmann::json(same) == nlohmann::json(request));
    const fetch_reply reply{0, "b", 5, 3, 1, false, 2, 6, request.items};
    CHECK(nlohmann::json(nlohmann::json(reply).get<fetch_reply>()) == nlohmann::json(reply));
    CHECK_THROWS_AS(nlohmann::json::object().get<replicate_request>(), nlohmann::json::exception);
}
