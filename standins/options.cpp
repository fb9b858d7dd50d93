#include "options.h"

#include <docopt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace lagoonferry::standin {

namespace {

constexpr const char* usage =
    R"(Stand-ins for the services around lagoonferry: HTTP servers in memory, with fault injection by POST /faults.
Each prints "listening <address>" once it accepts connections and ends on SIGTERM.

Usage:
  lagoonferry_standins kv [options]
  lagoonferry_standins engine [options] [--model=<name>]...
  lagoonferry_standins tool [options] [--tool=<name=ms>]...
  lagoonferry_standins instances [options]
  lagoonferry_standins weights [options] [--weight=<name=bytes>]...
  lagoonferry_standins relay --target=<address> [options]
  lagoonferry_standins all [options] [--model=<name>]... [--tool=<name=ms>]... [--weight=<name=bytes>]...
  lagoonferry_standins --help

Options:
  --host=<ip>               Address to listen on [default: 127.0.0.1].
  --port=<n>                Port, or the first of consecutive ports of "all"; 0 selects free ports [default: 0].
  --writes-per-second=<n>   Rate limit of the key-value service; 0 is off [default: 0].
  --reads-per-second=<n>    Rate limit of the key-value service; 0 is off [default: 0].
  --decode-speed=<list>     Tokens per second of one call; "all" assigns the list to engines round-robin [default: 50].
  --prefill-speed=<n>       Prompt tokens per second [default: 5000].
  --batch=<n>               Calls that an engine runs concurrently [default: 16].
  --cache-tokens=<n>        KV cache of an engine in tokens [default: 200000].
  --time-scale=<x>          Makes engines x times faster [default: 1].
  --answer-tokens=<n>       Length of an answer if no rule in the prompt applies [default: 24].
  --report-lag-ms=<n>       Lag of an engine's reports [default: 200].
  --lose-every-event=<n>    Every n-th cache event of an engine is lost; 0 is off [default: 0].
  --model=<name>            A model that the engines have loaded; without it they serve every model.
  --weights-address=<ip:port>  Weight store from which engines load models; without it models load at once.
  --tool=<name=ms>          A tool and its delay; without it every tool name is served without delay.
  --lag-ms=<n>              Lag of the instance list [default: 0].
  --weight=<name=bytes>     Name and size of weights in the weight store.
  --weight-reads-per-second=<n>  Rate limit of the weight store; 0 is off [default: 0].
  --target=<address>        Address to which a relay forwards TCP connections. The relay prints the address of its
                            listener as "listening relay <address>", then its control address in a second line.
  --weight-bytes-per-second=<n>  Bandwidth of the weight store over all reads; 0 is off [default: 0].
  --engines=<n>             Engines of "all" [default: 4].
  --tools=<n>               Tool services of "all" [default: 1].
  --failure-domains=<n>     Failure domains over which "all" spreads targets in the instance list [default: 3].
)";

using arguments = std::map<std::string, docopt::value>;

double number(const arguments& args, const char* name, double min)
{
    const std::string& text = args.at(name).asString();
    std::size_t used = 0;
    const double value = std::stod(text, &used);
    if (used != text.size() || value < min) {
        throw std::invalid_argument(std::string(name) + " does not accept \"" + text + "\"");
    }
    return value;
}

/// Parses repeated "name=number" options.
template <class Map>
Map pairs(const arguments& args, const char* name)
{
    Map out;
    for (const std::string& text : args.at(name).asStringList()) {
        const std::size_t split = text.find('=');
        if (split == std::string::npos) {
            throw std::invalid_argument(std::string(name) + " does not accept \"" + text + "\"");
        }
        out[text.substr(0, split)] = typename Map::mapped_type(std::stoul(text.substr(split + 1)));
    }
    return out;
}

std::vector<double> speeds(const arguments& args, double scale)
{
    std::vector<double> out;
    std::istringstream list(args.at("--decode-speed").asString());
    for (std::string text; std::getline(list, text, ',');) {
        out.push_back(std::stod(text) * scale);
    }
    if (out.empty() || std::ranges::min(out) <= 0) {
        throw std::invalid_argument("--decode-speed accepts positive numbers separated by commas");
    }
    return out;
}

engine_options parse_engine_options(const arguments& args, double scale)
{
    engine_options out;
    out.limits.decode_tokens_per_second = speeds(args, scale).front();
    out.limits.prefill_tokens_per_second = number(args, "--prefill-speed", 1) * scale;
    out.limits.max_batch_size = static_cast<std::size_t>(number(args, "--batch", 1));
    out.limits.cache_tokens = static_cast<std::uint64_t>(number(args, "--cache-tokens", 1));
    out.answer_tokens = static_cast<std::uint32_t>(number(args, "--answer-tokens", 1));
    out.report_lag = std::chrono::milliseconds(static_cast<std::int64_t>(number(args, "--report-lag-ms", 0)));
    out.event_loss_interval = static_cast<std::uint32_t>(number(args, "--lose-every-event", 0));
    const auto& models = args.at("--model").asStringList();
    out.models = {models.begin(), models.end()};
    out.weights = args.at("--weights-address") ? args.at("--weights-address").asString() : std::string();
    return out;
}

standin_kind kind_of(const arguments& args)
{
    constexpr std::array kinds{
        std::pair("kv", standin_kind::kv),           std::pair("engine", standin_kind::engine),
        std::pair("tool", standin_kind::tool),       std::pair("instances", standin_kind::instances),
        std::pair("weights", standin_kind::weights), std::pair("relay", standin_kind::relay),
        std::pair("all", standin_kind::all)};
    return std::ranges::find_if(kinds, [&](const auto& it) { return args.at(it.first).asBool(); })->second;
}

options read_options(const arguments& args)
{
    const double scale = number(args, "--time-scale", 0.001);
    options out;
    out.kind = kind_of(args);
    out.host = args.at("--host").asString();
    out.port = static_cast<int>(number(args, "--port", 0));
    out.engines = static_cast<std::size_t>(number(args, "--engines", 0));
    out.tools = static_cast<std::size_t>(number(args, "--tools", 0));
    out.failure_domains = static_cast<std::size_t>(number(args, "--failure-domains", 1));
    out.decode_speeds = speeds(args, scale);
    out.engine = parse_engine_options(args, scale);
    out.kv = {number(args, "--writes-per-second", 0), number(args, "--reads-per-second", 0)};
    out.tool_delays = pairs<tool_server::delay_map>(args, "--tool");
    out.instances_lag = std::chrono::milliseconds(static_cast<std::int64_t>(number(args, "--lag-ms", 0)));
    out.weight_bytes_per_second = number(args, "--weight-bytes-per-second", 0);
    out.weights = pairs<weights_server::size_map>(args, "--weight");
    out.weight_reads_per_second = number(args, "--weight-reads-per-second", 0);
    if (args.at("--target")) {
        out.relay_target = args.at("--target").asString();
    }
    return out;
}

} // namespace

std::optional<options> parse_options(int argc, const char* const* argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        return read_options(docopt::docopt_parse(usage, words, true, false));
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        std::exit(0);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << "\nTry --help.\n";
        return std::nullopt;
    }
}

} // namespace lagoonferry::standin
