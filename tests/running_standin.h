#pragma once

#include "http_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace lagoonferry::test {

/// Runs a stand-in server on an ephemeral port for the lifetime of the object.
template <class Server>
class running_standin {
public:
    template <class... Args>
    explicit running_standin(Args&&... args) : m_server(std::forward<Args>(args)...)
    {
        REQUIRE(m_server.http().start("127.0.0.1", 0));
    }

    Server& server() { return m_server; }
    const std::string& address() { return m_server.http().address(); }
    void add_fault(const nlohmann::json& rule) { m_server.http().faults().add(rule); }
    void clear_faults() { m_server.http().faults().clear(); }
    void stop() { m_server.http().stop(); }

private:
    Server m_server;
};

} // namespace lagoonferry::test
