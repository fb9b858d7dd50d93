#include "peer/cluster_key.h"
#include "peer/datagram_codec.h"
#include "peer/datagram_socket.h"
#include "peer/http_listener.h"
#include "peer/rpc_client.h"
#include "peer/rpc_server.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

using namespace lagoonferry;
using namespace std::chrono_literals;

TEST_CASE("a datagram that was changed or made with another key is dropped")
{
    const cluster_key key("secret");
    const datagram sent{datagram_kind::dispatch, "entry-1", encode_cbor({{"a", 1}})};
    std::vector<std::byte> bytes = encode_datagram(sent, key);
    const auto received = decode_datagram(bytes, key);
    REQUIRE(received);
    CHECK(received->sender == "entry-1");
    CHECK((*decode_cbor(received->body))["a"] == 1);
    CHECK_FALSE(decode_datagram(bytes, cluster_key("other")));
    bytes[3] ^= std::byte{1};
    CHECK_FALSE(decode_datagram(bytes, key));
    CHECK_FALSE(decode_datagram({}, key));
}

TEST_CASE("datagrams arrive with the sender's address")
{
    const auto a = datagram_socket::bind({"127.0.0.1", 0});
    const auto b = datagram_socket::bind({"127.0.0.1", 0});
    REQUIRE(a);
    REQUIRE(b);
    const std::vector<std::byte> bytes(10, std::byte{7});
    REQUIRE(a->send(b->local_address(), bytes));
    const auto received = b->receive(1000ms);
    REQUIRE(received);
    CHECK(received->from == a->local_address());
    CHECK(received->bytes == bytes);
    CHECK_FALSE(b->receive(0ms));
}

TEST_CASE("an address without a numeric IP address or a valid port is rejected")
{
    CHECK(parse_address("127.0.0.1:80") == network_address{"127.0.0.1", 80});
    CHECK_FALSE(parse_address("localhost:80"));
    CHECK_FALSE(parse_address("127.0.0.1"));
    CHECK_FALSE(parse_address("127.0.0.1:70000"));
}

TEST_CASE("an RPC call returns its result, and a wrong token or an invalid argument is refused")
{
    http_listener listener({});
    rpc_server server("token");
    server.add("add", [](const nlohmann::json& parameters) -> nlohmann::json {
        if (!parameters.contains("a")) {
            throw std::invalid_argument("a is missing");
        }
        return {{"sum", parameters.at("a").get<int>() + parameters.at("b").get<int>()}};
    });
    server.attach(listener.server());
    const auto address = listener.start({"127.0.0.1", 0});
    REQUIRE(address);

    rpc_client client(*address, "token", 1000ms);
    const auto sum = client.call("add", {{"a", 2}, {"b", 3}});
    REQUIRE(sum);
    CHECK((*sum)["sum"] == 5);
    CHECK_FALSE(client.call("add", {{"b", 3}}));
    CHECK(client.last_reason().code == result_code::malformed);

    rpc_client unauthorized_client(*address, "wrong", 1000ms);
    CHECK_FALSE(unauthorized_client.call("add", {{"a", 2}, {"b", 3}}));
    CHECK(unauthorized_client.last_reason().code == result_code::target_failed);
    listener.stop();
    CHECK_FALSE(client.call("add", {{"a", 2}, {"b", 3}}));
}
