#include "entry/caller_api.h"

#include "blackboard/board.h"
#include "entry/call_session.h"
#include "entry/completion_json.h"
#include "entry/entry_metrics.h"
#include "entry/refusal_json.h"
#include "entry/request_reader.h"
#include "util/log.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::uint64_t moved_retry_ms = 500;
constexpr std::size_t max_addresses_in_response = 4;
constexpr std::uint32_t percent = 100;

/// Counts a request as active during its lifetime.
class active_request {
public:
    explicit active_request(std::atomic<std::uint32_t>& count) : m_count(count) { ++m_count; }
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;
    ~active_request() { --m_count; }

private:
    std::atomic<std::uint32_t>& m_count;
};

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

const turn_runner::token_sink ignore_tokens = [](std::string_view) { return true; };

/// A parsed request for a chat completion.
struct chat_request {
    begin_turn turn;
    call_options options;
    bool stream = false;
};

std::optional<chat_request> read_chat(const httplib::Request& request, const caller_identity& caller, refusal& error)
{
    const auto body = read_object(request.body, error);
    if (!body) {
        return std::nullopt;
    }
    const auto options = read_options(request, caller, error);
    if (!options) {
        return std::nullopt;
    }
    const auto turn = read_turn(request, *body, error);
    if (!turn) {
        return std::nullopt;
    }
    chat_request parsed{*turn, *options, body->value("stream", false)};
    parsed.options.model = body->value("model", std::string());
    parsed.options.parameters = engine_parameters(*body);
    if (find_model(caller.service->document, parsed.options.model) == nullptr) {
        error = make_refusal(result_code::no_target, "the service has no model of this name");
        return std::nullopt;
    }
    parsed.turn.account = caller.full_name();
    parsed.turn.deadline = parsed.options.deadline;
    return parsed;
}

/// A parsed request for a tool call.
struct tool_request {
    call_options options;
    std::string arguments;
    std::uint64_t max_money = 0; ///< micro-units
};

std::optional<tool_request> read_tool(const httplib::Request& request, const caller_identity& caller, refusal& error)
{
    const auto body = read_object(request.body.empty() ? "{}" : request.body, error);
    if (!body) {
        return std::nullopt;
    }
    const auto options = read_options(request, caller, error);
    if (!options) {
        return std::nullopt;
    }
    return tool_request{*options, body->value("arguments", nlohmann::json::object()).dump(),
                        body->value("max_cost_micro", std::uint64_t{0})};
}

} // namespace

/// State of one streamed turn, which the handler passes to the content provider.
struct caller_api::turn_exchange {
    explicit turn_exchange(std::atomic<std::uint32_t>& count) : active(count) {}

    active_request active;
    std::uint32_t partition = 0;
    completion_origin origin;
    call_options options;
    std::shared_ptr<call_session> session;
    std::optional<start_engine_call> work; ///< empty once it has been started
};

caller_api::caller_api(const board& shared, const partition_router& router, turn_runner& turns, tool_runner& tools,
                       entry_metrics& metrics, std::string instance)
    : m_board(shared), m_router(router), m_turns(turns), m_tools(tools), m_metrics(metrics),
      m_instance(std::move(instance))
{
}

void caller_api::attach(httplib::Server& server)
{
    using handler = void (caller_api::*)(const httplib::Request&, httplib::Response&);
    const auto route = [this](handler member) {
        return [this, member](const httplib::Request& request, httplib::Response& response) {
            const active_request active(m_active);
            (this->*member)(request, response);
        };
    };
    server.Post("/v1/programs", route(&caller_api::open));
    server.Get(R"(/v1/programs/([\w-]+))", route(&caller_api::query));
    server.Delete(R"(/v1/programs/([\w-]+))", route(&caller_api::end));
    server.Post("/v1/chat/completions", route(&caller_api::chat));
    server.Post(R"(/v1/tools/([\w.-]+))", route(&caller_api::tool));
    server.Get(R"(/v1/calls/([\w-]+)/([\w.:-]+))", route(&caller_api::query_call));
    server.Get("/v1/where", [this](const httplib::Request& request, httplib::Response& response) {
        list_addresses(request, response);
    });
}

void caller_api::open(const httplib::Request& request, httplib::Response& response)
{
    refusal error;
    const auto body = read_object(request.body.empty() ? "{}" : request.body, error);
    if (!body) {
        send_refusal(response, error);
        return;
    }
    const auto caller =
        identify(request, body->value("service", request.get_header_value("X-Service")), m_board, error);
    if (!caller) {
        send_refusal(response, error);
        return;
    }
    const auto options = read_options(request, *caller, error);
    if (!options) {
        send_refusal(response, error);
        return;
    }
    open_program input;
    input.parent = body->value("parent", std::string());
    input.account = caller->full_name();
    input.service = caller->service->record.service;
    const auto limits = read_budget(*body, caller->service->document.budgets, error);
    if (!limits) {
        send_refusal(response, error);
        return;
    }
    input.limits = *limits;
    input.priority = options->priority;
    input.opened_ms = wall_clock_ms();
    input.high_water_mark_chunks =
        std::max<std::uint32_t>(1, percent / caller->service->document.budgets.mark_share_percent);

    const auto parent_partition = m_router.partition_of(input.parent);
    if (!input.parent.empty() && !parent_partition) {
        send_refusal(response, make_refusal(result_code::unknown_program, "the parent program does not exist"));
        return;
    }
    const auto program =
        parent_partition ? partition_router::new_program_id_in(*parent_partition) : m_router.new_program_id();
    if (!program) {
        const auto other = m_router.any_owner_address();
        refusal value = make_refusal(other ? result_code::moved : result_code::program_unavailable,
                                     "this instance owns no partition", moved_retry_ms);
        if (other) {
            response.set_header("Location", "http://" + *other + request.target);
        }
        send_refusal(response, value);
        return;
    }
    input.program = *program;
    const auto partition = m_router.partition_of(*program);
    if (!partition) {
        send_refusal(response,
                     make_refusal(result_code::unknown_program, "the partition of the parent program does not exist"));
        return;
    }
    const owner_reply reply = send_and_wait(*partition, input);
    m_metrics.count("program", reply);
    send_response(request, *partition, reply, response);
}

bool caller_api::resolve_program(const httplib::Request& request, const std::string& program,
                                 httplib::Response& response, caller_identity& caller, std::uint32_t& partition) const
{
    refusal error;
    const auto known = identify(request, request.get_header_value("X-Service"), m_board, error);
    if (!known) {
        send_refusal(response, error);
        return false;
    }
    const auto number = m_router.partition_of(program);
    if (!number) {
        send_refusal(response, make_refusal(result_code::unknown_program, "there is no program with this identifier"));
        return false;
    }
    caller = *known;
    partition = *number;
    return true;
}

void caller_api::query(const httplib::Request& request, httplib::Response& response)
{
    caller_identity caller;
    std::uint32_t partition = 0;
    query_program input;
    input.program = request.matches[1];
    if (resolve_program(request, input.program, response, caller, partition)) {
        input.account = caller.full_name();
        send_response(request, partition, send_and_wait(partition, input), response);
    }
}

void caller_api::end(const httplib::Request& request, httplib::Response& response)
{
    caller_identity caller;
    std::uint32_t partition = 0;
    end_program input;
    input.program = request.matches[1];
    input.reason = "ended by the caller";
    if (resolve_program(request, input.program, response, caller, partition)) {
        input.account = caller.full_name();
        const owner_reply reply = send_and_wait(partition, input);
        count_end(caller, reply);
        send_response(request, partition, reply, response);
    }
}

void caller_api::count_end(const caller_identity& caller, const owner_reply& reply)
{
    const auto* done = std::get_if<success>(&reply.result);
    if (done == nullptr) {
        return;
    }
    const nlohmann::json ended = nlohmann::json::parse(done->payload, nullptr, false);
    const auto priority = parse_service_class(ended.value("class", std::string()));
    const auto opened_ms = ended.value("opened_ms", std::int64_t{0});
    if (!priority || opened_ms == 0 || ended.value("already_ended", true)) {
        return;
    }
    // After a takeover the two times come from different clocks, so their difference can be negative.
    const std::chrono::milliseconds latency(std::max<std::int64_t>(0, wall_clock_ms() - opened_ms));
    m_metrics.count_program(caller.service->record.service, *priority, ended.value("target", std::string()), latency,
                            caller.service->document.classes.at(index_of(*priority)));
}

void caller_api::query_call(const httplib::Request& request, httplib::Response& response)
{
    caller_identity caller;
    std::uint32_t partition = 0;
    lagoonferry::query_call input;
    input.program = request.matches[1];
    input.key = request.matches[2];
    if (resolve_program(request, input.program, response, caller, partition)) {
        input.account = caller.full_name();
        send_response(request, partition, send_and_wait(partition, input), response);
    }
}

void caller_api::chat(const httplib::Request& request, httplib::Response& response)
{
    caller_identity caller;
    auto exchange = std::make_shared<turn_exchange>(m_active);
    exchange->origin.program = request.get_header_value("X-Program");
    exchange->origin.instance = m_instance;
    if (!resolve_program(request, exchange->origin.program, response, caller, exchange->partition)) {
        return;
    }
    refusal error;
    auto parsed = read_chat(request, caller, error);
    if (!parsed) {
        send_refusal(response, error);
        return;
    }
    exchange->options = parsed->options;
    exchange->origin.model = parsed->options.model;
    parsed->turn.program = exchange->origin.program;
    exchange->session = std::make_shared<call_session>();
    m_router.send(exchange->partition, parsed->turn, exchange->session);

    if (!parsed->stream) {
        const served_reply served = serve(exchange->partition, *exchange->session, exchange->options, ignore_tokens);
        m_metrics.count("turn", served.reply, exchange->options, served.target);
        if (const auto* done = std::get_if<success>(&served.reply.result)) {
            exchange->origin.target = served.target;
            response.set_content(completion_json(exchange->origin, *done), "application/json");
            return;
        }
        send_response(request, exchange->partition, served.reply, response);
        return;
    }
    call_session::item first = exchange->session->wait();
    if (const auto* known = std::get_if<owner_reply>(&first)) {
        const owner_reply reply = redirect_to_owner(exchange->partition, *known);
        m_metrics.count("turn", reply, exchange->options, {});
        if (const auto* done = std::get_if<success>(&reply.result)) {
            response.set_content(replayed_stream(exchange->origin, *done), "text/event-stream");
            return;
        }
        send_response(request, exchange->partition, reply, response);
        return;
    }
    exchange->work = std::get<start_engine_call>(std::move(first));
    stream_completion(exchange, response);
}

void caller_api::stream_completion(const std::shared_ptr<turn_exchange>& exchange, httplib::Response& response)
{
    const auto provide = [this, exchange](std::size_t, httplib::DataSink& sink) {
        const auto write = [&sink](const std::string& text) { return sink.write(text.data(), text.size()); };
        const start_engine_call work = std::move(*exchange->work);
        exchange->work.reset();
        exchange->origin.target =
            run_engine_call(exchange->partition, *exchange->session, work, exchange->options,
                            [&](std::string_view token) { return write(stream_token_event(exchange->origin, token)); });
        const owner_reply reply =
            serve(exchange->partition, *exchange->session, exchange->options, ignore_tokens).reply;
        m_metrics.count("turn", reply, exchange->options, exchange->origin.target);
        if (const auto* done = std::get_if<success>(&reply.result)) {
            write(stream_final_events(exchange->origin, *done));
        }
        else {
            write("data: " + refusal_json(std::get<refusal>(reply.result)).dump() + "\n\n");
        }
        sink.done();
        return true;
    };
    const auto release = [this, exchange](bool) {
        if (!exchange->work) {
            return;
        }
        // The caller disconnected before the stream began.
        engine_failed failed;
        failed.call = exchange->work->call;
        failed.epoch = exchange->work->epoch;
        failed.run = execution_state::not_run;
        failed.text = "the caller has disconnected";
        m_router.send(exchange->partition, failed, nullptr);
    };
    response.set_chunked_content_provider("text/event-stream", provide, release);
}

std::string caller_api::run_engine_call(std::uint32_t partition, const call_session& session,
                                        const start_engine_call& work, const call_options& options,
                                        const turn_runner::token_sink& sink)
{
    const auto forward_token = [&](std::string_view token) { return !session.cancelled() && sink(token); };
    const turn_result result = m_turns.run(work, options, forward_token);
    std::visit([&](const auto& value) { m_router.send(partition, value, nullptr); }, result);
    const auto* done = std::get_if<engine_completed>(&result);
    return done == nullptr ? std::string() : done->target;
}

owner_reply caller_api::send_and_wait(std::uint32_t partition, event input) const
{
    auto session = std::make_shared<call_session>();
    m_router.send(partition, std::move(input), session);
    while (true) {
        const call_session::item next = session->wait();
        if (const auto* reply = std::get_if<owner_reply>(&next)) {
            return redirect_to_owner(partition, *reply);
        }
    }
}

owner_reply caller_api::redirect_to_owner(std::uint32_t partition, owner_reply reply) const
{
    auto* refused = std::get_if<refusal>(&reply.result);
    if (refused != nullptr && refused->code == result_code::program_unavailable && m_router.owner_address(partition)) {
        refused->code = result_code::moved;
    }
    return reply;
}

caller_api::served_reply caller_api::serve(std::uint32_t partition, call_session& session, const call_options& options,
                                           const turn_runner::token_sink& sink)
{
    std::string target;
    while (true) {
        const call_session::item next = session.wait();
        if (const auto* reply = std::get_if<owner_reply>(&next)) {
            return {redirect_to_owner(partition, *reply), target};
        }
        if (const auto* work = std::get_if<start_engine_call>(&next)) {
            target = run_engine_call(partition, session, *work, options, sink);
        }
        else {
            m_router.send(partition, m_tools.run(std::get<send_tool_call>(next)), nullptr);
        }
    }
}

void caller_api::tool(const httplib::Request& request, httplib::Response& response)
{
    caller_identity caller;
    std::uint32_t partition = 0;
    const std::string program = request.get_header_value("X-Program");
    if (!resolve_program(request, program, response, caller, partition)) {
        return;
    }
    const std::string name = request.matches[1];
    const lagoonferry::tool* known = find_tool(caller.service->document, name);
    if (known == nullptr) {
        send_refusal(response, make_refusal(result_code::unknown_tool, "the service has no tool of this name"));
        return;
    }
    refusal error;
    const auto parsed = read_tool(request, caller, error);
    if (!parsed) {
        send_refusal(response, error);
        return;
    }
    begin_call call;
    call.program = program;
    call.account = caller.full_name();
    call.irreversible = !known->idempotent;
    call.key = request.get_header_value("Idempotency-Key");
    call.tool = name;
    call.arguments = parsed->arguments;
    call.max_money = parsed->max_money;
    call.deadline = std::min(parsed->options.deadline, steady_now() + std::chrono::milliseconds(known->deadline_ms));
    auto session = std::make_shared<call_session>();
    m_router.send(partition, call, session);
    const owner_reply reply = serve(partition, *session, parsed->options, ignore_tokens).reply;
    m_metrics.count("tool", reply, parsed->options, name);
    send_response(request, partition, reply, response);
}

void caller_api::list_addresses(const httplib::Request& request, httplib::Response& response) const
{
    const auto lookup = m_board.addresses.read();
    const std::string account = request.get_param_value("account");
    const std::string caller = request.get_param_value("caller");
    const address_response result = (*lookup)->order(account, caller, max_addresses_in_response);
    const nlohmann::json body{{"addresses", result.addresses}, {"ttl_ms", result.ttl.count()}};
    response.set_content(body.dump(), "application/json");
}

void caller_api::send_response(const httplib::Request& request, std::uint32_t partition, const owner_reply& reply,
                               httplib::Response& response) const
{
    if (const auto* done = std::get_if<success>(&reply.result)) {
        response.set_content(done->payload, "application/json");
        return;
    }
    const auto& value = std::get<refusal>(reply.result);
    if (value.code == result_code::moved) {
        send_moved(request, partition, value, response);
        return;
    }
    send_refusal(response, value);
}

void caller_api::send_moved(const httplib::Request& request, std::uint32_t partition, refusal value,
                            httplib::Response& response) const
{
    if (const auto address = m_router.owner_address(partition)) {
        response.set_header("Location", "http://" + *address + request.target);
        value.owner_address = *address;
    }
    else {
        value.code = result_code::program_unavailable;
        value.retry_after_ms = std::max(value.retry_after_ms, moved_retry_ms);
    }
    send_refusal(response, value);
}

} // namespace lagoonferry
