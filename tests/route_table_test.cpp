#include "routing/route_table.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

namespace {

route make_route(std::string name, std::string host, std::string prefix)
{
    route out;
    out.name = std::move(name);
    out.host = std::move(host);
    out.path_prefix = std::move(prefix);
    out.services = {{"s", 1}};
    return out;
}

route_table table()
{
    routing_document document;
    document.version = 3;
    document.routes = {make_route("root", "a.example", "/"), make_route("long", "a.example", "/x/y/"),
                       make_route("short", "a.example", "/x/"), make_route("other", "b.example", "/x/")};
    return route_table(document);
}

std::string matched(std::string_view host, std::string_view path)
{
    const route_table routes = table();
    const route* found = routes.match(host, path);
    return found == nullptr ? "none" : found->name;
}

} // namespace

TEST_CASE("of the routes of a host the one with the longest matching prefix is chosen")
{
    CHECK(matched("a.example", "/x/y/z") == "long");
    CHECK(matched("a.example", "/x/z") == "short");
    CHECK(matched("a.example", "/x/y") == "short");
    CHECK(matched("a.example", "/z") == "root");
    CHECK(matched("b.example", "/x/1") == "other");
    CHECK(matched("b.example", "/y/") == "none");
    CHECK(matched("c.example", "/x/") == "none");
}

TEST_CASE("the port, the case of the host and the query are ignored")
{
    CHECK(matched("A.Example:8080", "/x/1?p=/x/y/") == "short");
    CHECK(matched("b.example", "/?q=/x/") == "none");
}

TEST_CASE("a split route distributes keys by weight, and a key always gets the same service")
{
    route item = make_route("r", "h", "/");
    item.services = {{"a", 90}, {"b", 0}, {"c", 10}};
    int to_c = 0;
    constexpr int keys = 10'000;
    for (int n = 0; n < keys; ++n) {
        const auto hash = static_cast<std::uint64_t>(n) * 1'844'674'407'370'955ULL;
        const std::string_view service = choose_service(item, hash);
        CHECK(service != "b");
        CHECK(service == choose_service(item, hash));
        to_c += service == "c" ? 1 : 0;
    }
    CHECK(to_c > keys / 20);
    CHECK(to_c < keys / 5);
    item.services = {{"a", 0}};
    CHECK(choose_service(item, 1).empty());
}
