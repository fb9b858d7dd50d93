#include "store/store_client.h"

#include "net/spawn.h"
#include "platform/http_platform_adapter.h"
#include "soak/soak_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <charconv>
#include <optional>

using namespace lagoonferry;
using std::chrono::milliseconds;

// A call that was under way while the address changed put its connection among those for the new address.
TEST_CASE("after a change of the store's address no connection to the former one is used")
{
    asio::io_context loop{1};
    soak::soak_store store(loop.get_executor());
    platform::http_platform_adapter adapter;
    store_client client(loop.get_executor(), adapter, [](std::string_view /*call*/, store_status /*result*/) {});
    const std::string& address = store.address();
    const std::size_t colon = address.find(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    client.set_address({asio::ip::make_address(address.substr(0, colon)), port});
    std::optional<store_status> before;
    std::optional<store_status> after;
    const auto watch = [&]() -> asio::awaitable<void> {
        before = (co_await client.watch("targets/", 7, milliseconds(100))).status;
        after = (co_await client.read("key")).status;
    };
    spawn(loop.get_executor(), watch(), "test");
    loop.run_for(milliseconds(50));
    client.set_address({asio::ip::make_address("127.0.0.1"), 9}); // refuses connections
    loop.run_for(milliseconds(1'000));
    CHECK(before == store_status::ok);
    CHECK(after == store_status::unavailable);
}
