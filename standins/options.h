#pragma once

#include "engine_server.h"
#include "kv_server.h"
#include "tool_server.h"
#include "weights_server.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry::standin {

enum class standin_kind { kv, engine, tool, instances, weights, relay, all };

/// The command line of the stand-ins.
struct options {
    standin_kind kind = standin_kind::all;
    std::string host;
    int port = 0; ///< the first of consecutive ports for `all`; 0: any free ports
    std::size_t engines = 0;
    std::size_t tools = 0;
    std::size_t failure_domains = 1;
    std::vector<double> decode_speeds; ///< engine n of `all` uses element n modulo the length
    engine_options engine;
    kv_limits kv;
    tool_server::delay_map tool_delays;
    std::chrono::milliseconds instances_lag{0};
    weights_server::size_map weights;
    double weight_bytes_per_second = 0;
    double weight_reads_per_second = 0;
    std::string relay_target; ///< "<ip>:<port>" for `relay`
};

/// Parses the command line. Prints the usage and exits with status 0 on `--help`. Prints the reason and returns nothing
/// if an argument is unknown or malformed.
std::optional<options> parse_options(int argc, const char* const* argv);

} // namespace lagoonferry::standin
