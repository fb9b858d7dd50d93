#pragma once

#include "util/service_class.h"
#include "util/time.h"

#include <string>

namespace lagoonferry {

/// Options that a caller sets for a request, and values derived from them.
struct call_options {
    std::string service;
    std::string model;
    std::string account; ///< `<service>/<account>`
    service_class priority = service_class::normal;
    int engine_priority = 2;
    timestamp started{0}; ///< when the request arrived
    timestamp deadline{0};
    std::string parameters; ///< JSON object that is passed on to the engine
};

} // namespace lagoonferry
