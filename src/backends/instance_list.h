#pragma once

#include "util/failure.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

enum class instance_kind { entry, dispatch, target };

enum class instance_state { live, leaving };

/// One entry of the platform's instance list.
struct instance {
    std::string id;
    instance_kind kind = instance_kind::target;
    std::string address; ///< "<ip>:<port>"
    std::string failure_domain;
    instance_state state = instance_state::live;
};

/// The platform's list of live and leaving instances, which lags behind their actual state. One thread at a time.
class instance_list {
public:
    instance_list() = default;
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    virtual ~instance_list() = default;

    /// Reads the whole list, or nothing if the service is unavailable or sends a malformed list.
    virtual std::optional<std::vector<instance>> poll() = 0;

    /// Why the last call returned nothing.
    virtual const failure& last_failure() const = 0;
};

} // namespace lagoonferry
