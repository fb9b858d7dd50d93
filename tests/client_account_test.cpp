#include "accounts/account_table.h"
#include "accounts/account_turn_id.h"
#include "gateway_rig.h"
#include "platform/store_entries.h"
#include "routing/route_table.h"
#include "scripted_target.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

nlohmann::json document_json(const nlohmann::json& accounts)
{
    return {{"version", 7}, {"routes", nlohmann::json::array()}, {"tenants", accounts}};
}

std::optional<routing_document> read(const nlohmann::json& accounts, failure& reason)
{
    return platform::read_routing_document(document_json(accounts).dump(), reason);
}

std::string error_of(const nlohmann::json& accounts)
{
    failure reason;
    return read(accounts, reason) ? std::string{} : reason.text;
}

std::string status_of(const std::string& response)
{
    return response.substr(0, response.find("\r\n")).substr(0, 12);
}

/// Responds to each request with an empty body.
void respond_to_all(target_connection& connection, scripted_target*& self)
{
    for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
        self->record_request(request);
        if (!connection.send(target_response(request, ""))) {
            return;
        }
    }
}

std::string request_with(std::string_view id, std::string_view fields, std::string_view path = "/unsafe/")
{
    return gateway_rig::request("POST", path, id, fields);
}

void use_two_accounts(gateway_rig& gateway)
{
    gateway.set_document([](routing_document& document) {
        document.accounts = {{"club-a", {"key-a", "key-c"}, 4U, {}}, {"club-b", {"key-b"}, std::nullopt, {}}};
        document.routes.front().is_public = true;
    });
}

} // namespace

TEST_CASE("client accounts are read with their keys, rank and limit")
{
    failure reason;
    const auto document = read({{{"name", "a"}, {"apiKeys", {"k1", "k2"}}, {"priority", 3}, {"ratePerS", 2.5}},
                                {{"name", "b"}, {"apiKeys", nlohmann::json::array()}, {"burst", 7}}},
                               reason);
    REQUIRE(document);
    REQUIRE(document->accounts.size() == 2);
    CHECK(document->accounts[0].keys == std::vector<std::string>{"k1", "k2"});
    CHECK(document->accounts[0].rank == 3);
    CHECK(document->accounts[0].limit == request_limit{2.5, 0});
    CHECK_FALSE(document->accounts[0].limit.unlimited());
    CHECK_FALSE(document->accounts[1].rank);
    CHECK(document->accounts[1].limit.unlimited());
}

TEST_CASE("a document with invalid client accounts is rejected, and the error names the place but no key")
{
    CHECK(error_of({{{"name", "a"}, {"apiKeys", {"k1"}}}}).empty());
    CHECK(error_of(nlohmann::json::object()) == "tenants: not a list");
    CHECK(error_of({{{"name", ""}}}).starts_with("tenants[0].name:"));
    CHECK(error_of({{{"name", "a b"}}}).starts_with("tenants[0].name:"));
    CHECK(error_of({{{"name", "a"}}, {{"name", "a"}}}).starts_with("tenants[1].name:"));
    CHECK(error_of({{{"name", "a"}, {"apiKeys", "k1"}}}).starts_with("tenants[0].apiKeys:"));
    CHECK(error_of({{{"name", "a"}, {"apiKeys", {1}}}}).starts_with("tenants[0].apiKeys:"));
    CHECK(error_of({{{"name", "a"}, {"ratePerS", -1}}}).starts_with("tenants[0].ratePerS:"));
    CHECK(error_of({{{"name", "a"}, {"burst", "x"}}}).starts_with("tenants[0].burst:"));
    const std::string twice =
        error_of({{{"name", "a"}, {"apiKeys", {"s1", "s2"}}}, {{"name", "b"}, {"apiKeys", {"s2"}}}});
    CHECK(twice == "tenants[1].apiKeys[0]: the key occurs twice");
}

TEST_CASE("a key finds its account, and the document in force keeps no keys")
{
    routing_document document;
    document.accounts = {{"a", {"k1", "k2"}, std::nullopt, {}}, {"b", {"k3"}, std::nullopt, {}}};
    const route_table table(document);
    REQUIRE(table.account_of("k2") != nullptr);
    CHECK(table.account_of("k2")->name == "a");
    CHECK(table.account_of("k3")->name == "b");
    CHECK(table.account_of("k4") == nullptr);
    CHECK(table.account_of("") == nullptr);
    CHECK(table.document().accounts[0].keys.empty());
}

TEST_CASE("kept turns of different accounts never have the same id")
{
    CHECK(account_turn_id("a", "b/c") != account_turn_id("a/b", "c"));
    CHECK(account_turn_id("a/b", "c") != account_turn_id("a%2Fb", "c"));
    CHECK(request_id_of(account_turn_id("a/b", "c/d")) == "c/d");
    CHECK(request_id_of("c1") == "c1");
}

TEST_CASE("a target gets the account that holds the key, never the key or what the caller claims")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) { respond_to_all(connection, self); });
    self = &target;
    gateway_rig gateway({target.address()});
    use_two_accounts(gateway);
    const std::string fields = "Authorization: Bearer key-c\r\nLagoonferry-Tenant: club-b\r\n";
    CHECK(status_of(gateway.call(request_with("r1", fields))) == "HTTP/1.1 200");
    REQUIRE(target.requests().size() == 1);
    const std::string seen = target.requests().front();
    CHECK(header_value(seen, "Lagoonferry-Tenant") == "club-a");
    CHECK(seen.find("key-c") == std::string::npos);
    CHECK(seen.find("club-b") == std::string::npos);
}

TEST_CASE("a request without a known key gets 401, and 503 while a newer document may have the key")
{
    scripted_target target([&](auto& connection, int) { connection.reset(); });
    gateway_rig gateway({target.address()});
    use_two_accounts(gateway);
    CHECK(status_of(gateway.call(request_with("r1", ""))) == "HTTP/1.1 401");
    CHECK(status_of(gateway.call(request_with("r2", "Authorization: Bearer key-x\r\n"))) == "HTTP/1.1 401");
    CHECK(status_of(gateway.call(request_with("r3", "Authorization: Basic key-a\r\n"))) == "HTTP/1.1 401");
    CHECK(status_of(gateway.call(request_with("r4", "", "/none/"))) == "HTTP/1.1 404");
    gateway.on_loop([](gateway_context& context) { context.routes_confirmed = false; });
    const std::string response = gateway.call(request_with("r5", "Authorization: Bearer key-x\r\n"));
    CHECK(status_of(response) == "HTTP/1.1 503");
    CHECK_FALSE(header_value(response, "Retry-After").empty());
}

TEST_CASE("a removed key is refused on a connection that is open already")
{
    gateway_rig* rig = nullptr;
    scripted_target target([&](auto& connection, int) {
        const std::string request = connection.read_request();
        rig->set_document([](routing_document& document) { document.accounts = {{"club-a", {}, std::nullopt, {}}}; });
        connection.send(target_response(request, ""));
    });
    gateway_rig gateway({target.address()});
    rig = &gateway;
    use_two_accounts(gateway);
    constexpr std::string_view key = "Authorization: Bearer key-a\r\n";
    constexpr std::string_view close = "Connection: close\r\n";
    std::string kept_alive = request_with("r1", key);
    kept_alive.erase(kept_alive.find(close), close.size());
    const std::string responses = gateway.call(kept_alive + request_with("r2", key));
    CHECK(status_of(responses) == "HTTP/1.1 200");
    CHECK(status_of(responses.substr(responses.find("HTTP/1.1", 1))) == "HTTP/1.1 401");
}

TEST_CASE("a public route needs no key, and its requests name an account only if they carry its key")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) { respond_to_all(connection, self); });
    self = &target;
    gateway_rig gateway({target.address()});
    use_two_accounts(gateway);
    const std::string claim = "Lagoonferry-Tenant: club-b\r\n";
    CHECK(status_of(gateway.call(request_with("r1", claim, "/safe/"))) == "HTTP/1.1 200");
    CHECK(status_of(gateway.call(request_with("r2", "Authorization: Bearer key-x\r\n", "/safe/"))) == "HTTP/1.1 200");
    CHECK(status_of(gateway.call(request_with("r3", "Authorization: Bearer key-b\r\n", "/safe/"))) == "HTTP/1.1 200");
    REQUIRE(target.requests().size() == 3);
    CHECK(header_value(target.requests()[0], "Lagoonferry-Tenant").empty());
    CHECK(target.requests()[1].find("key-x") == std::string::npos);
    CHECK(header_value(target.requests()[2], "Lagoonferry-Tenant") == "club-b");
}

TEST_CASE("the rank of a client account takes precedence over the rank of the route")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            connection.send(stream_header(request) + event_chunk(1) + std::string(last_chunk));
        }
    });
    self = &target;
    gateway_rig gateway({target.address()});
    use_two_accounts(gateway);
    gateway.call(request_with("r1", "Authorization: Bearer key-a\r\n", "/stream/"));
    gateway.call(request_with("r2", "Authorization: Bearer key-b\r\n", "/stream/"));
    REQUIRE(target.requests().size() == 2);
    CHECK(header_value(target.requests()[0], "Lagoonferry-Request-Priority") >
          header_value(target.requests()[1], "Lagoonferry-Request-Priority"));
}

TEST_CASE("without client accounts a document leaves the credentials of callers to the targets")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) { respond_to_all(connection, self); });
    self = &target;
    const gateway_rig gateway({target.address()});
    CHECK(status_of(gateway.call(request_with("r1", "Authorization: Bearer own\r\n"))) == "HTTP/1.1 200");
    REQUIRE(target.requests().size() == 1);
    CHECK(header_value(target.requests().front(), "Authorization") == "Bearer own");
}
