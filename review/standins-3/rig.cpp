#include "rig.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using nlohmann::json;

namespace {

const clock::time_point started = clock::now();
std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    return to;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

constexpr const char* base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& in)
{
    std::string out;
    for (std::size_t n = 0; n < in.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8U | (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += n + k <= in.size() ? base64_digits[bits >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

std::string from_base64(const std::string& in)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : in) {
        const char* at = std::strchr(base64_digits, c);
        if (c == '=' || at == nullptr) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(at - base64_digits);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255U);
        }
    }
    return out;
}

std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        }
        else {
            out += text[n];
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto begin = target.find('?');
    std::istringstream parts(begin == std::string::npos ? "" : target.substr(begin + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equal = part.find('=');
        out[part.substr(0, equal)] = equal == std::string::npos ? "" : unescape(part.substr(equal + 1));
    }
    return out;
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

void open_record(const std::string& path)
{
    record_file.open(path, std::ios::trunc);
}

double seconds_since_start()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

void record(const std::string& text)
{
    const std::lock_guard lock(record_mutex);
    char at[32];
    std::snprintf(at, sizeof at, "%7.3f ", seconds_since_start());
    record_file << at << text << std::endl;
    std::printf("%s%s\n", at, text.c_str());
    std::fflush(stdout);
}

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string message::field(const std::string& name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
}

stream::~stream()
{
    close();
}

void stream::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

void stream::reset()
{
    const linger none{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

void stream::set_receive_timeout(int ms) const
{
    const timeval limit{ms / 1000, ms % 1000 * 1000};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool stream::send(const std::string& bytes) const
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

bool stream::fill()
{
    char piece[65536];
    const ssize_t n = ::recv(m_fd, piece, sizeof piece, 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(piece, static_cast<std::size_t>(n));
    return true;
}

bool stream::read_line(std::string& out)
{
    std::size_t end = m_buffer.find('\n');
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = m_buffer.find('\n');
    }
    out = trimmed(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 1);
    return true;
}

bool stream::read_exact(std::string& out, std::size_t n)
{
    while (m_buffer.size() < n) {
        if (!fill()) {
            return false;
        }
    }
    out = m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return true;
}

bool stream::read_head(message& out, int timeout_ms)
{
    set_receive_timeout(timeout_ms);
    out = {};
    if (!read_line(out.start_line)) {
        return false;
    }
    for (std::string line; read_line(line);) {
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        out.fields[lower(line.substr(0, colon))] = colon == std::string::npos ? "" : trimmed(line.substr(colon + 1));
    }
    return false;
}

bool stream::read_body(message& out, int timeout_ms, const std::function<void(const std::string&)>& on_bytes)
{
    set_receive_timeout(timeout_ms);
    const auto take = [&](const std::string& bytes) {
        out.body += bytes;
        if (on_bytes) {
            on_bytes(bytes);
        }
    };
    if (lower(out.field("transfer-encoding")) == "chunked") {
        while (true) {
            std::string line;
            if (!read_line(line)) {
                return false;
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string bytes;
            if (size > 0 && !read_exact(bytes, size)) {
                return false;
            }
            if (size > 0) {
                take(bytes);
            }
            if (!read_line(line)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t length = number(out.field("content-length"));
    std::string bytes;
    if (length > 0 && !read_exact(bytes, length)) {
        return false;
    }
    take(bytes);
    return true;
}

int connect_to(const std::string& ip, int port, const std::string& from_ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from_ip.empty()) {
        const sockaddr_in from = address_of(from_ip, 0);
        ::bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof from);
    }
    const sockaddr_in to = address_of(ip, port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

listener::listener(const std::string& ip, int port, handler handle) : m_handle(std::move(handle))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address_of(ip, port);
    if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(m_fd, 512) != 0) {
        record("cannot listen on " + ip + ":" + std::to_string(port));
        std::_Exit(not_run);
    }
    std::thread([this] { run(); }).detach();
}

void listener::run()
{
    while (true) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            sleep_ms(10);
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] {
            stream connection(fd);
            m_handle(connection);
        }).detach();
    }
}

store::store(const std::string& ip, int port)
    : m_port(port), m_listener(std::make_unique<listener>(ip, port, [this](stream& connection) { serve(connection); }))
{
}

std::uint64_t store::write_locked(const std::string& key, const std::string& value, std::uint64_t lease,
                                  std::uint64_t revision)
{
    item& entry = m_items[key];
    entry.created = entry.revision == 0 ? revision : entry.created;
    entry.value = value;
    entry.lease = lease;
    entry.revision = revision;
    m_events.push_back({key, entry, false});
    return revision;
}

std::uint64_t store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t revision = write_locked(key, value, 0, ++m_revision);
    m_changed.notify_all();
    return revision;
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(key) > 0) {
        item state;
        state.revision = ++m_revision;
        m_events.push_back({key, state, true});
        m_changed.notify_all();
    }
}

std::string store::value_of(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_items.find(key);
    return it == m_items.end() ? "" : it->second.value;
}

std::vector<std::string> store::keys(const std::string& prefix)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto& [key, value] : m_items) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

std::string store::answer(const message& request, int& status)
{
    std::istringstream line(request.start_line);
    std::string method;
    std::string target;
    line >> method >> target;
    const std::string path = target.substr(0, target.find('?'));
    auto query = query_of(target);
    const auto to_json = [](const std::string& key, const item& state) {
        return json{{"key", key},
                    {"value", to_base64(state.value)},
                    {"revision", state.revision},
                    {"createdRev", state.created},
                    {"lease", state.lease}};
    };
    status = 200;
    std::unique_lock lock(m_mutex);
    if (path == "/v1/kv-key") {
        const auto it = m_items.find(query["key"]);
        if (it == m_items.end()) {
            status = 404;
            return json{{"storeRevision", m_revision}}.dump();
        }
        json out = to_json(it->first, it->second);
        out["storeRevision"] = m_revision;
        return out.dump();
    }
    if (path == "/v1/kv-range") {
        json out{{"items", json::array()}, {"hasMore", false}, {"storeRevision", m_revision}};
        for (const auto& [key, state] : m_items) {
            if (key.starts_with(query["pathPrefix"]) && key > query["after"]) {
                if (out["items"].size() == 500) {
                    out["hasMore"] = true;
                    break;
                }
                out["items"].push_back(to_json(key, state));
            }
        }
        return out.dump();
    }
    if (path == "/v1/kv-watch") {
        const std::uint64_t after = number(query["after"]);
        const std::string prefix = query["pathPrefix"];
        const auto until = clock::now() + std::chrono::milliseconds(number(query["waitMs"]));
        while (true) {
            json events = json::array();
            for (const event& change : m_events) {
                if (change.state.revision > after && change.key.starts_with(prefix)) {
                    events.push_back(
                        change.removed
                            ? json{{"key", change.key}, {"revision", change.state.revision}, {"removed", true}}
                            : to_json(change.key, change.state));
                }
            }
            if (!events.empty() || clock::now() >= until) {
                return json{{"events", events}, {"storeRevision", m_revision}}.dump();
            }
            m_changed.wait_until(lock, until);
        }
    }
    const json body = json::parse(request.body, nullptr, false);
    if (path == "/v1/kv-txn" && body.is_object()) {
        json present = json::array();
        bool holds = true;
        for (const json& row : body.value("expectedRev", json::array())) {
            const std::string key = row.at("key");
            const auto it = m_items.find(key);
            const std::uint64_t revision = it == m_items.end() ? 0 : it->second.revision;
            holds = holds && revision == row.at("revision").get<std::uint64_t>();
            if (it != m_items.end()) {
                present.push_back(to_json(key, it->second));
            }
        }
        if (!holds) {
            status = 412;
            return json{{"items", present}, {"storeRevision", m_revision}}.dump();
        }
        const std::uint64_t revision = ++m_revision;
        for (const json& row : body.value("writes", json::array())) {
            write_locked(row.at("key"), from_base64(row.at("value")), row.value("lease", 0U), revision);
        }
        for (const json& key : body.value("deletes", json::array())) {
            if (m_items.erase(key.get<std::string>()) > 0) {
                item state;
                state.revision = revision;
                m_events.push_back({key, state, true});
            }
        }
        m_changed.notify_all();
        return json{{"revision", revision}}.dump();
    }
    if (path == "/v1/kv-lease" && body.is_object()) {
        return json{{"lease", m_next_lease++}, {"ttlMs", body.value("ttlMs", 1000)}}.dump();
    }
    if (path.starts_with("/v1/kv-keep/")) {
        return json{{"ttlMs", 60000}}.dump();
    }
    status = 404;
    return "{}";
}

// All processes call from the same loopback address, so a caller is found by the inode of its socket.
pid_t store::caller_of(int fd) const
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (!m_callers || ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
        return 0;
    }
    std::ifstream table("/proc/net/tcp");
    std::string inode;
    for (std::string line; inode.empty() && std::getline(table, line);) {
        std::istringstream in(line);
        std::vector<std::string> words;
        for (std::string word; in >> word;) {
            words.push_back(word);
        }
        const auto port_of = [&](std::size_t n) {
            return words.size() > 9 && words[n].find(':') != std::string::npos
                       ? std::stoi(words[n].substr(words[n].find(':') + 1), nullptr, 16)
                       : -1;
        };
        if (port_of(1) == ntohs(peer.sin_port) && port_of(2) == m_port) {
            inode = words[9];
        }
    }
    for (const pid_t pid : m_callers()) {
        std::error_code ec;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ec)) {
            if (std::filesystem::read_symlink(entry.path(), ec).string() == "socket:[" + inode + "]") {
                return pid;
            }
        }
    }
    return 0;
}

void store::serve(stream& connection)
{
    const pid_t caller = caller_of(connection.fd());
    const auto is_cut = [&] { return caller != 0 && caller == cut; };
    message request;
    while (connection.read_head(request, 120000) && connection.read_body(request, 5000)) {
        int status = 200;
        const std::string target = path_of(request);
        const bool waits = target.starts_with("/v1/kv-watch") && target.find("servers") != std::string::npos &&
                           target.find("waitMs=0") == std::string::npos;
        if (waits && !is_cut()) {
            reader = caller;
        }
        const std::string body = is_cut() ? "" : answer(request, status);
        if (is_cut()) {
            while (is_cut()) {
                sleep_ms(20);
            }
            return;
        }
        if (caller == reader) {
            reader_answered_at = seconds_since_start();
        }
        if (!connection.send("HTTP/1.1 " + std::to_string(status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body)) {
            return;
        }
    }
}

std::string request_id_of(const message& request)
{
    return request.field("lagoonferry-request-id");
}

std::string path_of(const message& request)
{
    const auto first = request.start_line.find(' ');
    return request.start_line.substr(first + 1, request.start_line.rfind(' ') - first - 1);
}

engine::engine(options values)
    : m_options(std::move(values)),
      m_listener(
          std::make_unique<listener>(m_options.ip, m_options.port, [this](stream& connection) { serve(connection); }))
{
}

std::vector<run> engine::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void engine::note_run(const message& request)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(
        {request_id_of(request), m_options.id, path_of(request), seconds_since_start(), request.body.size()});
}

std::string engine::stamp()
{
    return m_options.id + "." + std::to_string(++m_stamps);
}

void engine::serve(stream& connection)
{
    message request;
    while (!m_ended && connection.read_head(request, 20000) && connection.read_body(request, 20000)) {
        if (m_ended) {
            break;
        }
        const std::string common = "Lagoonferry-Request-Id: " + request_id_of(request) + "\r\n" +
                                   (m_options.leaving ? "Server-Leaving: 1\r\n" : "");
        const std::string expected = request.field("lagoonferry-expect-instance");
        if (!expected.empty() && expected != m_options.id) {
            if (!connection.send("HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (m_options.before && m_options.before(*this, connection, request)) {
            if (connection.fd() < 0) {
                return;
            }
            continue;
        }
        note_run(request);
        if (path_of(request).find("stream") != std::string::npos) {
            if (!answer_stream(connection, request)) {
                return;
            }
            continue;
        }
        sleep_ms(m_options.work_ms);
        const std::string body = "done by " + m_options.id;
        if (!connection.send("HTTP/1.1 200 OK\r\n" + common + "Lagoonferry-Response-Stamp: " + stamp() +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
    if (m_ended) {
        connection.reset();
    }
}

bool engine::answer_stream(stream& connection, const message& request)
{
    const std::string count = request.field("lagoonferry-token-count");
    const auto comma = count.find(',');
    const int most = comma == std::string::npos ? 30 : std::stoi(count.substr(comma + 1));
    const int events = most / m_options.tokens_per_event;
    const int first = static_cast<int>(number(request.field("last-event-id")));
    if (!connection.send(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLagoonferry-Request-Id: " + request_id_of(request) +
            "\r\nLagoonferry-Response-Stamp: " + stamp() + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int n = first + 1; n <= events; ++n) {
        sleep_ms(m_options.event_ms);
        const std::string event = "id: " + std::to_string(n) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!connection.send(size + event + "\r\n")) {
            return false;
        }
    }
    return connection.send("0\r\n\r\n");
}

namespace {

bool can_bind(const std::string& ip, int port, int type)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in at = address_of(ip, port);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    return free;
}

int random_number(int low, int high)
{
    static std::random_device device;
    return std::uniform_int_distribution<int>(low, high)(device);
}

} // namespace

deployment::deployment(const std::string& case_folder, int gateways, int memory_mb) : m_memory_mb(memory_mb)
{
    std::signal(SIGPIPE, SIG_IGN);
    open_record(case_folder + "/record.txt");
    if (::access("target/lagoonferry", X_OK) != 0) {
        record("target/lagoonferry is not built");
        std::_Exit(not_run);
    }
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_folder = ::mkdtemp(name.data());
    const char* zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int n = 0; n < gateways; ++n) {
        machine item;
        item.zone = zones[n % 3];
        item.name = std::string("front-") + item.zone + "-" + std::to_string(n / 3 + 1);
        item.ip = "127.73.0." + std::to_string(n + 1);
        machines.push_back(item);
    }
    int base = 0;
    const auto usable = [&](int port) {
        return std::ranges::all_of(machines,
                                   [port](const machine& item) {
                                       return can_bind(item.ip, port, SOCK_STREAM) &&
                                              can_bind(item.ip, port, SOCK_DGRAM);
                                   }) &&
               can_bind(store_ip, port, SOCK_STREAM);
    };
    do {
        base = random_number(20000, 30000);
    } while (!(usable(base) && usable(base + 1) && usable(base + 2) && usable(base + 3) && usable(base + 4) &&
               usable(base + 5)));
    front_port = base;
    ready_port = base + 1;
    control_port = base + 2;
    directory_port = base + 3;
    datagram_port = base + 4;
    store_port = base + 5;
    std::thread([this] {
        std::this_thread::sleep_for(std::chrono::seconds(max_run_s));
        record("the run takes too long");
        finish(not_run);
    }).detach();
}

void deployment::kill_all()
{
    for (machine& item : machines) {
        if (item.pid > 0) {
            ::kill(item.pid, SIGKILL);
            ::waitpid(item.pid, nullptr, 0);
            item.pid = -1;
        }
    }
}

void deployment::finish(int status)
{
    kill_all();
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ec);
    }
    record("ends with status " + std::to_string(status));
    std::_Exit(status);
}

void deployment::start(std::size_t n)
{
    machine& item = machines.at(n);
    const auto at = [&](int port) { return item.ip + ":" + std::to_string(port); };
    json seeds = json::array();
    for (std::size_t k = 0; k < std::min<std::size_t>(machines.size(), 3); ++k) {
        seeds.push_back(machines[k].ip + ":" + std::to_string(control_port));
    }
    const json settings{
        {"nodeName", item.name},
        {"role", "gateway"},
        {"machineClass", "front"},
        {"serves", {"front", "directory", "control"}},
        {"ip", item.ip},
        {"zone", item.zone},
        {"region", "region"},
        {"zones", {{"zone-a", "region"}, {"zone-b", "region"}, {"zone-c", "region"}}},
        {"listen",
         {{"front", at(front_port)},
          {"ready", at(ready_port)},
          {"control", at(control_port)},
          {"directory", at(directory_port)}}},
        {"portRange", {datagram_port, datagram_port}},
        {"seeds", seeds},
        {"bootstrap", item.starts == 0},
        {"inTolerance", false},
        {"limits",
         {{"cpuShare", 0.25},
          {"cpuCores", 1},
          {"memoryMb", m_memory_mb},
          {"maxFds", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "platform"},
        {"entry", "directory"},
        {"beatIntervalMs", 1200},
        {"contracts", {"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"}},
        {"faultTolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds",
         {{"seedLagS", 3},
          {"reuseAfterS", 2},
          {"contactMs", 3000},
          {"ackMs", 4000},
          {"catchUpS", 4},
          {"drainMs", 2000},
          {"graceS", 8},
          {"lossSlackMs", 200},
          {"applyMs", 2000},
          {"downgradeMs", 250},
          {"maxStretchMs", 5000},
          {"recoverS", 12},
          {"passMs", 120},
          {"retryAfterS", 0},
          {"deadlineS", 10},
          {"settleMs", 1000},
          {"ttl_max_s", 5}}},
        {"platform",
         {{"address", store_ip + ":" + std::to_string(store_port)},
          {"form", "kv"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"ttlMinMs", 1000}}}};
    const std::string path = m_folder + "/" + item.name + ".json";
    std::ofstream(path) << settings.dump(2);
    const std::string log = m_folder + "/" + item.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::setenv("LAGOONFERRY_BOOT", path.c_str(), 1);
        ::execl("target/lagoonferry", "target/lagoonferry", "gateway", nullptr);
        std::_Exit(127);
    }
    item.pid = pid;
    ++item.starts;
}

void deployment::start_all()
{
    for (std::size_t n = 0; n < machines.size(); ++n) {
        start(n);
    }
}

void deployment::signal(std::size_t n, int number) const
{
    if (machines.at(n).pid > 0) {
        ::kill(machines.at(n).pid, number);
    }
}

bool deployment::running(std::size_t n)
{
    machine& item = machines.at(n);
    if (item.pid > 0 && ::waitpid(item.pid, nullptr, WNOHANG) == item.pid) {
        item.pid = -1;
    }
    return item.pid > 0;
}

bool deployment::wait_end(std::size_t n, int timeout_ms)
{
    for (int waited = 0; waited < timeout_ms; waited += 10) {
        if (!running(n)) {
            return true;
        }
        sleep_ms(10);
    }
    return false;
}

bool deployment::wait_ready(std::size_t n, int timeout_ms) const
{
    for (int waited = 0; waited < timeout_ms; waited += 50) {
        if (send_request(machines.at(n).ip, ready_port, "GET", "/v1/readiness", {}, "", 500).status == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

bool deployment::wait_all_ready(int timeout_ms) const
{
    for (std::size_t n = 0; n < machines.size(); ++n) {
        if (!wait_ready(n, timeout_ms)) {
            return false;
        }
    }
    return true;
}

answer send_request(const std::string& ip, int port, const std::string& method, const std::string& path,
                    const std::map<std::string, std::string>& fields, const std::string& body, int timeout_ms)
{
    answer out;
    const int fd = connect_to(ip, port);
    if (fd < 0) {
        out.connected = false;
        return out;
    }
    stream connection(fd);
    std::string head = method + " " + path + " HTTP/1.1\r\n";
    if (!fields.contains("Host")) {
        head += "Host: ficu95.example\r\n";
    }
    for (const auto& [name, value] : fields) {
        head += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "\r\n";
    if (!connection.send(head + body)) {
        return out;
    }
    message reply;
    if (!connection.read_head(reply, timeout_ms)) {
        return out;
    }
    out.status = std::atoi(reply.start_line.substr(reply.start_line.find(' ') + 1).c_str());
    out.fields = reply.fields;
    out.complete = connection.read_body(reply, timeout_ms);
    out.body = reply.body;
    for (std::size_t at = out.body.find("\n\n"); at != std::string::npos; at = out.body.find("\n\n", at + 2)) {
        ++out.events;
    }
    return out;
}

std::string new_request_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace rig
