#include "client/command_runs.h"
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
    explicit burn_run(client_call& call) : m_call(call) {}

    int run()
    {
        if (!collect() || !read_objectives()) {
            return m_status;
        }
        const burn_report report = make_burn_report(m_history, m_objectives);
        if (const auto path = m_call.text("--html")) {
            if (!m_call.io().write_file(*path, to_html(report), false)) {
                return m_call.usage_fault("the file \"" + *path + "\" cannot be written");
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
    bool collect()
    {
        if (const auto path = m_call.text("--samples")) {
            return read_samples(*path, true);
        }
        m_client = m_call.connect();
        if (!m_client) {
            return stop(exit_usage);
        }
        if (const auto path = m_call.text("--append")) {
            return read_samples(*path, false) && scrape_all() && append(*path);
        }
        ranged<std::uint32_t, 1, 3'600> interval_s = 10;
        const std::string given = m_call.text("--interval-s").value_or(show_setting(interval_s));
        if (!parse_setting(given, interval_s)) {
            return stop(m_call.usage_fault("--interval-s \"" + given + "\" is not valid; expected " +
                                           setting_range(interval_s)));
        }
        if (!scrape_all()) {
            return false;
        }
        m_call.io().wait(std::chrono::seconds(interval_s));
        return scrape_all();
    }

    bool read_samples(const std::string& path, bool required)
    {
        const auto text = m_call.io().read_file(path);
        if (!text) {
            return !required || stop(m_call.usage_fault("the file \"" + path + "\" cannot be read"));
        }
        failure reason;
        const auto samples = parse_samples(*text, reason);
        if (!samples) {
            return stop(m_call.usage_fault(path + ": " + reason.text));
        }
        for (const metric_scrape& sample : *samples) {
            if (!m_history.add(sample)) {
                return stop(m_call.usage_fault(path + ": " + m_history.last_failure().text));
            }
        }
        return true;
    }

    /// Reads the metrics of all entry instances with one time. An instance that does not answer is named and left out.
    bool scrape_all()
    {
        // m_client was set when the command started.
        // NOLINTNEXTLINE(bugprone-unchecked-optional-access)
        const control_reply instances = m_client->get("/control/instances");
        if (!instances.done()) {
            return stop(m_call.fail(instances));
        }
        const std::int64_t time_ms = m_call.io().wall_clock_ms();
        for (const json& item : instances.body.value("instances", json::array())) {
            if (item.value("role", "") == "entry") {
                scrape(item.value("id", ""), item.value("address", ""), time_ms);
            }
        }
        return true;
    }

    void scrape(const std::string& id, const std::string& address, std::int64_t time_ms)
    {
        // m_client was set when the command started.
        // NOLINTNEXTLINE(bugprone-unchecked-optional-access)
        const control_reply reply = m_client->get_from(address, "/metrics");
        const metric_scrape sample{id, time_ms, reply.text};
        if (!reply.done() || !m_history.add(sample)) {
            m_call.io().err << "no metrics of instance " << id << " at " << address << '\n';
            return;
        }
        m_new_samples += to_sample_line(sample);
    }

    bool append(const std::string& path)
    {
        return m_call.io().write_file(path, m_new_samples, true) ||
               stop(m_call.usage_fault("the file \"" + path + "\" cannot be written"));
    }

    bool read_objectives()
    {
        if (const auto list = m_call.text("--documents")) {
            return read_documents(*list);
        }
        if (m_client) {
            for (const std::string& service : m_history.services()) {
                read_document_in_force(service);
            }
        }
        return true;
    }

    bool read_documents(const std::string& list)
    {
        for (std::size_t start = 0; start <= list.size();) {
            const std::size_t end = std::min(list.find(',', start), list.size());
            const std::string path = list.substr(start, end - start);
            const auto text = m_call.io().read_file(path);
            const document_check check = text ? check_document_text(*text) : document_check{};
            if (!check.document) {
                return stop(m_call.usage_fault("the file \"" + path + "\" is not a valid service document"));
            }
            m_objectives[check.document->service] = check.document->objectives;
            start = end + 1;
        }
        return true;
    }

    void read_document_in_force(const std::string& service)
    {
        // m_client was set when the command started.
        // NOLINTNEXTLINE(bugprone-unchecked-optional-access)
        const control_reply reply = m_client->get("/control/documents/" + percent_encode(service));
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

    client_call& m_call;
    std::optional<control_client> m_client;
    metric_history m_history;
    service_objectives m_objectives;
    std::string m_new_samples;
    int m_status = exit_done;
};

} // namespace

int run_burn(client_call& call)
{
    return burn_run(call).run();
}

} // namespace lagoonferry
