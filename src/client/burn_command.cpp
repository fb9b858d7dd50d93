#include "client/command_functions.h"
#include "document/document_schema.h"
#include "report/burn_html.h"
#include "report/burn_text.h"
#include "settings/setting_text.h"

#include <ostream>

namespace lagoonferry {

namespace {

using nlohmann::json;

/// Collects metric samples and objectives, then prints the report. A step that fails sets m_status and returns false.
class burn_command {
public:
    explicit burn_command(command_context& ctx) : m_context(ctx) {}

    int run()
    {
        const auto samples = m_context.argument("--samples");
        if (samples ? !read_sample_files(*samples) : !read_instances()) {
            return m_status;
        }
        const burn_report report = make_burn_report(m_history, m_objectives);
        if (const auto path = m_context.argument("--html")) {
            if (!m_context.io().write_file(*path, to_html(report), false)) {
                return m_context.usage_error("the file \"" + *path + "\" cannot be written");
            }
        }
        if (m_context.json_output()) {
            m_context.print_json(to_json(report));
        }
        else {
            m_context.io().out << to_text(report);
        }
        return exit_done;
    }

private:
    bool read_sample_files(const std::string& path)
    {
        const auto documents = m_context.argument("--documents");
        return read_samples(path, true) && (!documents || read_documents(*documents));
    }

    bool read_instances()
    {
        const auto client = m_context.connect();
        if (!client) {
            return fail_with(exit_usage);
        }
        const auto path = m_context.argument("--append");
        const bool collected = path ? append_to(*path, *client) : scrape_twice(*client);
        if (!collected) {
            return false;
        }
        const auto documents = m_context.argument("--documents");
        if (documents) {
            return read_documents(*documents);
        }
        for (const std::string& service : m_history.services()) {
            fetch_document(service, *client);
        }
        return true;
    }

    bool scrape_twice(const control_client& client)
    {
        ranged<std::uint32_t, 1, 3'600> interval_s = 10;
        const std::string given = m_context.argument("--interval-s").value_or(format_setting(interval_s));
        if (!parse_setting(given, interval_s)) {
            return fail_with(m_context.usage_error("--interval-s \"" + given + "\" is not valid; expected " +
                                                   setting_range(interval_s)));
        }
        if (!scrape_all(client)) {
            return false;
        }
        m_context.io().wait(std::chrono::seconds(interval_s));
        return scrape_all(client);
    }

    bool append_to(const std::string& path, const control_client& client)
    {
        if (!read_samples(path, false) || !scrape_all(client)) {
            return false;
        }
        return m_context.io().write_file(path, m_new_samples, true) ||
               fail_with(m_context.usage_error("the file \"" + path + "\" cannot be written"));
    }

    bool read_samples(const std::string& path, bool required)
    {
        const auto text = m_context.io().read_file(path);
        if (!text) {
            return !required || fail_with(m_context.usage_error("the file \"" + path + "\" cannot be read"));
        }
        failure reason;
        const auto samples = parse_samples(*text, reason);
        if (!samples) {
            return fail_with(m_context.usage_error(path + ": " + reason.text));
        }
        for (const metric_scrape& sample : *samples) {
            if (!m_history.add(sample)) {
                return fail_with(m_context.usage_error(path + ": " + m_history.last_failure().text));
            }
        }
        return true;
    }

    /// Reads the metrics of all entry instances and gives all samples the same time. An instance that does not answer
    /// is reported and skipped.
    bool scrape_all(const control_client& client)
    {
        const control_response instances = client.get("/control/instances");
        if (!instances.succeeded()) {
            return fail_with(m_context.report_failure(instances));
        }
        const std::int64_t time_ms = m_context.io().wall_clock_ms();
        for (const json& item : instances.body.value("instances", json::array())) {
            if (item.value("role", "") == "entry") {
                scrape(item.value("id", ""), item.value("address", ""), time_ms, client);
            }
        }
        return true;
    }

    void scrape(const std::string& id, const std::string& address, std::int64_t time_ms, const control_client& client)
    {
        const control_response response = client.get_from(address, "/metrics");
        const metric_scrape sample{id, time_ms, response.raw_body};
        if (!response.succeeded() || !m_history.add(sample)) {
            m_context.io().err << "no metrics of instance " << id << " at " << address << '\n';
            return;
        }
        m_new_samples += to_sample_line(sample);
    }

    bool read_documents(const std::string& list)
    {
        for (std::size_t start = 0; start <= list.size();) {
            const std::size_t end = std::min(list.find(',', start), list.size());
            const std::string path = list.substr(start, end - start);
            const auto text = m_context.io().read_file(path);
            const document_check check = text ? check_document_text(*text) : document_check{};
            if (!check.document) {
                return fail_with(m_context.usage_error("the file \"" + path + "\" is not a valid service document"));
            }
            m_objectives[check.document->service] = check.document->objectives;
            start = end + 1;
        }
        return true;
    }

    void fetch_document(const std::string& service, const control_client& client)
    {
        const control_response response = client.get("/control/documents/" + percent_encode(service));
        const document_check check =
            response.succeeded() ? check_document(response.body.value("body", json())) : document_check{};
        if (check.document) {
            m_objectives[service] = check.document->objectives;
        }
        else {
            m_context.io().err << "no document for service " << service
                               << "; the default objective is assumed, 99% good in 28 days\n";
        }
    }

    bool fail_with(int status)
    {
        m_status = status;
        return false;
    }

    command_context& m_context;
    metric_history m_history;
    service_objectives m_objectives;
    std::string m_new_samples;
    int m_status = exit_done;
};

} // namespace

int run_burn(command_context& ctx)
{
    return burn_command(ctx).run();
}

} // namespace lagoonferry
