#pragma once

#include "document/service_document.h"
#include "util/service_class.h"

#include <functional>
#include <map>
#include <string>

namespace lagoonferry {

/// Returns the share of each target's slots that a class and the classes below it may fill: what the headroom of more
/// urgent classes leaves. Thread-safe.
per_class<double> class_shares(const service_document& document);

/// Adds the weights of the document's accounts by the names that slot requests use, `<service>/<account>`. Thread-safe.
void add_account_weights(const service_document& document, std::map<std::string, double, std::less<>>& weights);

} // namespace lagoonferry
