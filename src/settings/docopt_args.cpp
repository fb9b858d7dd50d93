#include "settings/docopt_args.h"

#include <ostream>

namespace lagoonferry {

docopt_result parse_docopt(const std::string& command, const std::string& usage, const std::vector<std::string>& args,
                           std::ostream& out, std::ostream& err)
{
    std::vector<std::string> all{command};
    all.insert(all.end(), args.begin(), args.end());
    try {
        return {docopt::docopt_parse(usage, all, true, false), exit_done};
    }
    catch (const docopt::DocoptExitHelp&) {
        out << usage;
        return {std::nullopt, exit_done};
    }
    catch (const docopt::DocoptArgumentError& error) {
        err << error.what() << "\n\n" << usage;
        return {std::nullopt, exit_usage};
    }
}

std::optional<std::string> argument_value(const docopt_values& values, const std::string& name)
{
    const auto it = values.find(name);
    if (it == values.end() || !it->second.isString()) {
        return std::nullopt;
    }
    return it->second.asString();
}

bool has_flag(const docopt_values& values, const std::string& name)
{
    const auto it = values.find(name);
    return it != values.end() && it->second.isBool() && it->second.asBool();
}

} // namespace lagoonferry
