#include "platform/header_fields.h"
#include "platform/http_platform_adapter.h"
#include "platform/settings_file.h"
#include "platform/store_entries.h"
#include "platform/store_requests.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lagoonferry;
using std::chrono::milliseconds;

namespace {

http_fields turn_header()
{
    http_fields fields;
    fields.set(http::field::host, "h.example");
    fields.set("Lagoonferry-Request-Id", "9c41");
    fields.set("Lagoonferry-Program-Id", "3fa81c");
    fields.set("Lagoonferry-Session-Id", "77d20b");
    fields.set("Lagoonferry-Finish-Ms", "5200");
    fields.set("Lagoonferry-Token-Budget", "1080");
    fields.set("Lagoonferry-Token-Count", "1840,135");
    fields.set("Lagoonferry-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,bad,e4:x");
    fields.set("Lagoonferry-Deadline-Ms", "5000.7");
    fields.set("Last-Event-Id", "12");
    return fields;
}

nlohmann::json settings_json()
{
    return {{"nodeName", "front-a-1"},
            {"ip", "10.1.0.38"},
            {"zone", "a"},
            {"bootstrap", true},
            {"listen", {{"front", "10.1.0.38:8149"}, {"ready", "10.1.0.38:8141"}}},
            {"portRange", {7380, 7395}},
            {"seeds", {"10.1.0.38:8144", "10.2.0.40:8144"}},
            {"limits", {{"cpuShare", 0.25}, {"maxFds", 4100}, {"memoryMb", 96}}},
            {"bounds", {{"graceS", 8}, {"drainMs", 2000}}},
            {"platform", {{"address", "10.200.1.7:8142"}}},
            {"somethingNew", {1, 2}}};
}

std::optional<gateway_settings> read(const nlohmann::json& value, failure& reason)
{
    return platform::read_settings(value.dump(), reason);
}

nlohmann::json entry_json()
{
    return {{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "a"},
            {"slots", 48},    {"state", "ready"},         {"sequence", 4},
            {"born", 1000}};
}

bool is_valid_entry(const nlohmann::json& value)
{
    failure reason;
    return platform::read_target_entry("servers/i-1", value.dump(), reason).has_value();
}

} // namespace

TEST_CASE("the header fields of a turn are parsed, and malformed values are ignored")
{
    const call_metadata call = platform::read_call_fields(turn_header());
    CHECK(call.request_id == "9c41");
    CHECK(call.program == "3fa81c");
    CHECK(call.session == "77d20b");
    CHECK(call.program_time_left == milliseconds(5'200));
    CHECK(call.deadline == milliseconds(5'000));
    CHECK(call.token_budget == 1'080);
    CHECK(call.prompt_tokens == 1'840);
    CHECK(call.max_output_tokens == 135);
    CHECK(call.last_event_id == 12);
    REQUIRE(call.prompt.size() == 2);
    CHECK(call.prompt[0].id == 0x5c1e07a2);
    CHECK(call.prompt[1].tokens == 410);
}

TEST_CASE("a forwarded request keeps the caller's fields, except hop-by-hop fields and those only the gateway may set")
{
    http_fields from = turn_header();
    from.set("X-Own", "1");
    from.set("X-Hop", "2");
    from.set(http::field::connection, "keep-alive, X-Hop");
    from.set(http::field::te, "trailers");
    from.set("Lagoonferry-Hold", "h");
    from.set("Lagoonferry-Pin-Ms", "9");
    from.set("lagoonferry-kv-backup", "10.0.0.1:1");
    from.set("Kv-From", "10.0.0.1:1/2");
    from.set("Lagoonferry-Expect-Instance", "forged");
    from.set("Lagoonferry-Request-Priority", "0");
    http_fields out;
    platform::write_forward_fields(out, from, {milliseconds(1'234), "i-7", std::nullopt, std::nullopt});
    CHECK(out["X-Own"] == "1");
    CHECK(out["Lagoonferry-Request-Id"] == "9c41");
    CHECK(out["Lagoonferry-Deadline-Ms"] == "1234");
    CHECK(out["Lagoonferry-Expect-Instance"] == "i-7");
    CHECK(out["Last-Event-Id"] == "12");
    for (const char* name : {"X-Hop", "TE", "Connection", "Lagoonferry-Hold", "Lagoonferry-Pin-Ms",
                             "Lagoonferry-Kv-Backup", "Kv-From", "Lagoonferry-Request-Priority"}) {
        CAPTURE(name);
        CHECK(out.count(name) == 0);
    }
    platform::write_forward_fields(out, from, {milliseconds(1), "i-7", 40, 3});
    CHECK(out["Last-Event-Id"] == "40");
    CHECK(out["Lagoonferry-Request-Priority"] == "3");
}

TEST_CASE("load, rejection and keep-alive are read from the header fields of a response")
{
    http_fields fields;
    fields.set("Lagoonferry-Request-Id", "9c41");
    fields.set("Lagoonferry-Response-Stamp", "s");
    fields.set("Lagoonferry-Server-Load", "3,1,8,250");
    fields.set(http::field::keep_alive, "timeout=5, max=100");
    response_metadata response = platform::read_response_fields(fields);
    CHECK(response.signed_by_target);
    CHECK_FALSE(response.not_executed);
    REQUIRE(response.load);
    CHECK(response.load->running == 3);
    CHECK(response.load->waiting == 1);
    CHECK(response.load->work_factor == doctest::Approx(2.5));
    CHECK(response.keep_alive == std::chrono::seconds(5));
    fields.set("Lagoonferry-Not-Executed", "1");
    fields.set("Lagoonferry-Server-Load", "3,x,8");
    fields.set(http::field::content_encoding, "gzip");
    response = platform::read_response_fields(fields);
    CHECK(response.not_executed);
    CHECK(response.encoded);
    CHECK_FALSE(response.load);
}

TEST_CASE("settings are parsed, and unknown fields are ignored")
{
    failure reason;
    const auto settings = read(settings_json(), reason);
    REQUIRE(settings);
    CHECK(settings->id == "front-a-1");
    CHECK(settings->callers == listen_address{"10.1.0.38", 8149});
    CHECK(settings->store == listen_address{"10.200.1.7", 8142});
    CHECK(settings->datagram_port == 7380);
    CHECK(settings->seed_ips == std::vector<std::string>{"10.1.0.38", "10.2.0.40"});
    CHECK(settings->first_start);
    CHECK(settings->capacity == 25);
    CHECK(settings->memory_bytes == 96U * 1'048'576U);
    CHECK(settings->stop_grace == milliseconds(8'000));
}

TEST_CASE("an invalid setting is rejected with a message that names it")
{
    failure reason;
    nlohmann::json value = settings_json();
    value["listen"]["front"] = "10.1.0.38";
    CHECK_FALSE(read(value, reason));
    CHECK(reason.text.find("front") != std::string::npos);
    value = settings_json();
    value["bounds"]["graceS"] = "eight";
    CHECK_FALSE(read(value, reason));
    CHECK(reason.text.find("graceS") != std::string::npos);
    value = settings_json();
    value.erase("nodeName");
    CHECK_FALSE(read(value, reason));
    CHECK(reason.text.find("nodeName") != std::string::npos);
    CHECK_FALSE(platform::read_settings("[1]", reason));
    CHECK_FALSE(platform::read_settings("{", reason));
}

TEST_CASE("a malformed entry below the targets' prefix yields no target")
{
    CHECK(is_valid_entry(entry_json()));
    for (const auto& [name, invalid] : std::vector<std::pair<std::string, nlohmann::json>>{{"service", 7},
                                                                                           {"address", nullptr},
                                                                                           {"address", "nowhere"},
                                                                                           {"state", "gone"},
                                                                                           {"slots", "48"},
                                                                                           {"slots", 0},
                                                                                           {"sequence", -1},
                                                                                           {"born", 10.5}}) {
        nlohmann::json value = entry_json();
        value[name] = invalid;
        CAPTURE(name);
        CHECK_FALSE(is_valid_entry(value));
        value.erase(name);
        CHECK((name == "born" || !is_valid_entry(value)));
    }
    failure reason;
    CHECK_FALSE(platform::read_target_entry("servers/i-1", "\xff\x00{", reason));
}

TEST_CASE("a routing document is parsed with the kinds of its routes, traffic weights and limits")
{
    const nlohmann::json value{
        {"version", 7},
        {"routes",
         {{{"name", "r"},
           {"host", "h"},
           {"pathPrefix", "/a/"},
           {"kind", "streaming"},
           {"timeoutMs", 5000},
           {"sloMs", 200},
           {"maxAttempts", 1},
           {"resumable", true},
           {"gapAimMs", 400},
           {"split", {{{"service", "x"}, {"weight", 90}}, {{"service", "y"}, {"weight", 10}}}}},
          {{"name", "u"}, {"host", "h"}, {"pathPrefix", "/b/"}, {"kind", "something"}, {"service", "z"}}}},
        {"services", {{{"name", "x"}, {"maxConns", 300}, {"engine", {{"eventTokens", 3}}}}}},
        {"limits", {{"idleTimeoutMs", 9000}}}};
    failure reason;
    const auto document = platform::read_routing_document(value.dump(), reason);
    REQUIRE(document);
    CHECK(document->version == 7);
    CHECK(document->routes[0].rule == retry_rule::event_stream);
    CHECK(document->routes[0].retryable());
    CHECK(document->routes[0].services.size() == 2);
    CHECK(document->routes[0].max_targets == 1);
    // Requests of an unknown kind must not be retried.
    CHECK(document->routes[1].rule == retry_rule::non_idempotent);
    CHECK(document->services[0].tokens_per_event == 3);
    CHECK(document->limits.idle_timeout == milliseconds(9'000));
    CHECK_FALSE(platform::read_routing_document("{}", reason));
}

TEST_CASE("requests to the store are encoded and its responses decoded")
{
    CHECK(platform::range_request("servers/", {}, true).target() == "/v1/kv-range?pathPrefix=servers/&allowStale=1");
    CHECK(platform::range_request("a/", "a/b c", false).target() == "/v1/kv-range?pathPrefix=a/&after=a/b%20c");
    CHECK(platform::watch_request("op/", 12, milliseconds(500)).target() ==
          "/v1/kv-watch?pathPrefix=op/&after=12&waitMs=500");
    const std::vector<store_condition> conditions{{"k", 0}};
    const std::vector<store_item> items{{"k", "node-1", 0, false}, {"old", "", 0, true}};
    const auto body = nlohmann::json::parse(platform::write_request(conditions, items).body());
    CHECK(body["expectedRev"][0]["revision"] == 0);
    CHECK(body["writes"][0]["value"] == "bm9kZS0x");
    CHECK(body["deletes"][0] == "old");

    const store_reply events = platform::read_store_response(
        200, R"({"events":[{"key":"k","value":"bm9kZS0x","revision":412},{"key":"o","revision":413,"removed":true},
                 {"key":"torn","value":"***","revision":414}],"storeRevision":414})");
    CHECK(events.status == store_status::ok);
    REQUIRE(events.found.items.size() == 2);
    CHECK(events.found.items[0].value == "node-1");
    CHECK(events.found.items[1].removed);
    CHECK(platform::read_store_response(412, R"({"items":[]})").status == store_status::conflict);
    CHECK(platform::read_store_response(410, "{}").status == store_status::compacted);
    CHECK(platform::read_store_response(503, "").status == store_status::unavailable);
    CHECK(platform::read_store_response(429, "").status == store_status::unavailable);
    CHECK(platform::read_store_response(200, "<html>").status == store_status::unknown);
    CHECK(platform::read_store_response(500, "").status == store_status::unknown);
}

TEST_CASE("the gateway answers only the platform's own endpoints itself")
{
    const platform::http_platform_adapter adapter;
    CHECK(adapter.local_endpoint_of("GET", "/v1/readiness") == local_endpoint::readiness);
    CHECK(adapter.local_endpoint_of("GET", "/v1/resolve?name=a&zone=z") == local_endpoint::lookup);
    CHECK(adapter.local_endpoint_of("POST", "/v1/readiness") == local_endpoint::none);
    CHECK(adapter.caller_host("/v1/resolve?name=a.example&zone=z") == "a.example");
    CHECK(adapter.caller_domain("/v1/resolve?name=a.example&zone=z") == "z");
    CHECK(adapter.caller_domain("/v1/resolve?name=a&region=r&zone=z") == "z");
    const auto body =
        nlohmann::json::parse(adapter.lookup_body(std::vector<std::string>{"1.2.3.4:5"}, milliseconds(2'000)));
    CHECK(body["addresses"][0] == "1.2.3.4:5");
    CHECK(body["ttlS"] == 2);
}
