#include "entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace lagoonferry {

namespace {

std::chrono::seconds wall_clock()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

entry_metrics::entry_metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("lagoonferry_requests_total")
                     .Help("Answered requests of callers by kind and result.")
                     .Register(m_registry)),
      m_service(m_registry, wall_clock())
{
}

void entry_metrics::count(const std::string& kind, const owner_reply& reply)
{
    const auto* refused = std::get_if<refusal>(&reply.result);
    const std::string result(refused == nullptr ? "ok" : to_string(refused->code));
    const std::string run(refused == nullptr ? "run" : to_string(refused->run));
    m_requests.Add({{"kind", kind}, {"result", result}, {"run", run}}).Increment();
}

void entry_metrics::count(const std::string& kind, const owner_reply& reply, const call_options& options,
                          const std::string& target)
{
    count(kind, reply);
    const auto* refused = std::get_if<refusal>(&reply.result);
    if (refused == nullptr || refused->code == result_code::moved) {
        return;
    }
    if (refused->run == execution_state::outcome_unknown) {
        m_service.count_unknown_outcome(options.service, options.priority, target);
    }
    else if (refused->run == execution_state::not_run) {
        m_service.count_refused(options.service, options.priority, target);
    }
}

void entry_metrics::count_first_token(const call_options& options, const std::string& target, timestamp latency,
                                      const class_settings& objectives)
{
    m_service.count_first_token(options.service, options.priority, target,
                                std::chrono::duration_cast<std::chrono::milliseconds>(latency), objectives);
}

void entry_metrics::count_program(const std::string& service, service_class priority, const std::string& target,
                                  std::chrono::milliseconds latency, const class_settings& objectives)
{
    m_service.count_program(service, priority, target, latency, objectives);
}

std::string entry_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace lagoonferry
