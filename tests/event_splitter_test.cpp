#include "gateway/event_splitter.h"

#include <doctest/doctest.h>

#include <random>

using namespace lagoonferry;

TEST_CASE("events are returned complete, however their bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:3\ndata: c\n\nid: 4\nda";
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::minstd_rand random(seed + 1);
        event_splitter splitter;
        std::vector<stream_event> events;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t n = std::uniform_int_distribution<std::size_t>(1, 7)(random);
            for (auto& item : splitter.feed(std::string_view(stream).substr(at, n))) {
                events.push_back(std::move(item));
            }
            at += n;
        }
        REQUIRE(events.size() == 4);
        CHECK(events[0].id == 1);
        CHECK(events[1].id == 2);
        CHECK(events[1].text == "id: 2\r\ndata: b\r\n\r\n");
        CHECK_FALSE(events[2].id);
        CHECK(events[3].id == 3);
        CHECK(splitter.rest() == "id: 4\nda");
    }
}

TEST_CASE("an id that is not a number is ignored")
{
    CHECK_FALSE(event_id("id: x\ndata: 1\n\n"));
    CHECK_FALSE(event_id("data: id: 3\n\n"));
    CHECK(event_id("data: 1\nid: 7\n\n") == 7);
}
