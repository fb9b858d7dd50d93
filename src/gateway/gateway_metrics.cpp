#include "gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lagoonferry {

namespace {

std::string_view to_text(store_status status)
{
    switch (status) {
    case store_status::ok:
        return "ok";
    case store_status::not_found:
        return "not_found";
    case store_status::conflict:
        return "conflict";
    case store_status::compacted:
        return "compacted";
    case store_status::unavailable:
        return "unavailable";
    case store_status::unknown:
        break;
    }
    return "unknown";
}

const prometheus::Histogram::BucketBoundaries& latency_buckets()
{
    static const prometheus::Histogram::BucketBoundaries bounds{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};
    return bounds;
}

} // namespace

struct gateway_metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& responses = prometheus::BuildCounter()
                                                             .Name("lagoonferry_gateway_answers_total")
                                                             .Help("Answers to callers by route and outcome")
                                                             .Register(registry);
    prometheus::Family<prometheus::Histogram>& latency = prometheus::BuildHistogram()
                                                             .Name("lagoonferry_gateway_answer_seconds")
                                                             .Help("Time from a request to the end of its answer")
                                                             .Register(registry);
    prometheus::Family<prometheus::Counter>& attempts = prometheus::BuildCounter()
                                                            .Name("lagoonferry_gateway_attempts_total")
                                                            .Help("Requests sent to targets by result")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& resumes = prometheus::BuildCounter()
                                                           .Name("lagoonferry_gateway_resumes_total")
                                                           .Help("Streams continued after a break")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter>& budgets = prometheus::BuildCounter()
                                                           .Name("lagoonferry_gateway_budget_answers_total")
                                                           .Help("Budget decisions on turns by verdict")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter>& limits =
        prometheus::BuildCounter()
            .Name("lagoonferry_gateway_limit_decisions_total")
            .Help("Decisions on the request limits of accounts by verdict")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& store = prometheus::BuildCounter()
                                                         .Name("lagoonferry_gateway_store_calls_total")
                                                         .Help("Calls to the store by kind and result")
                                                         .Register(registry);
    prometheus::Family<prometheus::Counter>& documents = prometheus::BuildCounter()
                                                             .Name("lagoonferry_gateway_documents_total")
                                                             .Help("Routing documents that came into force by source")
                                                             .Register(registry);
    prometheus::Family<prometheus::Histogram>& document_delay =
        prometheus::BuildHistogram()
            .Name("lagoonferry_gateway_document_delay_seconds")
            .Help("Time from the first announcement of a routing document by another gateway until it is in force")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& document_version = prometheus::BuildGauge()
                                                                  .Name("lagoonferry_gateway_document_version")
                                                                  .Help("Version of the routing document in force")
                                                                  .Register(registry);
    prometheus::Family<prometheus::Gauge>& document_response_age =
        prometheus::BuildGauge()
            .Name("lagoonferry_gateway_document_response_age_seconds")
            .Help("Time since the store last responded to this gateway on the routing document")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& dropped = prometheus::BuildCounter()
                                                           .Name("lagoonferry_gateway_dropped_log_lines_total")
                                                           .Help("Log lines that did not fit into the bound")
                                                           .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        prometheus::BuildGauge().Name("lagoonferry_gateway_objects").Help("Objects held, by kind").Register(registry);
};

gateway_metrics::gateway_metrics() : m_families(std::make_unique<families>()) {}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::on_response(std::string_view route, std::string_view outcome, double seconds)
{
    m_families->responses.Add({{"route", std::string(route)}, {"outcome", std::string(outcome)}}).Increment();
    m_families->latency.Add({{"route", std::string(route)}}, latency_buckets()).Observe(seconds);
}

void gateway_metrics::on_attempt(std::string_view result)
{
    m_families->attempts.Add({{"result", std::string(result)}}).Increment();
}

void gateway_metrics::on_resume()
{
    m_families->resumes.Add({}).Increment();
}

void gateway_metrics::on_budget_decision(std::string_view verdict)
{
    m_families->budgets.Add({{"verdict", std::string(verdict)}}).Increment();
}

void gateway_metrics::on_limit_decision(std::string_view verdict)
{
    m_families->limits.Add({{"verdict", std::string(verdict)}}).Increment();
}

void gateway_metrics::on_store_call(std::string_view call, store_status result)
{
    m_families->store.Add({{"call", std::string(call)}, {"result", std::string(to_text(result))}}).Increment();
}

void gateway_metrics::on_dropped_log_lines(std::size_t count)
{
    m_families->dropped.Add({}).Increment(static_cast<double>(count));
}

void gateway_metrics::set_targets(std::size_t count)
{
    m_families->gauges.Add({{"kind", "targets"}}).Set(static_cast<double>(count));
}

void gateway_metrics::set_connections(std::size_t callers, std::size_t kept)
{
    m_families->gauges.Add({{"kind", "caller_connections"}}).Set(static_cast<double>(callers));
    m_families->gauges.Add({{"kind", "kept_target_connections"}}).Set(static_cast<double>(kept));
}

void gateway_metrics::on_document(std::string_view source, std::optional<timestamp> delay)
{
    m_families->documents.Add({{"source", std::string(source)}}).Increment();
    if (delay) {
        m_families->document_delay.Add({{"source", std::string(source)}}, latency_buckets())
            .Observe(std::chrono::duration<double>(*delay).count());
    }
}

void gateway_metrics::set_document(std::uint64_t version, timestamp response_age)
{
    m_families->document_version.Add({}).Set(static_cast<double>(version));
    m_families->document_response_age.Add({}).Set(std::chrono::duration<double>(response_age).count());
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace lagoonferry
