#include "roles/dispatch_role.h"
#include "roles/entry_role.h"
#include "settings/command_table.h"

#include <array>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace lagoonferry;
    constexpr std::array commands{
        command{"entry", "serves callers and owns programs", run_entry_role},
        command{"dispatch", "grants capacity on targets", run_dispatch_role},
    };
    return run_command(commands, {argv + 1, argv + argc}, std::cout, std::cerr);
}
