#pragma once

#include "document/service_document.h"
#include "program/action.h"

#include <memory>
#include <optional>
#include <string>

namespace httplib {
struct Request;
}

namespace lagoonferry {

struct board;
struct document_in_force;

/// The account and service on whose behalf a request runs.
struct caller_identity {
    std::shared_ptr<const document_in_force> service;
    std::string account; ///< name in the document

    /// The account's name across services.
    std::string full_name() const;
};

/// Identifies the caller by the bearer key. Keys are looked up by their digest, so the duration of the lookup reveals
/// nothing about the key. `service` is needed only if the key belongs to several services. Thread-safe.
std::optional<caller_identity> identify(const httplib::Request& request, const std::string& service,
                                        const board& shared, refusal& error);

} // namespace lagoonferry
