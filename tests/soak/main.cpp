#include "settings/docopt_args.h"
#include "soak_run.h"
#include "util/log.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <span>

using namespace lagoonferry;
using namespace lagoonferry::soak;
using std::chrono::milliseconds;

namespace {

const std::string usage =
    R"(Runs gateways as real processes against stand-ins of the users' platform, injects faults from outside, and checks
guarantees as seen by callers and targets. Prints one line per seed and lists violations.

Usage:
  lagoonferry_soak run [--seed=<n>] [--seeds=<n>] [--seconds=<n>] [--gateways=<n>] [--callers=<n>] [--program=<path>] [--keep=<folder>]
  lagoonferry_soak run --help

Options:
  --seed=<n>       First seed, by default 1.
  --seeds=<n>      Number of runs, each with the next seed, by default 1.
  --seconds=<n>    Time during which faults are injected, by default 12.
  --gateways=<n>   Number of gateway processes, by default 4.
  --callers=<n>    Number of callers, by default 24.
  --program=<path> Path of the executable, by default build/lagoonferry.
  --keep=<folder>  Folder for settings, logs and the list of faults of each seed, by default /tmp/lagoonferry-soak.
  --help           Print this text.
)";

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    configure_log(log_level::warning);
    const std::span<char*> words(argv, static_cast<std::size_t>(argc));
    const bool has_command = words.size() > 1 && std::string_view(words[1]) == "run";
    const std::vector<std::string> args(words.begin() + (has_command ? 2 : 1), words.end());
    const docopt_result parsed = parse_docopt("run", usage, args, std::cout, std::cerr);
    if (!parsed.values) {
        return parsed.status;
    }
    const auto text = [&parsed](const char* name, const char* default_value) {
        return argument_value(*parsed.values, name).value_or(default_value);
    };
    const auto number = [&text](const char* name, const char* default_value) {
        return std::stoull(text(name, default_value));
    };
    soak_options options;
    options.fault_duration = milliseconds(number("--seconds", "12") * 1'000);
    options.gateways = static_cast<int>(number("--gateways", "4"));
    options.callers = static_cast<int>(number("--callers", "24"));
    options.binary_path = text("--program", "build/lagoonferry");
    const std::string keep = text("--keep", "/tmp/lagoonferry-soak");
    int passed = 0;
    int failed = 0;
    for (std::uint64_t n = 0; n < number("--seeds", "1"); ++n) {
        options.seed = number("--seed", "1") + n;
        options.output_dir = keep + "/" + std::to_string(options.seed);
        std::filesystem::remove_all(options.output_dir);
        (soak_run(options).run() ? passed : failed) += 1;
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
