#include "gateway_rig.h"
#include "scripted_target.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

constexpr std::string_view not_executed =
    "HTTP/1.1 503 Service Unavailable\r\nLagoonferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Answers each request on each connection with its own id as the body.
void answer_all(target_connection& connection, scripted_target*& self)
{
    for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
        self->record_request(request);
        if (!connection.send(target_answer(request, header_value(request, "Lagoonferry-Request-Id")))) {
            return;
        }
    }
}

std::string status_of(const std::string& answer)
{
    return answer.substr(0, answer.find("\r\n")).substr(0, 12);
}

std::string body_of(const std::string& answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? std::string{} : answer.substr(end + 4);
}

} // namespace

TEST_CASE("an answer is passed on with its signature, and the target learns which start of it is meant")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) { answer_all(connection, self); });
    self = &target;
    const gateway_rig rig({target.address()});
    const std::string answer = rig.call(gateway_rig::request("POST", "/unsafe/x?y=1", "r1", "X-More: 2\r\n", "hello"));
    CHECK(status_of(answer) == "HTTP/1.1 200");
    CHECK(body_of(answer) == "r1");
    CHECK(header_value(answer, "Lagoonferry-Response-Stamp") == "signed");
    REQUIRE(target.requests().size() == 1);
    const std::string seen = target.requests().front();
    CHECK(seen.starts_with("POST /unsafe/x?y=1 HTTP/1.1\r\n"));
    CHECK(seen.ends_with("\r\n\r\nhello"));
    CHECK(header_value(seen, "Lagoonferry-Expect-Instance") == "t0");
    CHECK(header_value(seen, "X-More") == "2");
    CHECK(header_value(seen, "Host") == "h.example");
}

TEST_CASE("a request without a route is refused as unknown only while the store confirms the routing document")
{
    gateway_rig rig({});
    CHECK(status_of(rig.call(gateway_rig::request("GET", "/none/", "r1"))) == "HTTP/1.1 404");
    rig.on_loop([](gateway_context& context) { context.routes_confirmed = false; });
    const std::string answer = rig.call(gateway_rig::request("GET", "/none/", "r2"));
    CHECK(status_of(answer) == "HTTP/1.1 503");
    CHECK_FALSE(header_value(answer, "Retry-After").empty());
    rig.on_loop([](gateway_context& context) { context.routes = nullptr; });
    CHECK(status_of(rig.call(gateway_rig::request("GET", "/safe/", "r3"))) == "HTTP/1.1 503");
}

TEST_CASE("a non-idempotent request whose answer is lost is not sent again, and its outcome is not called not run")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        self->record_request(connection.read_request());
        connection.reset();
    });
    self = &target;
    const gateway_rig rig({target.address(), target.address()});
    CHECK(status_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r1"))) == "HTTP/1.1 502");
    CHECK(target.requests().size() == 1);
}

TEST_CASE("a non-idempotent request goes to another target after the word that it was not run")
{
    scripted_target* self = nullptr;
    scripted_target full([&](auto& connection, int) {
        while (!connection.read_request().empty()) {
            connection.send(not_executed);
        }
    });
    scripted_target target([&](auto& connection, int) { answer_all(connection, self); });
    self = &target;
    const gateway_rig rig({full.address(), target.address()});
    for (int n = 0; n < 4; ++n) {
        CHECK(status_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r" + std::to_string(n)))) == "HTTP/1.1 200");
    }
}

TEST_CASE("when no target ran the request it is refused with a time to come back, at once")
{
    scripted_target full([&](auto& connection, int) {
        while (!connection.read_request().empty()) {
            connection.send(not_executed);
        }
    });
    const gateway_rig rig({full.address()});
    const auto begun = std::chrono::steady_clock::now();
    const std::string answer = rig.call(gateway_rig::request("POST", "/unsafe/", "r1"));
    CHECK(status_of(answer) == "HTTP/1.1 503");
    CHECK_FALSE(header_value(answer, "Retry-After").empty());
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(500));
}

TEST_CASE("a target at a reused address is passed over")
{
    scripted_target* self = nullptr;
    scripted_target wrong([&](auto& connection, int) {
        while (!connection.read_request().empty()) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\nLagoonferry-Instance-Id: other\r\n"
                            "Content-Length: 0\r\n\r\n");
        }
    });
    scripted_target target([&](auto& connection, int) { answer_all(connection, self); });
    self = &target;
    const gateway_rig rig({wrong.address(), target.address()});
    for (int n = 0; n < 4; ++n) {
        CHECK(status_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r" + std::to_string(n)))) == "HTTP/1.1 200");
    }
}

TEST_CASE("an idempotent request is sent again after a broken answer, at no more targets than its route allows")
{
    scripted_target* self = nullptr;
    scripted_target broken([&](auto& connection, int) {
        connection.read_request();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        connection.reset();
    });
    scripted_target target([&](auto& connection, int) { answer_all(connection, self); });
    self = &target;
    const gateway_rig rig({broken.address(), target.address()});
    for (int n = 0; n < 4; ++n) {
        CHECK(status_of(rig.call(gateway_rig::request("GET", "/safe/", "r" + std::to_string(n)))) == "HTTP/1.1 200");
    }
}

TEST_CASE("a success without the target's signature, or with an encoded body, is not passed on as one")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        const std::string request = connection.read_request();
        self->record_request(request);
        const std::string id = header_value(request, "Lagoonferry-Request-Id");
        connection.send(id == "r1" ? "HTTP/1.1 200 OK\r\nLagoonferry-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
                                   : target_answer(request, "zip", "Content-Encoding: gzip\r\n"));
    });
    self = &target;
    const gateway_rig rig({target.address()});
    CHECK(status_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r1"))) == "HTTP/1.1 502");
    CHECK(status_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r2"))) == "HTTP/1.1 502");
}

TEST_CASE("a late second answer on a kept connection reaches no other request")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            const std::string id = header_value(request, "Lagoonferry-Request-Id");
            connection.send(target_answer(request, id));
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
            connection.send(target_answer(request, "late " + id));
        }
    });
    self = &target;
    const gateway_rig rig({target.address()});
    for (int n = 0; n < 6; ++n) {
        const std::string id = "r" + std::to_string(n);
        CHECK(body_of(rig.call(gateway_rig::request("POST", "/unsafe/", id))) == id);
        std::this_thread::sleep_for(std::chrono::milliseconds(n % 2 == 0 ? 5 : 60));
    }
}

TEST_CASE("an answer without a length ends with its connection, but not with a reset")
{
    scripted_target target([&](auto& connection, int) {
        const std::string request = connection.read_request();
        const std::string id = header_value(request, "Lagoonferry-Request-Id");
        connection.send("HTTP/1.1 200 OK\r\nLagoonferry-Request-Id: " + id +
                        "\r\nLagoonferry-Response-Stamp: s\r\n\r\nbody of " + id);
        if (id == "r2") {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            connection.reset();
        }
    });
    const gateway_rig rig({target.address()});
    CHECK(body_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r1"))) == "body of r1");
    CHECK(status_of(rig.call(gateway_rig::request("POST", "/unsafe/", "r2"))) == "HTTP/1.1 502");
}

TEST_CASE("a stream that breaks inside an event is resumed behind the last whole one, at the same target")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int number) {
        const std::string request = connection.read_request();
        self->record_request(request);
        connection.send(stream_head(request));
        if (number == 0) {
            connection.send(event_chunk(1) + event_chunk(2) + "20\r\nid: 3\nda");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            connection.reset();
            return;
        }
        connection.send(event_chunk(3) + event_chunk(4) + std::string(last_chunk));
    });
    self = &target;
    const gateway_rig rig({target.address()});
    const std::string answer = rig.call(gateway_rig::request("POST", "/stream/", "r1"));
    const std::string whole = body_of(answer);
    CHECK(whole.find("data: 1") != std::string::npos);
    CHECK(whole.find("data: 4") != std::string::npos);
    CHECK(whole.ends_with(last_chunk));
    for (int id = 1; id <= 4; ++id) {
        const std::string line = "id: " + std::to_string(id) + "\n";
        CHECK(whole.find(line) == whole.rfind(line));
        CHECK(whole.find(line) != std::string::npos);
    }
    REQUIRE(target.requests().size() == 2);
    CHECK(header_value(target.requests()[1], "Last-Event-Id") == "2");
}

TEST_CASE("a stream with a missing event is not passed on behind the gap")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        const std::string request = connection.read_request();
        self->record_request(request);
        const std::string behind = header_value(request, "Last-Event-Id");
        connection.send(stream_head(request));
        connection.send(behind.empty() ? event_chunk(1) + event_chunk(3) + std::string(last_chunk)
                                       : event_chunk(2) + event_chunk(3) + std::string(last_chunk));
    });
    self = &target;
    const gateway_rig rig({target.address()});
    const std::string whole = body_of(rig.call(gateway_rig::request("POST", "/stream/", "r1")));
    CHECK(whole.find("id: 2\n") < whole.find("id: 3\n"));
    CHECK(whole.find("id: 3\n") == whole.rfind("id: 3\n"));
}

TEST_CASE("a stream that cannot be finished does not look complete")
{
    scripted_target target([&](auto& connection, int) {
        const std::string request = connection.read_request();
        connection.send(stream_head(request) + event_chunk(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        connection.reset();
    });
    const gateway_rig rig({target.address()});
    const std::string answer = rig.call(gateway_rig::request("POST", "/stream/", "r1"));
    CHECK(answer.find("id: 1") != std::string::npos);
    CHECK(answer.find(last_chunk) == std::string::npos);
}

TEST_CASE("a caller that leaves ends the work at the target at once")
{
    std::atomic<bool> closed = false;
    std::atomic<bool> arrived = false;
    scripted_target target([&](auto& connection, int) {
        connection.read_request();
        arrived = true;
        closed = connection.closed_within(1'500);
    });
    const gateway_rig rig({target.address()});
    rig.call(gateway_rig::request("POST", "/stream/", "r1"), 150);
    for (int n = 0; n < 40 && !closed; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(arrived);
    CHECK(closed);
}

TEST_CASE("a target gets the time that is left, not what the caller had at first")
{
    scripted_target* self = nullptr;
    scripted_target silent([&](auto& connection, int) {
        self->record_request(connection.read_request());
        connection.closed_within(3'000);
    });
    self = &silent;
    const gateway_rig rig({silent.address(), silent.address()});
    rig.call(gateway_rig::request("GET", "/safe/", "r1"), 4'000);
    const auto seen = silent.requests();
    REQUIRE(seen.size() >= 2);
    CHECK(std::stoi(header_value(seen[1], "Lagoonferry-Deadline-Ms")) + 300 <
          std::stoi(header_value(seen[0], "Lagoonferry-Deadline-Ms")));
}

TEST_CASE("requests that two readers could understand differently are refused and not passed on")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) { answer_all(connection, self); });
    self = &target;
    const gateway_rig rig({target.address()});
    const std::string head = "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nLagoonferry-Request-Id: r1\r\n";
    CHECK(status_of(rig.call(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) ==
          "HTTP/1.1 400");
    CHECK(status_of(rig.call(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello")) == "HTTP/1.1 400");
    CHECK(status_of(rig.call("POST /unsafe/ HTTP/1.1\r\nHost : h\r\n\r\n")) == "HTTP/1.1 400");
    CHECK(status_of(rig.call(head + "X-Long: " + std::string(20'000, 'a') + "\r\n\r\n")) == "HTTP/1.1 431");
    CHECK(target.requests().empty());
}

TEST_CASE("a stopping gateway answers and closes the connection")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) { answer_all(connection, self); });
    self = &target;
    gateway_rig rig({target.address()});
    rig.on_loop([](gateway_context& context) { context.stopping = true; });
    std::string request = gateway_rig::request("GET", "/safe/", "r1");
    request.replace(request.find("Connection: close\r\n"), 19, "");
    const std::string answer = rig.call(request);
    CHECK(status_of(answer) == "HTTP/1.1 200");
    CHECK(header_value(answer, "Connection") == "close");
}

TEST_CASE("the budget of a program is kept, and a turn that it does not hold is refused before it runs")
{
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            connection.send(stream_head(request) + event_chunk(1) + event_chunk(2) + std::string(last_chunk));
        }
    });
    self = &target;
    const gateway_rig rig({target.address()});
    // An event counts 3 tokens, so a turn takes 6 of the 40 (0.3 of the budget and one turn) that need no store.
    const std::string fields = "Lagoonferry-Program-Id: p\r\nLagoonferry-Session-Id: p\r\n"
                               "Lagoonferry-Token-Budget: 100\r\nLagoonferry-Token-Count: 10,10\r\n";
    int granted = 0;
    std::string last;
    for (int n = 0; n < 8; ++n) {
        last = rig.call(gateway_rig::request("POST", "/stream/", "r" + std::to_string(n), fields));
        granted += status_of(last) == "HTTP/1.1 200" ? 1 : 0;
    }
    CHECK(granted == 6);
    CHECK(status_of(last) == "HTTP/1.1 503"); // without the store the rest cannot be reserved
    // A sooner return would use up the caller's attempts while the store is away.
    CHECK(std::stod(header_value(last, "Retry-After")) >= 0.9);
    CHECK(target.requests().size() == 6);
    const std::string too_large = "Lagoonferry-Program-Id: q\r\nLagoonferry-Session-Id: q\r\n"
                                  "Lagoonferry-Token-Budget: 100\r\nLagoonferry-Token-Count: 10,101\r\n";
    CHECK(status_of(rig.call(gateway_rig::request("POST", "/stream/", "x", too_large))) == "HTTP/1.1 402");
}
