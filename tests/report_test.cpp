#include "report/burn_html.h"
#include "report/burn_report.h"
#include "report/burn_text.h"
#include "report/metric_history.h"
#include "report/prometheus_text.h"
#include "report/service_metrics.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace lagoonferry;

namespace {

constexpr class_settings limits{1'500, 72, 15'000};
constexpr std::int64_t minute_ms = 60'000;

/// An entry instance with its own metrics registry.
struct metrics_instance {
    explicit metrics_instance(std::string name, std::int64_t start_s = 0)
        : id(std::move(name)), metrics(std::make_unique<service_metrics>(registry, std::chrono::seconds(start_s)))
    {
    }

    metric_scrape scrape(std::int64_t time_ms) const
    {
        return {id, time_ms, prometheus::TextSerializer().Serialize(registry.Collect())};
    }

    std::string id;
    prometheus::Registry registry;
    std::unique_ptr<service_metrics> metrics;
};

void add(metric_history& history, const metric_scrape& scrape)
{
    REQUIRE_MESSAGE(history.add(scrape), history.last_failure().text);
}

void count_turns(metrics_instance& instance, const std::string& target, int good, int late)
{
    for (int n = 0; n < good + late; ++n) {
        instance.metrics->count_first_token("boats", service_class::interactive, target,
                                            std::chrono::milliseconds(n < good ? 200 : 4'000), limits);
    }
}

std::vector<std::string> outliers(const std::vector<burn_contributor>& contributors)
{
    std::vector<std::string> names;
    for (const burn_contributor& contributor : contributors) {
        if (contributor.outlier) {
            names.push_back(contributor.name);
        }
    }
    std::ranges::sort(names);
    return names;
}

double sum_of(const std::vector<event_count>& counts, event_cause cause)
{
    double sum = 0;
    for (const event_count& item : counts) {
        sum += item.series.cause == cause ? item.events : 0;
    }
    return sum;
}

/// Returns the metrics of 30 minutes of turns on 3 instances and 9 targets, with one sample per minute. From the tenth
/// minute the first-token latency of the targets in `slow` is five times as high. With `refuse`, refusals are counted
/// too.
metric_history history_with(const std::vector<std::string>& slow, bool refuse)
{
    std::mt19937 random(11);
    std::lognormal_distribution<double> latency(6, 0.5);
    metric_history history;
    std::vector<std::unique_ptr<metrics_instance>> instances;
    for (const char* id : {"entry-1", "entry-2", "entry-3"}) {
        instances.push_back(std::make_unique<metrics_instance>(id));
    }
    for (int minute = 0; minute <= 30; ++minute) {
        for (const auto& instance : instances) {
            for (int n = 0; n < 90; ++n) {
                const std::string target = "alloc-" + std::to_string(random() % 9 + 1);
                const bool slowed = minute >= 10 && std::ranges::find(slow, target) != slow.end();
                const std::chrono::milliseconds taken(static_cast<int>(latency(random) * (slowed ? 5 : 1)));
                instance->metrics->count_first_token("boats", service_class::interactive, target, taken, limits);
                if (refuse && n % 10 == 0) {
                    instance->metrics->count_refused("boats", service_class::interactive, "");
                }
            }
            add(history, instance->scrape(minute * minute_ms + 1'000));
        }
    }
    return history;
}

/// The objective of the example document for the interactive class, used for all classes.
service_objectives example_objectives()
{
    service_objectives objectives;
    objectives["boats"].fill({99.5, 28});
    return objectives;
}

} // namespace

TEST_CASE("serialized metrics are parsed back, and errors name the invalid line")
{
    metrics_instance instance("entry-1", 1'700'000'000);
    instance.metrics->count_refused("a \"quoted\" \\ name\nnext", service_class::safety, "");
    failure reason;
    const auto lines = parse_prometheus_text(instance.scrape(0).text, reason);
    REQUIRE_MESSAGE(lines, reason.text);
    const metric_line expected{
        "lagoonferry_service_events_total",
        {{"service", "a \"quoted\" \\ name\nnext"}, {"class", "safety"}, {"target", "none"}, {"cause", "refused"}},
        1};
    CHECK(std::ranges::find(*lines, expected) != lines->end());
    CHECK(parse_prometheus_text("a{b=\"c\",} 1e3 1700000000\n\n# x\nd +Inf\n", reason)->at(0).value == 1'000);
    for (const char* damaged : {"a{b=\"c\" 1", "a{b=c} 1", "a", "a{b=\"c} 1", "a x", "{b=\"c\"} 1"}) {
        CHECK_FALSE_MESSAGE(parse_prometheus_text(std::string("ok 1\n") + damaged, reason), damaged);
        CHECK(reason.text.find("line 2") != std::string::npos);
    }
}

TEST_CASE("latencies count as good or late by the limits of the class")
{
    metrics_instance instance("entry-1", 1);
    const auto count_at = [&](int first_token_ms, int program_ms) {
        instance.metrics->count_first_token("s", service_class::bulk, "t", std::chrono::milliseconds(first_token_ms),
                                            limits);
        instance.metrics->count_program("s", service_class::bulk, "t", std::chrono::milliseconds(program_ms), limits);
    };
    count_at(1'500, 15'000);
    count_at(1'501, 15'001);
    instance.metrics->count_unknown_outcome("s", service_class::bulk, "t");
    metric_history history;
    add(history, instance.scrape(2'000));
    const auto counts = history.increases(0, 2'000);
    CHECK(sum_of(counts, event_cause::good) == 2);
    CHECK(sum_of(counts, event_cause::late_first_token) == 1);
    CHECK(sum_of(counts, event_cause::late_program) == 1);
    CHECK(sum_of(counts, event_cause::unknown_outcome) == 1);
}

TEST_CASE("the number of targets with their own series is limited")
{
    metrics_instance instance("entry-1");
    for (int n = 0; n < 2'000; ++n) {
        instance.metrics->count_refused("s", service_class::bulk, "t" + std::to_string(n));
    }
    failure reason;
    const auto lines = parse_prometheus_text(instance.scrape(0).text, reason);
    CHECK(lines->size() == 502);
    CHECK(std::ranges::any_of(*lines, [](const metric_line& line) { return line.value == 1'500; }));
}

TEST_CASE("increases are correct across restarts and exclude events before the first sample")
{
    metric_history history;
    metrics_instance first_run("entry-1", 1);
    count_turns(first_run, "t", 50, 0);
    add(history, first_run.scrape(10'000));
    count_turns(first_run, "t", 5, 0);
    add(history, first_run.scrape(20'000));
    metrics_instance second_run("entry-1", 25);
    count_turns(second_run, "t", 60, 0);
    add(history, second_run.scrape(30'000));
    metrics_instance late_instance("entry-2", 22);
    count_turns(late_instance, "t", 7, 0);
    add(history, late_instance.scrape(30'000));
    CHECK(sum_of(history.increases(10'000, 20'000), event_cause::good) == 5);
    CHECK(sum_of(history.increases(10'000, 30'000), event_cause::good) == 72);
    CHECK(sum_of(history.increases(15'000, 20'000), event_cause::good) == 5);
    CHECK(sum_of(history.increases(5'000, 10'000), event_cause::good) == 0);
}

TEST_CASE("a sample file is parsed back, and errors name the invalid line")
{
    metrics_instance instance("entry-1", 1);
    count_turns(instance, "t", 1, 0);
    const metric_scrape scrape = instance.scrape(5);
    failure reason;
    const auto samples = parse_samples(to_sample_line(scrape) + to_sample_line(scrape), reason);
    REQUIRE(samples);
    CHECK(samples->size() == 2);
    CHECK(samples->at(1).text == scrape.text);
    CHECK_FALSE(parse_samples(to_sample_line(scrape) + "{}\n", reason));
    CHECK(reason.text.find("line 2") != std::string::npos);
}

TEST_CASE("if two of nine targets are slow, the report marks exactly these two as outliers")
{
    for (const bool refuse : {false, true}) {
        const burn_report report = make_burn_report(history_with({"alloc-3", "alloc-8"}, refuse), example_objectives());
        REQUIRE(report.classes.size() == 1);
        const class_burn& burn = report.classes[0];
        CHECK(outliers(burn.targets) == std::vector<std::string>{"alloc-3", "alloc-8"});
        CHECK(outliers(burn.instances).empty());
        CHECK(burn.causes.size() == (refuse ? 2 : 1));
        CHECK(burn.fast_burn);
        CHECK(to_text(report).find("alloc-3: ") != std::string::npos);
        const nlohmann::json targets = to_json(report)["classes"][0]["targets"];
        CHECK(std::ranges::count_if(targets, [](const nlohmann::json& item) { return item["outlier"] == true; }) == 2);
    }
}

TEST_CASE("the report marks no target as outlier if none or all are slow")
{
    CHECK(outliers(make_burn_report(history_with({}, false), {}).classes.at(0).targets).empty());
    std::vector<std::string> all;
    for (int n = 1; n <= 9; ++n) {
        all.push_back("alloc-" + std::to_string(n));
    }
    const burn_report report = make_burn_report(history_with(all, false), {});
    CHECK(outliers(report.classes.at(0).targets).empty());
    CHECK(report.classes.at(0).fast_burn);
}

TEST_CASE("burn rates follow the objective of the class")
{
    metric_history history;
    metrics_instance instance("entry-1");
    add(history, instance.scrape(1'000));
    count_turns(instance, "t", 980, 20);
    add(history, instance.scrape(3'601'000));
    const auto with = [&](double good_percent) {
        service_objectives objectives;
        objectives["boats"].fill({good_percent, 28});
        return make_burn_report(history, objectives).classes.at(0);
    };
    CHECK(with(99).windows[1].rate == doctest::Approx(2));
    CHECK(with(99).windows[1].covered == std::chrono::seconds(3'600));
    CHECK(with(99).windows[3].covered == std::chrono::seconds(3'600));
    CHECK_FALSE(with(99).fast_burn);
    CHECK(with(99).slow_burn);
    CHECK(with(99).budget_used_percent == doctest::Approx(100.0 * 2 / 24 / 28));
    CHECK(with(99.9).windows[1].rate == doctest::Approx(20));
    CHECK(with(99.9).fast_burn);
    CHECK_FALSE(with(90).slow_burn);
}

TEST_CASE("the HTML report has plots, marks outliers and escapes names")
{
    metric_history history = history_with({"alloc-3", "alloc-8"}, false);
    metrics_instance escaped_instance("<entry & co>", 500);
    count_turns(escaped_instance, "t", 5, 5);
    add(history, escaped_instance.scrape(30 * minute_ms + 1'000));
    const std::string page = to_html(make_burn_report(history, example_objectives()));
    CHECK(page.find("<polyline") != std::string::npos);
    CHECK(page.find("Fast burn.") != std::string::npos);
    CHECK(page.find("far worse than others") != std::string::npos);
    CHECK(page.find("&lt;entry &amp; co&gt;") != std::string::npos);
    CHECK(page.find("<entry") == std::string::npos);
    CHECK(to_html({}).find("No events") != std::string::npos);
}
