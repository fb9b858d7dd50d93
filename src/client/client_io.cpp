#include "client/client_io.h"

#include "settings/settings_loader.h"

#include <fstream>
#include <iostream>
#include <thread>

namespace lagoonferry {

namespace {

bool write_file(const std::string& path, const std::string& text, bool append)
{
    std::ofstream out(path, append ? std::ios::binary | std::ios::app : std::ios::binary);
    out << text;
    out.close();
    return out.good();
}

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

client_io system_client_io()
{
    const settings_input input = system_settings_input({});
    const auto wait = [](std::chrono::seconds time) { std::this_thread::sleep_for(time); };
    return {std::cout, std::cerr, input.read_variable, input.read_file, write_file, wait, wall_clock_ms};
}

} // namespace lagoonferry
