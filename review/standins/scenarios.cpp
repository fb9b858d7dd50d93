#include "scenarios.h"

namespace lagoonferry::review {

const std::vector<scenario>& all_scenarios()
{
    static const std::vector<scenario> all{{"frozen-owner", run_frozen_owner}};
    return all;
}

} // namespace lagoonferry::review
