#include "soak_caller.h"

#include "net/pause.h"
#include "platform/wire_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lagoonferry::soak {

namespace {

using std::chrono::milliseconds;
namespace wire_names = platform::wire_names;

constexpr milliseconds request_timeout{5'000};
constexpr milliseconds connect_timeout{1'000};
constexpr milliseconds lookup_timeout{1'000};
constexpr std::size_t max_response_bytes = 1'000'000;

/// Tokens of one event, as in the routing document of the soak, and the maximum number of tokens of a turn.
constexpr std::uint64_t tokens_per_event = 8;
constexpr std::uint64_t max_turn_tokens = 80;

tcp::endpoint endpoint_of(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string path_of(request_kind kind)
{
    switch (kind) {
    case request_kind::safe:
        return "/safe/x";
    case request_kind::unsafe:
        return "/unsafe/x";
    case request_kind::kept_turn:
        return "/kept/x";
    case request_kind::stream:
        break;
    }
    return "/stream/x";
}

} // namespace

soak_caller::soak_caller(const asio::any_io_executor& loop, invariant_checker& invariants, caller_counts& counts,
                         std::vector<std::string> directories, std::string name, std::uint64_t seed)
    : m_loop(loop), m_invariants(invariants), m_counts(counts), m_directories(std::move(directories)),
      m_name(std::move(name)), m_random(static_cast<std::minstd_rand::result_type>(2 * seed + 1))
{
}

std::string soak_caller::next_id()
{
    return m_name + "-" + std::to_string(++m_count);
}

soak_caller::result soak_caller::count_outcome(const std::string& outcome, result value)
{
    ++m_counts.outcomes[outcome];
    return value;
}

asio::awaitable<void> soak_caller::run(const bool& stop)
{
    while (!stop) {
        co_await run_program(stop);
        co_await pause(m_loop, milliseconds(std::uniform_int_distribution<int>(5, 60)(m_random)));
    }
}

// One program in six runs turns until its budget is exhausted.
asio::awaitable<void> soak_caller::run_program(const bool& stop)
{
    const std::string program = next_id();
    const std::uint64_t budget = std::uniform_int_distribution<std::uint64_t>(2, 12)(m_random) * max_turn_tokens;
    const bool loops = std::uniform_int_distribution<int>(0, 5)(m_random) == 0;
    const bool kept = m_count % 2 == 0;
    std::string previous;
    const int turns = loops ? 1'000 : std::uniform_int_distribution<int>(1, 4)(m_random);
    for (int n = 0; n < turns && !stop; ++n) {
        request next{{}, kept ? request_kind::kept_turn : request_kind::stream, program, budget, previous};
        const result turn = co_await send_with_retries(next);
        if (turn == result::budget_exhausted) {
            co_return;
        }
        previous = turn == result::served ? m_last_served : previous;
        const int calls = std::uniform_int_distribution<int>(0, 2)(m_random);
        for (int call = 0; call < calls && !stop; ++call) {
            const bool once = std::uniform_int_distribution<int>(0, 1)(m_random) == 1;
            next.kind = once ? request_kind::unsafe : request_kind::safe;
            co_await send_with_retries(next);
        }
    }
}

// Each attempt has its own request id. An unsafe request is sent again only after a response which states that it has
// not run.
asio::awaitable<soak_caller::result> soak_caller::send_with_retries(request spec)
{
    const deadline until = deadline_after(request_timeout);
    ++m_counts.sent;
    result last = result::failed;
    constexpr int max_attempts = 3;
    for (int n = 0; n < max_attempts && loop_clock::now() < until; ++n) {
        spec.id = next_id();
        m_retry_after = milliseconds(50);
        last = co_await send_once(spec, time_left(until));
        if (last == result::served || last == result::budget_exhausted) {
            m_counts.served += 1;
            m_last_served = spec.id;
            co_return last;
        }
        if (last == result::failed && spec.kind == request_kind::unsafe) {
            break;
        }
        co_await pause(m_loop, std::min(m_retry_after, time_left(until) / 3));
    }
    co_return last;
}

asio::awaitable<bool> soak_caller::resolve_addresses()
{
    if (loop_clock::now() < m_addresses_until && !m_addresses.empty()) {
        co_return true;
    }
    std::ranges::shuffle(m_directories, m_random);
    for (const std::string& directory : m_directories) {
        client_connection connection(m_loop);
        const deadline until = deadline_after(lookup_timeout);
        if (co_await connection.connect(endpoint_of(directory), until)) {
            continue;
        }
        http_request call{http::verb::get, std::string(wire_names::resolve_path) + "?name=h&region=r&zone=z1", 11};
        call.set(http::field::host, directory);
        response_reader reader(connection);
        std::string body;
        if (co_await connection.send(call, until) || co_await reader.read_header(until) ||
            co_await reader.read_remaining(body, max_response_bytes, until) || reader.status() != 200) {
            continue;
        }
        const nlohmann::json response = nlohmann::json::parse(body);
        m_addresses = response.at("addresses").get<std::vector<std::string>>();
        // One lookup in four keeps the addresses for three times their TTL.
        const int factor = std::uniform_int_distribution<int>(0, 3)(m_random) == 0 ? 3 : 1;
        m_addresses_until = deadline_after(milliseconds(response.at("ttlS").get<int>() * 1'000 * factor));
        std::erase_if(m_idle_connections,
                      [this](const auto& pair) { return !std::ranges::count(m_addresses, pair.first); });
        co_return !m_addresses.empty();
    }
    co_return !m_addresses.empty();
}

asio::awaitable<soak_caller::result> soak_caller::send_once(const request& spec, milliseconds left)
{
    const deadline until = deadline_after(left);
    if (!co_await resolve_addresses()) {
        co_return count_outcome("no address", result::refused);
    }
    const std::string address =
        m_addresses[std::uniform_int_distribution<std::size_t>(0, m_addresses.size() - 1)(m_random)];
    auto idle = m_idle_connections.extract(address);
    std::unique_ptr<client_connection> connection = idle ? std::move(idle.mapped()) : nullptr;
    if (!connection || !connection->is_reusable()) {
        connection = std::make_unique<client_connection>(m_loop);
        if (co_await connection->connect(endpoint_of(address), std::min(until, deadline_after(connect_timeout)))) {
            std::erase(m_addresses, address);
            co_return count_outcome("no connection", result::refused);
        }
    }
    http_request call{http::verb::post, path_of(spec.kind), 11};
    call.set(http::field::host, "h.example");
    call.set(to_beast(wire_names::request_id), spec.id);
    call.set(to_beast(wire_names::deadline_ms), std::to_string(time_left(until).count()));
    call.set(to_beast(wire_names::program_id), spec.program);
    call.set(to_beast(wire_names::session_id), spec.program);
    if (!spec.previous.empty() && spec.kind == request_kind::kept_turn) {
        call.set(to_beast(wire_names::previous_turn), spec.previous);
    }
    if (spec.kind == request_kind::stream || spec.kind == request_kind::kept_turn) {
        call.set(to_beast(wire_names::token_budget), std::to_string(spec.budget));
        call.set(to_beast(wire_names::token_count), "100," + std::to_string(max_turn_tokens));
    }
    call.body() = "body of " + spec.id;
    call.prepare_payload();
    m_invariants.on_sent(spec.id, spec.kind);
    if (co_await connection->send(call, until)) {
        co_return count_outcome("send failed", result::failed);
    }
    bool keep_alive = false;
    const result response = co_await read_response(spec, *connection, until, keep_alive);
    if (keep_alive) {
        m_idle_connections[address] = std::move(connection);
    }
    co_return response;
}

asio::awaitable<soak_caller::result> soak_caller::read_response(const request& spec, client_connection& connection,
                                                                deadline until, bool& keep_alive)
{
    response_reader reader(connection);
    if (const error_code ec = co_await reader.read_header(until)) {
        co_return count_outcome(loop_clock::now() >= until ? "deadline" : "closed before the response", result::failed);
    }
    const unsigned status = reader.status();
    const bool signed_by_target = reader.fields().count(to_beast(wire_names::response_stamp)) > 0;
    if ((spec.kind == request_kind::stream || spec.kind == request_kind::kept_turn) && status == 200) {
        const result response = co_await read_stream(spec, reader, until);
        keep_alive = reader.allows_reuse();
        co_return response;
    }
    std::string body;
    if (co_await reader.read_remaining(body, max_response_bytes, until)) {
        co_return count_outcome("closed during the response", result::failed);
    }
    keep_alive = reader.allows_reuse();
    if (status == 200) {
        m_invariants.on_success(spec.id, signed_by_target, body.starts_with("answer to " + spec.id + "."));
        co_return count_outcome("200", result::served);
    }
    if (signed_by_target) {
        co_return count_outcome("target " + std::to_string(status), result::failed);
    }
    if (status == 503 || status == 429 || status == 402) {
        m_invariants.on_refused(spec.id, status);
        const double seconds =
            std::strtod(std::string(to_std(reader.fields()[http::field::retry_after])).c_str(), nullptr);
        m_retry_after = std::max(m_retry_after, milliseconds(static_cast<int>(seconds * 1'000)));
        co_return count_outcome(std::to_string(status), status == 402 ? result::budget_exhausted : result::refused);
    }
    constexpr unsigned first_server_error = 500;
    constexpr unsigned not_found = 404;
    if (status == not_found && spec.kind == request_kind::kept_turn) {
        m_invariants.on_turn_unknown(spec.id, spec.previous);
    }
    if (status < first_server_error) {
        m_invariants.add_violation("DENIED: request " + spec.id + " gets status " + std::to_string(status));
    }
    co_return count_outcome(std::to_string(status), result::failed);
}

asio::awaitable<soak_caller::result> soak_caller::read_stream(const request& spec, response_reader& reader,
                                                              deadline until)
{
    std::string pending;
    std::string output;
    std::uint64_t last = 0;
    while (!reader.done()) {
        if (co_await reader.read_some(pending, until)) {
            co_return count_outcome("stream truncated", result::failed);
        }
        for (std::size_t end = pending.find("\n\n"); end != std::string::npos; end = pending.find("\n\n")) {
            const std::uint64_t id = std::strtoull(pending.c_str() + std::string_view("id: ").size(), nullptr, 10);
            constexpr std::string_view data_field = "\ndata: ";
            const std::size_t data = pending.find(data_field) + data_field.size();
            output += pending.substr(data, end - data) + "\n";
            pending.erase(0, end + 2);
            m_invariants.on_event(spec.id, id, last);
            m_invariants.on_tokens(spec.program, tokens_per_event, spec.budget, max_turn_tokens);
            last = id;
        }
    }
    constexpr std::uint64_t events_per_stream = 8;
    if (last != events_per_stream) {
        m_invariants.add_violation("ORDER: stream " + spec.id + " ends as complete after event " +
                                   std::to_string(last));
    }
    if (spec.kind == request_kind::kept_turn) {
        m_invariants.on_turn_served(spec.id, spec.previous, "body of " + spec.id, output);
        co_return count_outcome("kept 200", result::served);
    }
    co_return count_outcome("200", result::served);
}

} // namespace lagoonferry::soak
