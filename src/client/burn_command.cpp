#include "client/command_functions.h"
#include "document/document_schema.h"
#include "report/burn_html.h"
#include "report/burn_text.h"
#include "settings/setting_text.h"

#include <ostream>

namespace lagoonferry {

namespace {

using nlohmann::json;

/// Collects samples and objectives, then prints the report. A failed step leaves its exit status.
class burn_run {
public:
    explicit burn_run(command_context& call) : m_call(call) {}

    int run()
    {
        const auto samples = m_call.text("--samples");
        if (samples ? !read_stored(*samples) : !read_fleet()) {
            return m_status;
        }
        const burn_report report = make_burn_report(m_history, m_objectives);
        if (const auto path = m_call.text("--html")) {
            if (!m_call.io().write_file(*path, to_html(report), false)) {
                return m_call.usage_error("the file \"" + *path + "\" cannot be written");
            }
        }
        if (m_call.json()) {
            m_call.print(to_json(report));
        }
        else {
            m_call.io().out << to_text(report);
        }
        return exit_done;
    }

private:
    bool read_stored(const std::string& path)
    {
        const auto documents = m_call.text("--documents");
        return read_samples(path, true) && (!documents || read_documents(*documents));
    }

    bool read_fleet()
    {
        const auto client = m_call.connect();
        if (!client) {
            return stop(exit_usage);
        }
        const auto path = m_call.text("--append");
        const bool collected = path ? append_to(*path, *client) : scrape_twice(*client);
        if (!collected) {
            return false;
        }
        const auto documents = m_call.text("--documents");
        if (documents) {
            return read_documents(*documents);
        }
        for (const std::string& service : m_history.services()) {
            read_document_in_force(service, *client);
        }
        return true;
    }

    bool scrape_twice(const control_client& client)
    {
        ranged<std::uint32_t, 1, 3'600> interval_s = 10;
        const std::string given = m_call.text("--interval-s").value_or(format_setting(interval_s));
        if (!parse_setting(given, interval_s)) {
            return stop(m_call.usage_error("--interval-s \"" + given + "\" is not valid; expected " +
                                           setting_range(interval_s)));
        }
        if (!scrape_all(client)) {
            return false;
        }
        m_call.io().wait(std::chrono::seconds(interval_s));
        return scrape_all(client);
    }

    bool append_to(const std::string& path, const control_client& client)
    {
        if (!read_samples(path, false) || !scrape_all(client)) {
            return false;
        }
        return m_call.io().write_file(path, m_new_samples, true) ||
               stop(m_call.usage_error("the file \"" + path + "\" cannot be written"));
    }

    bool read_samples(const std::string& path, bool required)
    {
        const auto text = m_call.io().read_file(path);
        if (!text) {
            return !required || stop(m_call.usage_error("the file \"" + path + "\" cannot be read"));
        }
        failure reason;
        const auto samples = parse_samples(*text, reason);
        if (!samples) {
            return stop(m_call.usage_error(path + ": " + reason.text));
        }
        for (const metric_scrape& sample : *samples) {
            if (!m_history.add(sample)) {
                return stop(m_call.usage_error(path + ": " + m_history.last_failure().text));
            }
        }
        return true;
    }

    /// Reads the metrics of all entry instances with one time. An instance that does not answer is named and left out.
    bool scrape_all(const control_client& client)
    {
        const control_response instances = client.get("/control/instances");
        if (!instances.done()) {
            return stop(m_call.report_failure(instances));
        }
        const std::int64_t time_ms = m_call.io().wall_clock_ms();
        for (const json& item : instances.body.value("instances", json::array())) {
            if (item.value("role", "") == "entry") {
                scrape(item.value("id", ""), item.value("address", ""), time_ms, client);
            }
        }
        return true;
    }

    void scrape(const std::string& id, const std::string& address, std::int64_t time_ms, const control_client& client)
    {
        const control_response reply = client.get_from(address, "/metrics");
        const metric_scrape sample{id, time_ms, reply.text};
        if (!reply.done() || !m_history.add(sample)) {
            m_call.io().err << "no metrics of instance " << id << " at " << address << '\n';
            return;
        }
        m_new_samples += to_sample_line(sample);
    }

    bool read_documents(const std::string& list)
    {
        for (std::size_t start = 0; start <= list.size();) {
            const std::size_t end = std::min(list.find(',', start), list.size());
            const std::string path = list.substr(start, end - start);
            const auto text = m_call.io().read_file(path);
            const document_check check = text ? check_document_text(*text) : document_check{};
            if (!check.document) {
                return stop(m_call.usage_error("the file \"" + path + "\" is not a valid service document"));
            }
            m_objectives[check.document->service] = check.document->objectives;
            start = end + 1;
        }
        return true;
    }

    void read_document_in_force(const std::string& service, const control_client& client)
    {
        const control_response reply = client.get("/control/documents/" + percent_encode(service));
        const document_check check = reply.done() ? check_document(reply.body.value("body", json())) : document_check{};
        if (check.document) {
            m_objectives[service] = check.document->objectives;
        }
        else {
            m_call.io().err << "no document of service " << service << ", its objectives are taken as 99% in 28 days\n";
        }
    }

    bool stop(int status)
    {
        m_status = status;
        return false;
    }

    command_context& m_call;
    metric_history m_history;
    service_objectives m_objectives;
    std::string m_new_samples;
    int m_status = exit_done;
};

} // namespace

int run_burn(command_context& call)
{
    return burn_run(call).run();
}

} // namespace lagoonferry
