#include "settings/command_table.h"
#include "settings/role_options.h"
#include "settings/setting_table.h"
#include "settings/settings_loader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace lagoonferry;

namespace {

using string_map = std::map<std::string, std::string>;

const string_map required_flags{{"instance-id", "entry-1"},
                                {"failure-domain", "zh-a"},
                                {"kv-address", "127.0.0.1:7001"},
                                {"instances-address", "127.0.0.1:7002"},
                                {"cluster-key-file", "key"}};

std::function<std::optional<std::string>(const std::string&)> lookup_in(string_map values)
{
    return [values](const std::string& name) -> std::optional<std::string> {
        const auto it = values.find(name);
        return it == values.end() ? std::nullopt : std::optional(it->second);
    };
}

settings_input input(const string_map& flags, string_map variables = {})
{
    string_map all = flags;
    all.insert(required_flags.begin(), required_flags.end());
    return {all, lookup_in(std::move(variables)), lookup_in({{"key", "0123456789abcdef\n"}})};
}

const effective_setting& effective(const loaded_settings& loaded, std::string_view name)
{
    return *std::ranges::find(loaded.effective, name, &effective_setting::name);
}

std::string error_of(const string_map& flags, string_map variables = {})
{
    failure reason;
    CHECK_FALSE(load_settings(input(flags, std::move(variables)), reason));
    CHECK(reason.code == result_code::setting_invalid);
    return reason.text;
}

} // namespace

TEST_CASE("a flag takes precedence over the environment, and the environment over the default")
{
    failure reason;
    const auto loaded = load_settings(
        input({{"http-port", "0"}}, {{"LAGOONFERRY_HTTP_PORT", "9000"}, {"LAGOONFERRY_HEARTBEAT_MS", "250"}}), reason);
    REQUIRE_MESSAGE(loaded, reason.text);
    CHECK(loaded->values.http.port == 0);
    CHECK(loaded->values.timing.heartbeat_ms == 250);
    CHECK(loaded->values.partitions.count == 32);
    CHECK(effective(*loaded, "http-port").source == setting_source::flag);
    CHECK(effective(*loaded, "heartbeat-ms").source == setting_source::environment);
    CHECK(effective(*loaded, "partitions").source == setting_source::default_value);
}

TEST_CASE("an invalid value is rejected with name, value and range, and all errors are listed")
{
    const std::string errors = error_of({{"http-port", "65536"}, {"partitions", "many"}, {"seeds", "host:1"}},
                                        {{"LAGOONFERRY_REPLICA_WAIT_MS", "0"}});
    CHECK(errors.find("setting http-port: the value \"65536\" is not valid; expected 0 to 65535") != std::string::npos);
    CHECK(errors.find("partitions: the value \"many\"") != std::string::npos);
    CHECK(errors.find("replica-wait-ms: the value \"0\" is not valid; expected 1 to 5000") != std::string::npos);
    CHECK(std::ranges::count(errors, '\n') == 3);
}

TEST_CASE("settings that contradict each other are rejected")
{
    CHECK(error_of({{"suspicion-ms", "7000"}}).find("presumed-down-ms") != std::string::npos);
    CHECK(error_of({{"http-listen", "0.0.0.0"}}).find("advertised-address") != std::string::npos);
}

TEST_CASE("a missing required setting is rejected")
{
    failure reason;
    CHECK_FALSE(load_settings({{}, lookup_in({}), lookup_in({})}, reason));
    for (const char* name : {"instance-id", "failure-domain", "kv-address", "instances-address", "cluster-key"}) {
        CHECK_MESSAGE(reason.text.find("setting " + std::string(name) + ": a ") != std::string::npos, name);
    }
}

TEST_CASE("keys come from a file or the environment and appear in no output or message")
{
    const std::string key = "operators-secret-0001";
    failure reason;
    const auto loaded = load_settings(input({}, {{"LAGOONFERRY_OPERATOR_KEY", key}}), reason);
    REQUIRE_MESSAGE(loaded, reason.text);
    CHECK(loaded->values.keys.operators.reveal() == key);
    CHECK(loaded->values.keys.cluster.reveal() == "0123456789abcdef");
    CHECK(describe(*loaded).find("operator-key = set (environment)") != std::string::npos);
    CHECK(describe(*loaded).find("cluster-key = set (file)") != std::string::npos);
    CHECK(describe(*loaded).find(key) == std::string::npos);
    const std::string errors = error_of({}, {{"LAGOONFERRY_OPERATOR_KEY", "short-secret"}});
    CHECK(errors.find("the key has 12 bytes") != std::string::npos);
    CHECK(errors.find("short-secret") == std::string::npos);
    CHECK(error_of({{"operator-key-file", "absent"}}).find("cannot be read") != std::string::npos);
}

TEST_CASE("every formatted value is parsed back to the same value")
{
    failure reason;
    const auto loaded = load_settings(input({{"seeds", "10.0.0.1:1,[::1]:2"},
                                             {"log-parts", "entry=debug,peer=off"},
                                             {"advertised-address", "::1"},
                                             {"data-folder", "/data"}}),
                                      reason);
    REQUIRE_MESSAGE(loaded, reason.text);
    for (const setting_row& row : setting_rows()) {
        const std::string shown = row.format(loaded->values);
        settings copy;
        CHECK_MESSAGE((shown.empty() || row.assign(copy, shown)), row.name);
        CHECK_MESSAGE(row.format(copy) == shown, row.name);
    }
}

TEST_CASE("the log parts that settings accept are those of the log")
{
    settings all;
    const auto rows = setting_rows();
    const auto row = std::ranges::find(rows, "log-parts", &setting_row::name);
    CHECK_FALSE(row->assign(all, "kitchen=debug"));
    CHECK_FALSE(row->assign(all, "entry=loud"));
    CHECK_FALSE(row->assign(all, "entry=debug,entry=info"));
    const std::string names = "main,entry,program,journal,dispatch,membership,document,platform,peer,client,standin";
    std::istringstream in(names);
    for (std::string name; std::getline(in, name, ',');) {
        CHECK_MESSAGE(row->assign(all, name + "=info"), name);
        CHECK_MESSAGE(configure_log_part(name, log_level::info), name);
    }
}

TEST_CASE("the command line of a role exits with the status for help, usage errors and setting errors")
{
    std::ostringstream out;
    std::ostringstream err;
    const role_options_result help = read_role_options("entry", {"--help"}, out, err);
    CHECK_FALSE(help.values);
    CHECK(help.status == exit_done);
    CHECK(out.str().find("--intent-confirmation-ms=MS") != std::string::npos);
    CHECK(read_role_options("entry", {"--no-such-option"}, out, err).status == exit_usage);
    CHECK(read_role_options("dispatch", {"--http-port=70000"}, out, err).status == exit_usage);
    CHECK(err.str().find("setting_invalid (701)") != std::string::npos);
}

TEST_CASE("--check-settings prints every value with its source")
{
    ::setenv("LAGOONFERRY_CLUSTER_KEY", "0123456789abcdef", 1);
    const std::vector<std::string> args{"--check-settings",
                                        "--instance-id=e1",
                                        "--failure-domain=a",
                                        "--kv-address=127.0.0.1:1",
                                        "--instances-address=127.0.0.1:2",
                                        "--http-port=0"};
    std::ostringstream out;
    std::ostringstream err;
    const role_options_result start = read_role_options("entry", args, out, err);
    ::unsetenv("LAGOONFERRY_CLUSTER_KEY");
    CHECK_FALSE(start.values);
    CHECK_MESSAGE(start.status == exit_done, err.str());
    CHECK(out.str().find("http-port = 0 (flag)\n") != std::string::npos);
    CHECK(out.str().find("presumed-down-ms = 6000 (default)\n") != std::string::npos);
    CHECK(out.str().find("cluster-key = set (environment)\n") != std::string::npos);
}

TEST_CASE("docs/settings.md lists every setting with its environment variable, range and default")
{
    std::ifstream in("docs/settings.md");
    REQUIRE_MESSAGE(in, "run the tests from the root of the repository");
    const std::string page(std::istreambuf_iterator<char>(in), {});
    const settings defaults;
    for (const setting_row& row : setting_rows()) {
        const std::string name(row.name);
        const std::string value = row.required ? "required" : row.format(defaults);
        const std::string line = "| `--" + name + "` | `" + variable_name(name) + "` | " + row.range() + " | " + value +
                                 " | " + std::string(row.help) + " |\n";
        CHECK_MESSAGE(page.find(line) != std::string::npos, line);
    }
}

TEST_CASE("the command table rejects unknown commands and passes on the arguments after the name")
{
    const std::array commands{
        command{"count", "counts", [](const std::vector<std::string>& args) { return static_cast<int>(args.size()); }}};
    std::ostringstream out;
    std::ostringstream err;
    CHECK(run_command(commands, {"count", "a", "b", "c"}, out, err) == 3);
    CHECK(run_command(commands, {"cuont"}, out, err) == exit_usage);
    CHECK(run_command(commands, {}, out, err) == exit_usage);
    CHECK(out.str().empty());
    CHECK(run_command(commands, {"--help"}, out, err) == exit_done);
    CHECK(out.str().find("counts") != std::string::npos);
}
