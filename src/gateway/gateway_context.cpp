#include "gateway/gateway_context.h"

#include "util/rendezvous.h"

namespace lagoonferry {

namespace {

/// One of these parts of the memory may be filled by responses of targets.
constexpr std::size_t response_memory_parts = 6;

} // namespace

gateway_context::gateway_context(const asio::any_io_executor& executor, gateway_settings initial_settings,
                                 const platform_adapter& used_adapter)
    : loop(executor), settings(std::move(initial_settings)), adapter(used_adapter), loads(stable_hash(settings.id)),
      retry_delays(stable_hash(settings.id) ^ static_cast<std::uint64_t>(steady_now().count())), pool(executor),
      response_bytes(settings.memory_bytes / response_memory_parts), fleet(executor, settings),
      store(executor, adapter,
            [this](std::string_view call, store_status result) {
                metrics.on_store_call(call, result);
                if (result == store_status::unavailable || result == store_status::unknown) {
                    targets.note_store_failure(steady_now());
                }
                else {
                    targets.note_store_success(steady_now());
                }
            }),
      budgets(executor, fleet, store), history(executor, {settings.failure_domain, settings.tolerated_losses}, store),
      limits(executor, fleet, routes)
{
}

} // namespace lagoonferry
