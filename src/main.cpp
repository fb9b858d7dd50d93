#include "client/commands.h"
#include "roles/dispatch_role.h"
#include "roles/entry_role.h"
#include "settings/command_table.h"

#include <iostream>
#include <vector>

int main(int argc, char** argv)
{
    using namespace lagoonferry;
    std::vector<command> commands{
        {"entry", "serves callers and owns programs", run_entry_role},
        {"dispatch", "grants capacity on targets", run_dispatch_role},
    };
    const auto client = client_commands();
    commands.insert(commands.end(), client.begin(), client.end());
    return run_command(commands, {argv + 1, argv + argc}, std::cout, std::cerr);
}
