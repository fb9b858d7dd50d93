#include "client/commands.h"

#include "client/command_functions.h"
#include "util/ensure.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

// docopt ends the name and argument of an option at two consecutive spaces, so both stand on one line.
constexpr const char* connection_options =
    R"(  --entry=LIST  addresses of entry instances, separated by commas; the first that can be reached is used
        (variable LAGOONFERRY_ENTRY; default 127.0.0.1:8080)
  --operator-key-file=PATH  file with the operator key
        (variables LAGOONFERRY_OPERATOR_KEY for the key and LAGOONFERRY_OPERATOR_KEY_FILE for the path)
  --timeout-ms=MS  timeout for the connection and for the response (100 to 600000; default 10000)
)";

constexpr const char* output_options = R"(  --json  print JSON
  -h, --help  print this help

Exit status: 0 done, 1 refused, 2 usage, 3 unreachable or outcome unknown.
)";

struct command_row {
    std::string_view name;
    std::string_view summary;
    const char* usage; ///< usage text up to the command's own options; the common options are appended
    bool connects;     ///< whether the connection options apply
    int (*run)(command_context& ctx);
};

constexpr std::array command_rows{
    command_row{"put", "puts a service document in force", R"(Usage:
  lagoonferry put [options] <file>

Checks a service document and puts it in force. The document names its service.

Options:
  --if-version=N  the version that the document is based on, 0 for a new service (required)
  --author=NAME  your name, for the history (variable LAGOONFERRY_AUTHOR; required)
)",
                true, run_put},
    command_row{"get", "prints a service document", R"(Usage:
  lagoonferry get [options] <service>

Prints the body of the document in force, or of an earlier version.

Options:
  --version=N  an earlier version
)",
                true, run_get},
    command_row{"diff", "compares a service document with a file or another version", R"(Usage:
  lagoonferry diff [options] <service> <file>
  lagoonferry diff [options] <service> --from=N --to=N

Compares the document in force with a file, or two versions with each other.

Options:
  --from=N  the version to compare from
  --to=N  the version to compare to
)",
                true, run_diff},
    command_row{"validate", "checks a service document without a connection", R"(Usage:
  lagoonferry validate [options] <file>

Checks a service document and lists all errors.

Options:
)",
                false, run_validate},
    command_row{"history", "lists the versions of a service document", R"(Usage:
  lagoonferry history [options] <service>

Lists the versions of a document with author and time, newest last.

Options:
)",
                true, run_history},
    command_row{"programs", "lists programs, or partitions and their owners", R"(Usage:
  lagoonferry programs [options]

Lists the programs of all entry instances, up to 1,000 of each instance.

Options:
  --partitions  list the partitions of programs with their owners instead
  --after=PROGRAM  list programs with a greater identifier only
)",
                true, run_programs},
    command_row{"targets", "lists targets and their states", R"(Usage:
  lagoonferry targets [options]

Lists the targets of all services.

Options:
)",
                true, run_targets},
    command_row{"instances", "lists entry and dispatch instances", R"(Usage:
  lagoonferry instances [options]

Lists the entry and dispatch instances.

Options:
)",
                true, run_instances},
    command_row{"drain", "marks an instance or a target as leaving", R"(Usage:
  lagoonferry drain [options] <id>

Marks an instance or a target as leaving, permanently: it receives no new work.

Options:
)",
                true, run_drain},
    command_row{"burn", "reports the use of error budgets", R"(Usage:
  lagoonferry burn [options]

Reports how much of its error budget each service and class has used, and the causes.
Without --samples, the metrics of all entry instances are read twice.

Options:
  --samples=FILE  read earlier samples from this file and make no connection
  --append=FILE  read the metrics of all entry instances once, append them to this file, report on all its samples
  --interval-s=S  time between the two readings without a file (1 to 3600; default 10)
  --documents=LIST  files of service documents with objectives, separated by commas; by default those in force, or
        99% in 28 days with --samples
  --html=FILE  write the report with plots to this file
)",
                true, run_burn},
    command_row{"explain", "explains the outcome of a request from logs", R"(Usage:
  lagoonferry explain [options] <request> <files>

Prints the log lines that explain the outcome of a request at the gateways, in order of time.
<files> are paths separated by commas, one for each process. One file may also hold the log of
several processes if the name of its process precedes the time in each line.

Options:
)",
                false, run_explain},
};

std::string usage_of(const command_row& row)
{
    return std::string(row.usage) + (row.connects ? connection_options : "") + output_options;
}

template <std::size_t N>
int run_named_command(const std::vector<std::string>& args)
{
    client_io io = system_client_io();
    return run_client_command(command_rows[N].name, args, io);
}

template <std::size_t... N>
constexpr auto make_commands(std::index_sequence<N...> /*rows*/)
{
    return std::array{command{command_rows[N].name, command_rows[N].summary, run_named_command<N>}...};
}

constexpr auto commands = make_commands(std::make_index_sequence<command_rows.size()>());

} // namespace

std::span<const command> client_commands()
{
    return commands;
}

int run_client_command(std::string_view name, const std::vector<std::string>& args, client_io& io)
{
    const auto* row = std::ranges::find(command_rows, name, &command_row::name);
    ensure(row != command_rows.end(), "unknown client command");
    docopt_result parsed = parse_docopt(std::string(name), usage_of(*row), args, io.out, io.err);
    if (!parsed.values) {
        return parsed.status;
    }
    command_context ctx(std::move(*parsed.values), io);
    return row->run(ctx);
}

} // namespace lagoonferry
