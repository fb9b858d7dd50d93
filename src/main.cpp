#include "client/commands.h"
#include "conversation/history_role.h"
#include "gateway/gateway_role.h"
#include "platform/http_platform_adapter.h"
#include "platform/settings_file.h"
#include "roles/dispatch_role.h"
#include "roles/entry_role.h"
#include "settings/command_table.h"

#include <iostream>
#include <vector>

namespace {

lagoonferry::gateway_platform users_platform()
{
    using namespace lagoonferry;
    static const platform::http_platform_adapter adapter;
    return {&adapter, platform::settings_file_path, platform::read_settings};
}

int run_gateway(const std::vector<std::string>& args)
{
    return lagoonferry::run_gateway_role(users_platform(), args);
}

int run_history(const std::vector<std::string>& args)
{
    return lagoonferry::run_history_role(users_platform(), args);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace lagoonferry;
    std::vector<command> commands{
        {"entry", "serves callers and owns programs", run_entry_role},
        {"gateway", "serves callers on a platform that routes by host and path", run_gateway},
        {"history", "keeps turns of conversations on a disk", run_history},
        {"standby", "does nothing until it is stopped", run_standby_role},
        {"dispatch", "grants capacity on targets", run_dispatch_role},
    };
    const auto client = client_commands();
    commands.insert(commands.end(), client.begin(), client.end());
    return run_command(commands, {argv + 1, argv + argc}, std::cout, std::cerr);
}
