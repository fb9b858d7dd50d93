#include "document/document_diff.h"
#include "document/document_put.h"
#include "document/document_schema.h"
#include "document/document_table.h"
#include "util/digest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <set>

using namespace lagoonferry;
using nlohmann::json;

namespace {

json example()
{
    std::ifstream in("examples/boat-assignment.json");
    REQUIRE_MESSAGE(in, "run the tests from the root of the repository");
    return json::parse(in);
}

bool has_fault(const document_check& check, std::string_view path, std::string_view reason)
{
    return std::ranges::any_of(check.faults, [&](const document_fault& fault) {
        return fault.path == path && fault.reason.find(reason) != std::string::npos;
    });
}

document_record record_of(std::uint64_t version, const std::string& service = "boat-assignment")
{
    json body = example();
    body["service"] = service;
    return {service, version, "w" + std::to_string(version), "author", 0, body};
}

put_request request_of(std::string author, std::uint64_t if_version)
{
    return {"s", json{{"from", author}}, author, if_version, author + "-" + std::to_string(if_version), 0};
}

/// An in-memory key-value store that can lose, delay or reject compare-and-swap calls.
class faulty_store : public kv_store {
public:
    enum class fault { none, lose_reply, drop, delay, unavailable };

    std::function<fault()> next_fault = [] { return fault::none; };
    std::function<void()> before_write = [] {};

    kv_read get(std::string_view key) override
    {
        const auto it = m_values.find(key);
        return {kv_status::ok, it == m_values.end() ? kv_entry{} : it->second};
    }

    kv_write compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value) override
    {
        before_write();
        const fault now = next_fault();
        const auto write = [this, k = std::string(key), expected, v = std::string(value)] {
            return swap(k, expected, v);
        };
        if (now == fault::unavailable) {
            return {kv_status::unavailable, 0};
        }
        if (now == fault::delay) {
            m_delayed.emplace_back(write);
        }
        if (now == fault::lose_reply) {
            write();
        }
        return now == fault::none ? write() : kv_write{kv_status::unknown, 0};
    }

    kv_write erase(std::string_view key, std::uint64_t expected) override
    {
        const auto it = m_values.find(key);
        if (it == m_values.end() || it->second.version != expected) {
            return {kv_status::conflict, 0};
        }
        m_values.erase(it);
        return {kv_status::ok, 0};
    }

    std::optional<std::vector<std::string>> list(std::string_view prefix) override
    {
        std::vector<std::string> keys;
        for (const auto& [key, value] : m_values) {
            if (key.starts_with(prefix)) {
                keys.push_back(key);
            }
        }
        return keys;
    }

    /// Executes the delayed writes.
    void run_delayed_writes()
    {
        for (const auto& write : std::exchange(m_delayed, {})) {
            write();
        }
    }

private:
    kv_write swap(const std::string& key, std::uint64_t expected, const std::string& value)
    {
        kv_entry& entry = m_values[key];
        if (entry.version != expected) {
            return {kv_status::conflict, entry.version};
        }
        entry = {value, ++m_version};
        return {kv_status::ok, m_version};
    }

    std::map<std::string, kv_entry, std::less<>> m_values;
    std::vector<std::function<kv_write()>> m_delayed;
    std::uint64_t m_version = 0;
};

using fault = faulty_store::fault;

/// Returns a function that yields the faults in order, then none.
std::function<fault()> fault_sequence(std::vector<fault> faults)
{
    return [faults, n = std::size_t{0}]() mutable { return n < faults.size() ? faults[n++] : fault::none; };
}

put_result put_into(faulty_store& store, put_request request)
{
    timestamp now{};
    document_put put(std::move(request), std::chrono::seconds(2));
    return run_put(put, store, {[&] { return now; }, [&](timestamp pause) { now += pause; }});
}

std::optional<document_record> head_of(faulty_store& store)
{
    return parse_record(store.get(document_key("s")).entry.value);
}

} // namespace

TEST_CASE("the example document passes the schema check")
{
    std::ifstream in("examples/boat-assignment.json");
    const std::string text(std::istreambuf_iterator<char>(in), {});
    const document_check check = check_document_text(text);
    REQUIRE_MESSAGE(check.document, describe(check.faults));
    const service_document& document = *check.document;
    CHECK(find_account_by_digest(document, digest_hex("example-key-of-the-lake-safety"))->name == "lake-safety");
    CHECK_FALSE(find_tool(document, "charge_club")->idempotent);
    CHECK(find_model(document, "allocation")->targets.size() == 9);
    CHECK(document.classes[0].first_token_ms == 400);
}

TEST_CASE("docs/documents.md contains the example document")
{
    std::ifstream page("docs/documents.md");
    std::ifstream file("examples/boat-assignment.json");
    const std::string page_text(std::istreambuf_iterator<char>(page), {});
    const std::string file_text(std::istreambuf_iterator<char>(file), {});
    CHECK(page_text.find("```json\n" + file_text + "```\n") != std::string::npos);
}

TEST_CASE("a document with many faults is rejected, and each fault is listed")
{
    json body = example();
    body["colour"] = "red";
    body.erase("owner_team");
    body["accounts"][1]["name"] = "club-captains";
    body["accounts"][0]["weight"] = "ten";
    body["models"][0]["targets"][2]["address"] = "allocation.example:80";
    body["models"][0]["targets"][3]["kind"] = "tool";
    body["models"][0]["targets"][4]["id"] = body["models"][1]["targets"][0]["id"];
    body["tools"][4]["retries"] = 1;
    body["tools"][0]["deadline_ms"] = -5;
    body["classes"]["urgent"] = json::object();
    body["priorities"]["bulk"]["engine_priority"] = 0;
    body["budgets"]["money_micro"] = 1.5;
    body["objectives"]["bulk"]["good_percent"] = 100;
    const document_check check = check_document(body);
    CHECK_FALSE(check.document);
    CHECK(has_fault(check, "/colour", "unknown field"));
    CHECK(has_fault(check, "/owner_team", "missing field"));
    CHECK(has_fault(check, "/accounts/1/name", "already used"));
    CHECK(has_fault(check, "/accounts/0/weight", "expected an integer from 1 to 1000, found string"));
    CHECK(has_fault(check, "/models/0/targets/2/address", "is not an IP address and a port"));
    CHECK(has_fault(check, "/models/0/targets/3/kind", "is not one of \"engine\""));
    CHECK(has_fault(check, "/models/1/targets/0/id", "already used"));
    CHECK(has_fault(check, "/tools/4/retries", "not idempotent"));
    CHECK(has_fault(check, "/tools/0/deadline_ms", "found -5"));
    CHECK(has_fault(check, "/classes/urgent", "unknown field"));
    CHECK(has_fault(check, "/priorities", "must not decrease"));
    CHECK(has_fault(check, "/budgets/money_micro", "found number"));
    CHECK(has_fault(check, "/objectives/bulk/good_percent", "found 100"));
    CHECK(check.faults.size() == 13);
}

TEST_CASE("strings that are not a document are rejected")
{
    CHECK(check_document_text("{").faults.front().reason.find("line 1") != std::string::npos);
    CHECK(check_document_text("[]").faults.front().reason == "expected an object, found array");
    CHECK(check_document_text(std::string(max_document_bytes + 1, ' ')).faults.size() == 1);
    CHECK(check_document_text(std::string(max_document_bytes, '[')).faults.size() == 1);
    const document_check twice = check_document_text(R"({"service": "a", "service": "b"})");
    CHECK(has_fault(twice, "", "\"service\" occurs twice"));
}

TEST_CASE("a diff matches elements of lists by their names")
{
    const json before = example();
    json after = before;
    after["models"][0]["targets"].erase(0);
    after["tools"][2]["deadline_ms"] = 5000;
    after["accounts"].insert(after["accounts"].begin(), json{{"name", "new"}});
    const auto changes = diff_documents(before, after);
    REQUIRE(changes.size() == 3);
    CHECK(describe({changes[0]}) == "+ /accounts/[new]: {\"name\":\"new\"}\n");
    CHECK(changes[1].kind == change_kind::removed);
    CHECK(changes[1].path == "/models/[allocation]/targets/[alloc-1]");
    CHECK(describe({changes[2]}) == "~ /tools/[book_boat]/deadline_ms: 4000 -> 5000\n");
    CHECK(to_json(changes)[2]["after"] == 5000);
    CHECK(diff_documents(before, before).empty());
}

TEST_CASE("a put takes effect exactly once if the response is lost, or the write is lost or delayed")
{
    for (const fault each : {fault::none, fault::lose_reply, fault::drop, fault::delay}) {
        faulty_store store;
        CHECK(put_into(store, request_of("a", 0)).code == result_code::ok);
        store.next_fault = fault_sequence({fault::none, each});
        const put_result result = put_into(store, request_of("b", 1));
        store.run_delayed_writes();
        CHECK(result.code == result_code::ok);
        CHECK(result.run == execution_state::run);
        CHECK(result.record->version == 2);
        CHECK(head_of(store)->author == "b");
        CHECK(head_of(store)->version == 2);
        CHECK(parse_record(store.get(document_history_key("s", 1)).entry.value)->author == "a");
    }
}

TEST_CASE("a write whose response was lost and that was then superseded is found in the history")
{
    faulty_store store;
    put_into(store, request_of("a", 0));
    document_put put(request_of("b", 1), std::chrono::seconds(2));
    put.on_read(store.get(put.next()->key), {});
    put.on_write({kv_status::ok, 0}, {});
    store.compare_and_swap(put.next()->key, put.next()->expected, put.next()->value);
    put.on_write({kv_status::unknown, 0}, {});
    CHECK(put_into(store, request_of("c", 2)).code == result_code::ok);
    const put_result result = run_put(put, store, {[] { return timestamp{}; }, [](timestamp) {}});
    CHECK(result.run == execution_state::run);
    CHECK(result.record->version == 2);
    CHECK(head_of(store)->author == "c");
}

TEST_CASE("of two concurrent puts the losing one gets the newer version and its author")
{
    faulty_store store;
    put_into(store, request_of("a", 0));
    bool raced = false;
    store.before_write = [&] {
        if (!std::exchange(raced, true)) {
            CHECK(put_into(store, request_of("b", 1)).code == result_code::ok);
        }
    };
    const put_result losing_put = put_into(store, request_of("c", 1));
    CHECK(losing_put.code == result_code::document_conflict);
    CHECK(losing_put.run == execution_state::not_run);
    CHECK(losing_put.newer_version == 2);
    CHECK(losing_put.newer_author == "b");
    CHECK(put_into(store, request_of("d", 1)).newer_author == "b");
    CHECK(put_into(store, request_of("d", 7)).code == result_code::document_conflict);
}

TEST_CASE("a repeated request with the same write id has no further effect")
{
    faulty_store store;
    put_into(store, request_of("a", 0));
    CHECK(put_into(store, request_of("a", 0)).run == execution_state::run);
    CHECK(head_of(store)->version == 1);
    put_into(store, request_of("b", 1));
    put_into(store, request_of("c", 2));
    CHECK(put_into(store, request_of("a", 0)).run == execution_state::run);
    CHECK(head_of(store)->version == 3);
}

TEST_CASE("a put fails as not run if the service is unavailable, and as unknown if its writes stay unconfirmed")
{
    faulty_store store;
    store.next_fault = [] { return fault::unavailable; };
    const put_result rejected = put_into(store, request_of("a", 0));
    CHECK(rejected.code == result_code::platform_unavailable);
    CHECK(rejected.run == execution_state::not_run);
    store.next_fault = [] { return fault::drop; };
    const put_result unconfirmed = put_into(store, request_of("a", 0));
    CHECK(unconfirmed.code == result_code::outcome_unknown);
    CHECK(unconfirmed.run == execution_state::outcome_unknown);
}

TEST_CASE("the history of a document is bounded")
{
    faulty_store store;
    for (std::uint64_t n = 0; n < 70; ++n) {
        REQUIRE(put_into(store, request_of("a", n)).code == result_code::ok);
    }
    const auto keys = *store.list(document_history_prefix("s"));
    CHECK(keys.size() == document_history_length);
    CHECK(keys.front() == document_history_key("s", 20));
    CHECK(keys.back() == document_history_key("s", 69));
}

TEST_CASE("under random faults the version chain contains exactly the puts that are reported as run")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        faulty_store store;
        store.next_fault = [&] { return static_cast<fault>(std::min<std::uint32_t>(random() % 8, 4)); };
        store.before_write = [&] {
            if (random() % 4 == 0) {
                store.run_delayed_writes();
            }
        };
        std::map<std::string, execution_state> outcomes;
        for (int n = 0; n < 20; ++n) {
            const auto head = head_of(store);
            const std::uint64_t version = (head ? head->version : 0) - (head && random() % 5 == 0 ? 1 : 0);
            put_request request = request_of("a", version);
            request.write_id = "w" + std::to_string(n);
            outcomes[request.write_id] = put_into(store, request).run;
        }
        store.run_delayed_writes();
        std::set<std::string> chain;
        const auto head = head_of(store);
        for (std::uint64_t version = 1; head && version < head->version; ++version) {
            chain.insert(parse_record(store.get(document_history_key("s", version)).entry.value)->write_id);
        }
        if (head) {
            chain.insert(head->write_id);
            CHECK_MESSAGE(chain.size() == head->version, seed);
        }
        for (const auto& [write_id, run] : outcomes) {
            CHECK_MESSAGE(
                (run == execution_state::outcome_unknown || chain.contains(write_id) == (run == execution_state::run)),
                "seed " << seed << " write " << write_id);
        }
    }
}

TEST_CASE("a document is never replaced by an older version, nor by one below the highest version known from peers")
{
    document_table table;
    CHECK(table.install(record_of(3)));
    CHECK_FALSE(table.install(record_of(3)));
    CHECK_FALSE(table.install(record_of(2)));
    table.learn("p1", std::array{document_version{"boat-assignment", 6}});
    CHECK_FALSE(table.install(record_of(5)));
    CHECK(table.last_failure().text.find("the newer version 6 is known") != std::string::npos);
    CHECK(table.find("boat-assignment")->record.version == 3);
    CHECK(table.install(record_of(6)));
}

TEST_CASE("a record with an invalid body or with the body of another service is not put in force")
{
    document_table table;
    document_record invalid = record_of(1);
    invalid.body["colour"] = "red";
    CHECK_FALSE(table.install(invalid));
    CHECK(table.last_failure().code == result_code::document_invalid);
    document_record foreign = record_of(1);
    foreign.service = "another";
    CHECK_FALSE(table.install(foreign));
    CHECK(table.all().empty());
}

TEST_CASE("a process is ready only after a complete version list and all documents of that list")
{
    document_table table;
    CHECK_FALSE(table.ready());
    table.learn("p1", std::array{document_version{"boat-assignment", 2}});
    table.install(record_of(2));
    CHECK_FALSE(table.ready());
    table.merge_version_list("p1", std::array{document_version{"boat-assignment", 2}, document_version{"lots", 5}});
    CHECK_FALSE(table.ready());
    CHECK(table.install(record_of(5, "lots")));
    CHECK(table.ready());
    document_table empty;
    empty.merge_version_list("", {});
    CHECK(empty.ready());
}

TEST_CASE("a higher version is fetched from a peer that has it, then from others, then from the key-value service")
{
    document_table table;
    timestamp now{};
    table.learn("p1", std::array{document_version{"boat-assignment", 2}});
    table.learn("p2", std::array{document_version{"boat-assignment", 2}});
    table.learn("p3", std::array{document_version{"boat-assignment", 1}});
    const auto first = table.start_fetches(now);
    REQUIRE(first.size() == 1);
    CHECK(first[0] == document_fetch{"p1", "boat-assignment", 2});
    CHECK(table.start_fetches(now).empty());
    table.fetch_failed(first[0], now);
    CHECK(table.start_fetches(now).empty());
    now += std::chrono::milliseconds(100);
    CHECK(table.start_fetches(now).at(0).peer == "p2");
    now += std::chrono::seconds(1);
    CHECK(table.start_fetches(now).empty());
    now += std::chrono::milliseconds(200);
    CHECK(table.start_fetches(now).at(0).peer.empty());
    CHECK(table.install(record_of(2)));
    now += std::chrono::minutes(1);
    CHECK(table.start_fetches(now).empty());
}

TEST_CASE("heartbeats carry changed documents first, then the others in round-robin order")
{
    document_table table;
    for (const char* service : {"a", "b", "c", "d"}) {
        table.install(record_of(1, service));
    }
    for (int n = 0; n < 40; ++n) {
        CHECK(table.next_heartbeat(2).size() == 2);
    }
    table.install(record_of(2, "c"));
    std::set<std::string> sent_services;
    for (int n = 0; n < 3; ++n) {
        const auto versions = table.next_heartbeat(2);
        CHECK(versions.at(0) == document_version{"c", 2});
        sent_services.insert(versions.at(1).service);
    }
    CHECK(sent_services == std::set<std::string>{"a", "b", "d"});
}
