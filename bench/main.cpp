#include "demo_command.h"
#include "load_command.h"
#include "orders_command.h"
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
    subcommand{"orders", lagoonferry::bench::orders_command},
    subcommand{"recovery", lagoonferry::bench::recovery_command},
    subcommand{"demo", lagoonferry::bench::demo_command},
    subcommand{"load", lagoonferry::bench::load_command},
};

} // namespace

/// Runs the given subcommand. Without arguments, runs `policy` and `orders`, which are deterministic, and checks their
/// bounds.
int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        const int policy = lagoonferry::bench::policy_command({"policy"});
        return std::max(policy, lagoonferry::bench::orders_command({"orders"}));
    }
    const auto* it = std::ranges::find(subcommands, arguments.front(), &subcommand::name);
    if (it == subcommands.end()) {
        std::cerr << "Usage: lagoonferry_bench [policy|orders|recovery|demo|load] [options]\n";
        return 2;
    }
    return it->run(arguments);
}
