#include "gateway/gateway_context.h"
#include "gateway/target_list_sync.h"
#include "net/http_types.h"
#include "net/spawn.h"
#include "peer/cluster_key.h"
#include "peer/datagram_codec.h"
#include "platform/header_fields.h"
#include "platform/http_platform_adapter.h"
#include "platform/settings_file.h"
#include "platform/store_entries.h"
#include "platform/store_requests.h"
#include "platform/wire_names.h"
#include "resident_memory.h"
#include "soak/soak_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <functional>
#include <random>
#include <thread>

using namespace lagoonferry;
using lagoonferry::test::resident_kb;
using std::chrono::milliseconds;

namespace {

const std::string valid_entry = R"({"service":"s","address":"127.0.0.1:9","state":"ready","zone":"a","slots":8,)"
                                R"("sequence":1,"born":1764900000000,"coldLeftMs":0})";

std::string key_of(std::string_view id)
{
    return std::string(platform::wire_names::servers_prefix) + std::string(id);
}

/// Returns the valid entry with one field replaced by JSON text.
std::string entry_with(std::string_view field, std::string_view value)
{
    std::string out = valid_entry;
    const std::size_t name = out.find("\"" + std::string(field) + "\":");
    const std::size_t begin = out.find(':', name) + 1;
    out.replace(begin, out.find_first_of(",}", begin) - begin, value);
    return out;
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Entries that another writer may leave among those of the targets.
std::vector<std::string> odd_entries()
{
    std::string doubled = valid_entry;
    doubled.insert(1, R"("address":7,)");
    doubled.insert(doubled.size() - 1, R"(,"address":[])");
    return {nested(100'000),
            nested(400'000),
            entry_with("zone", nested(200'000)),
            std::string(900'000, '['),
            std::string(300'000, '{'),
            entry_with("slots", "1e999"),
            entry_with("slots", "4294967296"),
            entry_with("slots", "18446744073709551616"),
            entry_with("slots", "-8"),
            entry_with("slots", "0.5"),
            entry_with("slots", "null"),
            entry_with("sequence", "1e300"),
            entry_with("sequence", "NaN"),
            entry_with("born", "1e400"),
            entry_with("born", "99999999999999999999999999"),
            entry_with("born", "-5"),
            entry_with("address", R"("127.0.0.1:99999")"),
            entry_with("address", R"("127.0.0.1:65536")"),
            entry_with("address", R"("127.0.0.1:0")"),
            entry_with("address", R"("127.0.0.1:-1")"),
            entry_with("address", R"("127.0.0.1:80x")"),
            entry_with("address", R"("127.0.0.1:99999999999999999999")"),
            entry_with("address", R"("example:80")"),
            entry_with("address", R"(":80")"),
            entry_with("state", R"("Ready")"),
            "{\"service\":\"\xff\xfe\",\"address\":\"127.0.0.1:9\"}",
            doubled,
            valid_entry + std::string(900'000, ' '),
            "",
            "null"};
}

/// Returns `text` with a few bytes changed, inserted, doubled or removed.
std::string mutated(std::string text, std::minstd_rand& random)
{
    const auto below = [&random](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    constexpr std::string_view bytes = "{}[]\",:0123456789eE+-.\\u\0\xff tfn";
    for (std::size_t n = below(4) + 1; n > 0 && !text.empty(); --n) {
        const std::size_t at = below(text.size());
        switch (below(5)) {
        case 0:
            text[at] = bytes[below(bytes.size())];
            break;
        case 1:
            text.insert(at, std::string(below(40) + 1, bytes[below(bytes.size())]));
            break;
        case 2:
            text.erase(at, below(20) + 1);
            break;
        case 3:
            text.insert(at, text.substr(at, below(60) + 1));
            break;
        default:
            text[at] = static_cast<char>(below(256));
        }
    }
    return text;
}

/// Seeds of the fuzz tests. LAGOONFERRY_FUZZ_SEED selects others, and LAGOONFERRY_FUZZ_ROUNDS their number.
unsigned setting(const char* name, unsigned fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

void fuzz(const std::vector<std::string>& valid, const std::function<void(const std::string&)>& decode)
{
    const unsigned seed = setting("LAGOONFERRY_FUZZ_SEED", 17);
    const unsigned rounds = setting("LAGOONFERRY_FUZZ_ROUNDS", 3'000);
    CAPTURE(seed);
    std::minstd_rand random(seed);
    for (unsigned n = 0; n < rounds; ++n) {
        const std::string text = mutated(valid[n % valid.size()], random);
        CAPTURE(text);
        CHECK_NOTHROW(decode(text));
    }
}

} // namespace

TEST_CASE("an odd entry among those of the targets names no target")
{
    failure reason;
    REQUIRE(platform::read_target_entry(key_of("t"), valid_entry, reason));
    const std::size_t before = resident_kb();
    for (const std::string& value : odd_entries()) {
        const std::string shown = value.substr(0, 200);
        CAPTURE(shown);
        CHECK_FALSE(platform::read_target_entry(key_of("t"), value, reason));
    }
    CHECK(resident_kb() < before + 20'000);
    CHECK_FALSE(platform::read_target_entry(key_of("a\r\nX-More: 1"), valid_entry, reason));
    CHECK_FALSE(platform::read_target_entry(key_of(""), valid_entry, reason));
    CHECK_FALSE(platform::read_target_entry("s", valid_entry, reason));
}

TEST_CASE("a long time of slow start, and fields that are not known, leave an entry usable")
{
    failure reason;
    const auto slow = platform::read_target_entry(key_of("t"), entry_with("coldLeftMs", "1e17"), reason);
    REQUIRE(slow);
    CHECK(slow->slow_start_left <= std::chrono::hours(24));
    CHECK(platform::read_target_entry(key_of("t"), entry_with("zone", R"([1,{"more":2}])"), reason));
}

TEST_CASE("a gateway follows the list of targets on after odd entries")
{
    asio::io_context loop{1};
    soak::soak_store store(loop.get_executor());
    const platform::http_platform_adapter adapter;
    gateway_settings settings;
    settings.id = "g";
    settings.ip = "127.9.1.1";
    settings.failure_domain = "a";
    settings.callers = {settings.ip, 18'150};
    settings.datagram_port = 17'381;
    settings.first_start = true;
    const std::string& address = store.address();
    settings.store = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))};
    gateway_context context(loop.get_executor(), settings, adapter);
    context.store.set_address({asio::ip::make_address(settings.store.ip), settings.store.port});
    REQUIRE(context.fleet.start());
    target_list_sync sync(context);
    store.put(key_of("t1"), valid_entry);
    sync.start();
    const auto run_until = [&](const std::function<bool()>& done) {
        const auto limit = std::chrono::steady_clock::now() + milliseconds(6'000);
        while (!done() && std::chrono::steady_clock::now() < limit) {
            loop.poll();
            std::this_thread::sleep_for(milliseconds(1));
        }
        return done();
    };
    const auto usable = [&](std::string_view id) { return context.targets.find_usable(id, steady_now()) != nullptr; };
    REQUIRE(run_until([&] { return usable("t1"); }));
    int number = 0;
    for (const std::string& value : odd_entries()) {
        store.put(key_of("odd" + std::to_string(number % 3)), value);
        const std::string next = "n" + std::to_string(number++);
        store.put(key_of(next), valid_entry);
        CHECK(run_until([&] { return usable(next); }));
    }
    CHECK_FALSE(usable("odd0"));
    CHECK(usable("t1"));
    store.compact();
    store.put(key_of("last"), valid_entry);
    CHECK(run_until([&] { return usable("last"); }));
}

TEST_CASE("deeply nested documents of the operator and settings are rejected without much memory")
{
    const std::size_t before = resident_kb();
    failure reason;
    CHECK_FALSE(platform::read_routing_document(nested(500'000), reason));
    CHECK_FALSE(platform::read_routing_document(R"({"version":1,"routes":)" + nested(400'000) + "}", reason));
    CHECK_FALSE(platform::read_settings(nested(500'000), reason));
    CHECK(platform::read_store_response(200, nested(500'000)).status == store_status::unknown);
    CHECK(resident_kb() < before + 20'000);
}

TEST_CASE("a routing document with numbers that are too large yields bounded values")
{
    failure reason;
    const auto document = platform::read_routing_document(
        R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":1e17,)"
        R"("priority":1e17,"maxAttempts":4294967296,"service":"s"}],"services":[{"name":"s","maxConns":1e18}]})",
        reason);
    REQUIRE(document);
    CHECK(document->routes.front().timeout <= std::chrono::hours(24));
    CHECK(document->routes.front().max_targets >= 1);
    CHECK(document->routes.front().rank > 0);
}

TEST_CASE("fuzz: entries of targets")
{
    fuzz({valid_entry, entry_with("state", R"("draining")")}, [](const std::string& text) {
        failure reason;
        if (const auto target = platform::read_target_entry(key_of("t"), text, reason)) {
            CHECK(target->slots > 0);
            CHECK(target->slow_start_left <= std::chrono::hours(24));
        }
    });
}

TEST_CASE("fuzz: routing documents, settings and responses of the store")
{
    const std::string document =
        R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":3000,)"
        R"("sloMs":250,"priority":0,"split":[{"service":"s","weight":90}],"maxAttempts":2,"resumable":true}],)"
        R"("services":[{"name":"s","maxConns":140,"engine":{"slots":8,"kvCapacity":94652,"eventTokens":14}}],)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    fuzz({document}, [](const std::string& text) {
        failure reason;
        platform::read_routing_document(text, reason);
    });
    const std::string settings =
        R"({"nodeName":"n","ip":"10.1.0.38","zone":"a","region":"r","listen":{"front":"10.1.0.38:8149"},)"
        R"("portRange":[7380,7395],"seeds":["10.1.0.38:8144"],"bootstrap":true,"limits":{"cpuShare":0.25,)"
        R"("maxFds":4100},"bounds":{"drainMs":2000,"graceS":8},"platform":{"address":"10.200.1.7:8142","ttlMinMs":1000}})";
    fuzz({settings}, [](const std::string& text) {
        failure reason;
        platform::read_settings(text, reason);
    });
    const std::string reply =
        R"({"items":[{"key":"k","value":"YWJj","revision":3,"createdRev":1,"lease":0}],)"
        R"("hasMore":false,"storeRevision":9,"events":[{"key":"k","revision":4,"removed":true}]})";
    fuzz({reply}, [](const std::string& text) { platform::read_store_response(200, text); });
}

// Found by the fuzz test with seed 7: the decoder threw, and the task that receives datagrams ended.
TEST_CASE("a datagram that claims a list longer than any memory is refused")
{
    for (const char kind : {'\x9b', '\xbb'}) { // a list and a map with a length of eight bytes
        CHECK_FALSE(decode_cbor(std::string(1, kind) + "abcdefgh"));
    }
}

TEST_CASE("fuzz: header fields and datagrams")
{
    fuzz({"5c1e07a2:800,91bd3f06:410", "1840,135", "3,0,8,100", "timeout=5, max=7", "5000.7", "12"},
         [](const std::string& text) {
             http_fields fields;
             for (const std::string_view name :
                  {"Lagoonferry-Prompt-Prefix", "Lagoonferry-Token-Count", "Lagoonferry-Server-Load", "Keep-Alive",
                   "Lagoonferry-Deadline-Ms", "Last-Event-Id", "Lagoonferry-Token-Budget"}) {
                 fields.set(to_beast(name), to_beast(text));
             }
             platform::read_call_fields(fields);
             platform::read_response_fields(fields);
         });
    const cluster_key key("k");
    const auto bytes = encode_datagram({datagram_kind::targets, "g", encode_cbor({{"f", 1}, {"c", {1, 2}}})}, key);
    const std::string datagram(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    fuzz({datagram, encode_cbor({{"f", 1}, {"c", {1, "a"}}, {"l", true}})}, [&key](const std::string& text) {
        decode_datagram(std::as_bytes(std::span(text)), key);
        decode_cbor(text);
    });
}
