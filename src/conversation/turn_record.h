#pragma once

#include <chrono>
#include <string>

namespace lagoonferry {

/// One turn of a conversation whose history the system keeps. A record never changes.
struct turn_record {
    std::string id;       ///< the id of the request that the turn answered
    std::string previous; ///< the id of the turn that this one continues; empty for the first turn
    std::string input;    ///< the body of the caller's request
    std::string output;   ///< the data of the turn's events, each followed by a line feed
    std::chrono::milliseconds retention{60'000}; ///< how long the turn may be continued after its response

    bool operator==(const turn_record&) const = default;
};

} // namespace lagoonferry
