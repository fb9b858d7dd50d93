#include "gateway/gateway_registry.h"

#include "net/pause.h"
#include "util/bounded_json.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

constexpr std::string_view registry_prefix = "lagoonferry/gateways/";

/// Pause after a failed call to the store.
constexpr std::chrono::milliseconds failure_backoff{700};

std::string make_entry(const gateway_settings& settings)
{
    return nlohmann::json{{"ip", settings.ip},
                          {"port", settings.callers.port},
                          {"datagram_port", settings.datagram_port},
                          {"failure_domain", settings.failure_domain},
                          {"capacity", settings.capacity}}
        .dump();
}

std::optional<listed_instance> parse_entry(const store_item& item)
{
    const nlohmann::json value = parse_bounded_json(item.value);
    try {
        listed_instance out;
        out.id = item.key.substr(registry_prefix.size());
        out.role = member_role::entry;
        out.address.ip = value.at("ip").get<std::string>();
        out.address.http_port = value.at("port").get<std::uint16_t>();
        out.address.datagram_port = value.at("datagram_port").get<std::uint16_t>();
        out.failure_domain = value.at("failure_domain").get<std::string>();
        // Gateways must know each other's capacity even before the first heartbeat. Otherwise they would send callers
        // other subsets of the fleet than a second later, and callers would close their connections.
        out.capacity = std::clamp<std::uint32_t>(value.value("capacity", 1U), 1, 100);
        return out;
    }
    catch (const nlohmann::json::exception& error) {
        log(log_part::membership, log_level::warning, "The entry of a gateway in the store is invalid.",
            field("key", item.key), field("reason", std::string_view(error.what())));
        return std::nullopt;
    }
}

asio::awaitable<bool> write_entry(gateway_context& context)
{
    const std::string key = std::string(registry_prefix) + context.settings.id;
    const std::array items{store_item{key, make_entry(context.settings), 0, false}};
    const store_reply reply = co_await context.store.write({}, items);
    co_return reply.status == store_status::ok;
}

asio::awaitable<bool> read_entries(gateway_context& context)
{
    const store_reply reply = co_await context.store.read_all(registry_prefix);
    if (reply.status != store_status::ok) {
        co_return false;
    }
    std::vector<listed_instance> found;
    for (const store_item& item : reply.found.items) {
        if (auto entry = parse_entry(item)) {
            found.push_back(std::move(*entry));
        }
    }
    context.fleet.add_members(found);
    co_return true;
}

} // namespace

asio::awaitable<void> register_gateway(gateway_context& context)
{
    bool written = false;
    while (true) {
        written = written || co_await write_entry(context);
        if (written && co_await read_entries(context)) {
            co_return;
        }
        co_await pause(context.loop, failure_backoff);
    }
}

} // namespace lagoonferry
