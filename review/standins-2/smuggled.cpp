// Case 8: a request whose body has a transfer coding other than chunked. The gateway takes it for a request without a
// body, and the bytes of the body for the next request, which an engine runs.
#include "rig.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

#include <unistd.h>

using namespace rig;

namespace {

std::string document()
{
    const json limits{
        {"maxHeaderBytes", 16'384}, {"maxBodyBytes", 4'194'304}, {"headerTimeoutMs", 5'000}, {"idleTimeoutMs", 10'000}};
    const auto route = [](const std::string& name) {
        return json{{"name", name},       {"host", "club.example"}, {"pathPrefix", "/" + name + "/"},
                    {"service", "app"},   {"kind", "unsafe"},       {"maxAttempts", 1},
                    {"timeoutMs", 3'000}, {"sloMs", 400},           {"priority", 2}};
    };
    return json{{"version", 3},
                {"routes", {route("note"), route("release")}},
                {"services", {json{{"name", "app"}, {"maxConns", 100}}}},
                {"limits", limits}}
        .dump();
}

} // namespace

int main(int count, char** args)
{
    if (count < 3) {
        return 2;
    }
    const char* text = std::getenv("TROUBLE");
    const bool trouble = text == nullptr || std::string(text) != "0";
    record out(args[2]);
    const std::string prefix = address_prefix();
    const fleet_ports ports = free_ports(prefix, 1);
    store keeper("127.0.0.1");
    keeper.put("op/config", document());
    std::mutex mutex;
    std::map<std::string, message> runs;
    engine app("127.0.0.1", keeper, {"app", "a-0", "z-a", 2, 5, 6}, [&](const run& item) {
        const std::lock_guard lock(mutex);
        const std::string id = item.request.field("lagoonferry-request-id");
        runs[id] = item.request;
        out.line("run request=" + id + " " + item.request.method + " " + item.request.target + " body of " +
                 std::to_string(item.request.body.size()) + " bytes");
    });
    process node("gateway", gateway_settings("front-0", prefix + "1", "z-a", ports, keeper.address(), {prefix + "1"}),
                 args[1]);
    node.start(true);
    if (!wait_ready(node, 10'000)) {
        node.signal(SIGKILL);
        node.wait();
        ::_exit(2);
    }
    sleep_ms(2'000);

    // Without trouble the same bytes are sent with a length.
    std::vector<std::string> codings{"identity", "gzip", "chunked, identity", "xchunked"};
    std::set<std::string> sent;
    std::vector<std::pair<std::string, std::size_t>> notes;
    for (const std::string& coding : codings) {
        const std::string note = new_id();
        const std::string inner_id = "inner-" + note;
        const std::string body =
            "POST /release/7 HTTP/1.1\r\nHost: club.example\r\nLagoonferry-Request-Id: " + inner_id +
            "\r\nLagoonferry-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
        const std::string framing =
            trouble ? "Transfer-Encoding: " + coding : "Content-Length: " + std::to_string(body.size());
        const auto peer = connection::open(node.ip(), node.port("front"), 1'000);
        if (!peer) {
            continue;
        }
        peer->write("POST /note/7 HTTP/1.1\r\nHost: club.example\r\nLagoonferry-Request-Id: " + note +
                    "\r\nLagoonferry-Deadline-Ms: 3000\r\n" + framing + "\r\n\r\n" + body);
        sent.insert(note);
        notes.emplace_back(note, body.size());
        out.line("sent request=" + note + " " + framing);
        message got;
        while (peer->read_head(got, 800)) {
            peer->read_body(got, 800);
            out.line("answer on the connection of " + note + ": status=" + std::to_string(got.status) + " body=\"" +
                     got.body + "\"");
        }
    }
    const std::lock_guard lock(mutex);
    const auto smuggled = std::ranges::count_if(runs, [&](const auto& pair) { return !sent.contains(pair.first); });
    const auto changed = std::ranges::count_if(notes, [&](const auto& pair) {
        return runs.contains(pair.first) && runs[pair.first].body.size() != pair.second;
    });
    const std::string result = std::to_string(smuggled) + " requests ran that were inside the body of another, and " +
                               std::to_string(changed) + " of " + std::to_string(notes.size()) +
                               " ran with another body than the client's";
    out.line(result + (smuggled + changed > 0 ? "; UNASKED broken" : ""));
    std::cout << result << std::endl;
    node.signal(SIGKILL);
    node.wait();
    ::_exit(notes.empty() ? 2 : smuggled + changed > 0 ? 1 : 0);
}
