#include "entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace lagoonferry {

entry_metrics::entry_metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("lagoonferry_requests_total")
                     .Help("Answered requests of callers by kind and result.")
                     .Register(m_registry))
{
}

void entry_metrics::count(const std::string& kind, const answer_request& answer)
{
    const auto* refused = std::get_if<refusal>(&answer.result);
    const std::string result(refused == nullptr ? "ok" : to_string(refused->code));
    const std::string run(refused == nullptr ? "run" : to_string(refused->run));
    m_requests.Add({{"kind", kind}, {"result", result}, {"run", run}}).Increment();
}

std::string entry_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace lagoonferry
