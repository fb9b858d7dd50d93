#include "running_standin.h"

#include "engine_server.h"

#include "backends/http_engine_client.h"
#include "blackboard/board.h"
#include "entry/slot_ticket.h"
#include "entry/turn_runner.h"
#include "roles/messages.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace lagoonferry;
using namespace lagoonferry::standin;
using lagoonferry::test::running_standin;

namespace {

engine_options fast_engine()
{
    engine_options options;
    options.limits.decode_tokens_per_second = 5000;
    options.limits.prefill_tokens_per_second = 1e6;
    return options;
}

/// A slot controller that grants each request at once, on the first target that is not excluded.
caf::behavior granting_slot_controller(caf::event_based_actor* /*self*/)
{
    auto next = std::make_shared<std::uint64_t>(0);
    return {
        [next](const acquire_slot& message) {
            const auto excluded = [&](const char* id) {
                return std::ranges::find(message.request.excluded, id) != message.request.excluded.end();
            };
            message.ticket->set_request(++*next);
            message.ticket->set_result(granted_slot{"m", *next, *next, excluded("e0") ? "e1" : "e0"});
        },
        [](const return_slot& /*message*/) {},
    };
}

/// A turn runner with two engines.
struct turn_runner_fixture {
    running_standin<engine_server> first{fast_engine()};
    running_standin<engine_server> second{fast_engine()};
    call_counts counts;
    http_engine_client engines{8, counts};
    board shared;
    caf::actor_system_config config;
    caf::actor_system system{config};
    caf::actor slots = system.spawn(granting_slot_controller);
    turn_runner runner{&shared, slots, &engines, 1};
    std::vector<turn_runner::attempt_result> attempts;

    turn_runner_fixture()
    {
        target_map map;
        map.targets["e0"].address = first.address();
        map.targets["e1"].address = second.address();
        shared.targets.write(std::move(map));
        runner.set_observer(
            [this](const call_options&, const turn_runner::attempt_result& attempt) { attempts.push_back(attempt); });
    }

    ~turn_runner_fixture() { caf::anon_send_exit(slots, caf::exit_reason::user_shutdown); }
    turn_runner_fixture(const turn_runner_fixture&) = delete;
    turn_runner_fixture& operator=(const turn_runner_fixture&) = delete;

    turn_result run(const std::string& id)
    {
        start_engine_call work;
        work.call = id;
        work.program = "0-" + id;
        work.messages = {R"({"role":"user","content":"say 9 tokens"})"};
        work.max_completion_tokens = 64;
        call_options options;
        options.model = "m";
        return runner.run(work, options, [](std::string_view) { return true; });
    }
};

} // namespace

TEST_CASE("after a resume on another target only the first attempt has the call's first token")
{
    turn_runner_fixture fixture;
    fixture.first.add_fault({{"cut_after_tokens", 4}});
    const turn_result result = fixture.run("a");
    REQUIRE(std::holds_alternative<engine_completed>(result));
    CHECK(std::get<engine_completed>(result).usage.completion == 9);
    REQUIRE(fixture.attempts.size() == 2);
    CHECK(fixture.attempts[0].delivered_first_token());
    CHECK(fixture.attempts[1].tokens == 5);
    CHECK_FALSE(fixture.attempts[1].delivered_first_token());
}

TEST_CASE("calls that succeed refill the retry budget, so that a process does not stop retrying for good")
{
    turn_runner_fixture fixture;
    fixture.first.add_fault({{"cut_after_tokens", 4}});
    int completed = 0;
    for (int n = 0; n < 12; ++n) {
        completed += std::holds_alternative<engine_completed>(fixture.run("a" + std::to_string(n))) ? 1 : 0;
    }
    CHECK(completed < 12);
    fixture.first.clear_faults();
    for (int n = 0; n < 20; ++n) {
        CHECK(std::holds_alternative<engine_completed>(fixture.run("b" + std::to_string(n))));
    }
    fixture.first.add_fault({{"cut_after_tokens", 4}});
    CHECK(std::holds_alternative<engine_completed>(fixture.run("c")));
}
