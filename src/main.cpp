#include "client/commands.h"
#include "gateway/gateway_role.h"
#include "platform/http_platform_adapter.h"
#include "platform/settings_file.h"
#include "roles/dispatch_role.h"
#include "roles/entry_role.h"
#include "settings/command_table.h"

#include <iostream>
#include <vector>

namespace {

int run_gateway(const std::vector<std::string>& args)
{
    using namespace lagoonferry;
    static const platform::http_platform_adapter adapter;
    return run_gateway_role({&adapter, platform::settings_file_path, platform::read_settings}, args);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace lagoonferry;
    std::vector<command> commands{
        {"entry", "serves callers and owns programs", run_entry_role},
        {"gateway", "serves callers on a platform that routes by host and path", run_gateway},
        {"standby", "does nothing until it is stopped", run_standby_role},
        {"dispatch", "grants capacity on targets", run_dispatch_role},
    };
    const auto client = client_commands();
    commands.insert(commands.end(), client.begin(), client.end());
    return run_command(commands, {argv + 1, argv + argc}, std::cout, std::cerr);
}
