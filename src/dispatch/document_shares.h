#pragma once

#include "document/service_document.h"
#include "util/service_class.h"

#include <functional>
#include <map>
#include <string>

namespace lagoonferry {

/// Returns the fraction of each target's slots that a class and the less urgent classes together may use: what remains
/// after the headroom of the more urgent classes. Thread-safe.
per_class<double> class_shares(const service_document& document);

/// Adds the weights of the document's accounts to `weights`. The keys are the account names of slot requests,
/// `<service>/<account>`. Thread-safe.
void add_account_weights(const service_document& document, std::map<std::string, double, std::less<>>& weights);

} // namespace lagoonferry
