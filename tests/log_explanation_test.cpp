#include "client/log_explanation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lagoonferry;

namespace {

// Recorded during an outage of the store.
constexpr std::string_view owner_log =
    R"(  1.5411 gw-a 2026-01-13 06:13:42,541 INFO  [entry] Request ended. request=60136dc7 program=9f7ee0 route=r outcome=answered reason= target=t1 events=26
  2.9000 gw-a 2026-01-13 06:13:43,900 WARN  [platform] The store does not answer on the routing document. revision=32
  3.2664 gw-a 2026-01-13 06:13:44,266 WARN  [program] The store did not take a budget mark. program=9f7ee0 request=ab012bdf level=618
  3.2700 gw-a 2026-01-13 06:13:44,270 INFO  [entry] Request ended. request=77777777 program=other route=r outcome=answered reason= target=t2 events=3
no line of ours
)";
constexpr std::string_view entry_log =
    R"(  3.2000 gw-b 2026-01-13 06:13:44,200 INFO  [dispatch] A target has changed. target=t9 state=draining revision=40
  3.2793 gw-b 2026-01-13 06:13:44,279 INFO  [entry] Request ended. request=ab012bdf program=9f7ee0 route=r outcome=refused_503 reason=the budget cannot be checked without the store target= events=0
  3.5000 gw-b 2026-01-13 06:13:44,500 INFO  [main] Stopping. requests=0
)";

std::vector<log_entry> all_lines()
{
    auto lines = read_log_entries("b.log", entry_log);
    for (auto& line : read_log_entries("a.log", owner_log)) {
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace

TEST_CASE("the explanation of a refused request has the lines of all gateways involved, in order of time")
{
    const auto found = explain_request(all_lines(), "ab012bdf");
    REQUIRE(found.size() == 4);
    CHECK(found[0].text.find("request=60136dc7") != std::string::npos);
    CHECK(found[1].text.find("The store does not answer") != std::string::npos);
    CHECK(found[2].text.find("did not take a budget mark") != std::string::npos);
    CHECK(found[2].source == "a.log:gw-a");
    CHECK(found[3].text.find("outcome=refused_503") != std::string::npos);
    CHECK(found[3].source == "b.log:gw-b");
}

TEST_CASE("an explanation has no lines of other programs or targets and no later lines")
{
    for (const log_entry& line : explain_request(all_lines(), "ab012bdf")) {
        CHECK(line.text.find("program=other") == std::string::npos);
        CHECK(line.text.find("target=t9") == std::string::npos);
        CHECK(line.text.find("Stopping") == std::string::npos);
    }
    CHECK(explain_request(all_lines(), "unknown").empty());
}

// Recorded when all gateways lost power: the gateway that handled the request could not log its end.
TEST_CASE("if the end of a request was not logged, its explanation has the restarts of gateways without a logged stop")
{
    constexpr std::string_view owner =
        R"(2026-09-17 00:02:43,232 INFO  [program] A turn is weighed against its budget. request=7e8b2ceb program=b802ab verdict=granted
2026-09-17 00:02:43,460 INFO  [entry] Request ended. request=045f15bc program=9a14b0 outcome=answered
2026-09-17 00:02:44,873 INFO  [main] Started. settings=local.json
)";
    constexpr std::string_view restarted =
        R"(2026-09-17 00:02:41,574 INFO  [main] Stopped. requests=0
2026-09-17 00:02:43,900 INFO  [main] Started. settings=local.json
)";
    auto lines = read_log_entries("a.log", owner);
    std::ranges::copy(read_log_entries("b.log", restarted), std::back_inserter(lines));
    const auto found = explain_request(lines, "7e8b2ceb");
    REQUIRE(found.size() == 3);
    CHECK(found[0].text.find("is weighed") != std::string::npos);
    CHECK(found[1].text.find("request=045f15bc") != std::string::npos);
    CHECK(found[2].text.find("Started.") != std::string::npos);
    CHECK(found[2].source == "a.log");
    // Restarts are not part of the explanation if the end of the request was logged.
    CHECK(explain_request(lines, "045f15bc").back().text.find("Request ended.") != std::string::npos);
}

TEST_CASE("the explanation of a kept turn has where it and the turn before it were kept, and the state of nodes")
{
    constexpr std::string_view gateway =
        R"(2026-09-17 00:02:43,100 INFO  [journal] A turn is kept. turn=a1 previous= confirmed=2 needed=2 nodes=3 in_store=0
2026-09-17 00:02:43,200 INFO  [journal] A turn is kept. turn=zz previous= confirmed=2 needed=2 nodes=3 in_store=0
2026-09-17 00:02:43,400 WARN  [journal] A history node does not respond. node=n2 call=/chain reason=timeout
2026-09-17 00:02:43,460 INFO  [journal] A turn continues an earlier one. request=b2 previous=a1 result=found bytes=9 ms=3
2026-09-17 00:02:43,900 WARN  [journal] A turn could not be kept. turn=b2 previous=a1 confirmed=1 needed=2 nodes=3 in_store=0
2026-09-17 00:02:43,901 INFO  [entry] Request ended. request=b2 program=p outcome=not_kept
)";
    constexpr std::string_view node =
        R"(2026-09-17 00:02:42,900 ERROR [journal] Turns cannot be written to the disk. segment=3 bytes=10 reason=full
)";
    auto lines = read_log_entries("g.log", gateway);
    std::ranges::copy(read_log_entries("n1.log", node), std::back_inserter(lines));
    const auto found = explain_request(lines, "b2");
    REQUIRE(found.size() == 6);
    CHECK(found[0].source == "n1.log");
    CHECK(found[1].text.find("turn=a1") != std::string::npos);
    CHECK(std::ranges::none_of(found, [](const auto& line) { return line.text.find("turn=zz") != std::string::npos; }));
}

TEST_CASE("the explanation of a kept turn of a client account has the turn before it")
{
    constexpr std::string_view text =
        R"(2026-09-17 00:02:43,100 INFO  [journal] A turn is kept. turn=club/a1 previous= confirmed=2 needed=2 nodes=3 in_store=0
2026-09-17 00:02:43,200 INFO  [journal] A turn is kept. turn=club/zz previous= confirmed=2 needed=2 nodes=3 in_store=0
2026-09-17 00:02:43,460 INFO  [journal] A turn continues an earlier one. request=b2 previous=a1 result=found bytes=9 ms=3
2026-09-17 00:02:43,901 INFO  [entry] Request ended. request=b2 program=p outcome=answered
)";
    const auto found = explain_request(read_log_entries("g.log", text), "b2");
    REQUIRE(found.size() == 3);
    CHECK(found.front().text.find("turn=club/a1") != std::string::npos);
}
