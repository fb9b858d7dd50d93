#pragma once

#include "net/client_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// A history node as another process knows it.
struct history_peer {
    std::string id;
    std::string failure_domain;
    tcp::endpoint address;
    std::optional<deadline> failed_at; ///< when a call failed; empty after a successful one
    std::vector<std::unique_ptr<client_connection>> idle;

    /// Returns whether no call failed recently.
    bool seems_reachable() const;
};

} // namespace lagoonferry
