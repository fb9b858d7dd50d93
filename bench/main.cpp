#include "demo_command.h"
#include "load_command.h"
#include "policy_command.h"
#include "recovery_command.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

struct subcommand {
    std::string_view name;
    int (*run)(const std::vector<std::string>& arguments);
};

constexpr std::array subcommands{
    subcommand{"policy", lagoonferry::bench::policy_command},
    subcommand{"recovery", lagoonferry::bench::recovery_command},
    subcommand{"demo", lagoonferry::bench::demo_command},
    subcommand{"load", lagoonferry::bench::load_command},
};

} // namespace

/// Without arguments, runs the deterministic part with its bounds.
int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        arguments.emplace_back("policy");
    }
    const auto* it = std::ranges::find(subcommands, arguments.front(), &subcommand::name);
    if (it == subcommands.end()) {
        std::cerr << "Usage: lagoonferry_bench [policy|recovery|demo|load] [options]\n";
        return 2;
    }
    return it->run(arguments);
}
