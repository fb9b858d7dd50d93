#include "scenarios.h"

namespace lagoonferry::review {

const std::vector<scenario>& all_scenarios()
{
    static const std::vector<scenario> all{
        {"frozen-owner", run_frozen_owner}, {"lapsed-entries", run_lapsed_entries}, {"rolling-stop", run_rolling_stop}};
    return all;
}

} // namespace lagoonferry::review
