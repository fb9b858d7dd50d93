#pragma once

#include <caf/actor.hpp>

#include <functional>
#include <string>

namespace caf {
class actor_system;
}

namespace httplib {
struct Request;
struct Response;
class Server;
} // namespace httplib

namespace lagoonferry {

struct board;
class call_counts;
class partition_router;

/// Parts of the process that the operators' endpoints use.
struct control_dependencies {
    caf::actor_system* actors = nullptr;
    std::function<caf::actor()> membership; ///< the membership controller, which starts after the routes are added
    caf::actor documents;
    const board* shared = nullptr;
    const partition_router* router = nullptr;
    call_counts* counts = nullptr;
    std::string platform;     ///< address of the key-value service
    std::string operator_key; ///< empty: the endpoints refuse every request
};

/// The HTTP interface for operators, as docs/operators.md describes it. Handlers run on the server's threads.
class control_api {
public:
    explicit control_api(control_dependencies dependencies) : m_dependencies(std::move(dependencies)) {}

    /// Adds the routes. Precondition: the server is not running; it must not outlive this object.
    void attach(httplib::Server& server);

private:
    using handler = void (control_api::*)(const httplib::Request&, httplib::Response&) const;

    void run_authorized(handler member, const httplib::Request& request, httplib::Response& response) const;
    void put_document(const httplib::Request& request, httplib::Response& response) const;
    void get_document(const httplib::Request& request, httplib::Response& response) const;
    void history(const httplib::Request& request, httplib::Response& response) const;
    void targets(const httplib::Request& request, httplib::Response& response) const;
    void instances(const httplib::Request& request, httplib::Response& response) const;
    void programs(const httplib::Request& request, httplib::Response& response) const;
    void drain(const httplib::Request& request, httplib::Response& response) const;

    control_dependencies m_dependencies;
};

} // namespace lagoonferry
