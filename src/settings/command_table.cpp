#include "settings/command_table.h"

#include <algorithm>
#include <ostream>

namespace lagoonferry {

namespace {

void print_commands(std::span<const command> commands, std::ostream& out)
{
    out << "Usage:\n"
           "  lagoonferry <role or command> [<arguments>...]\n"
           "  lagoonferry <role or command> --help\n"
           "  lagoonferry --help\n"
           "\n"
           "Roles and commands:\n";
    for (const command& item : commands) {
        out << "  " << item.name << std::string(12 - std::min<std::size_t>(item.name.size(), 11), ' ') << item.summary
            << '\n';
    }
}

} // namespace

int run_command(std::span<const command> commands, const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err)
{
    if (args.empty()) {
        print_commands(commands, err);
        return exit_usage;
    }
    if (args.front() == "--help" || args.front() == "-h") {
        print_commands(commands, out);
        return exit_done;
    }
    const auto it = std::ranges::find(commands, args.front(), &command::name);
    if (it == commands.end()) {
        err << "unknown role or command \"" << args.front() << "\"\n\n";
        print_commands(commands, err);
        return exit_usage;
    }
    return it->run({args.begin() + 1, args.end()});
}

} // namespace lagoonferry
