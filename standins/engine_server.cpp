#include "engine_server.h"

#include "completion_response.h"

#include <httplib.h>

#include <algorithm>

namespace lagoonferry::standin {

namespace {

// Bounds the event buffer of an engine whose events nobody fetches.
constexpr std::size_t max_buffered_events = 10'000;

// Delay after a failed read from the weight store.
constexpr std::chrono::milliseconds load_retry_delay{50};

// How often a waiting stream checks whether its client has closed the connection.
constexpr std::chrono::milliseconds client_check_interval{50};

} // namespace

struct engine_server::completion {
    completion_response output;
    sequence_ptr seq;
    std::uint32_t sent = 0; ///< answer tokens, including resumed ones
    std::uint32_t cut_after = 0;
};

engine_server::engine_server(const engine_options& options)
    : m_options(options), m_models(options.models),
      m_core(options.limits, [this](std::string_view kind, const std::string& program, std::uint64_t tokens) {
          add_event(kind, program, tokens);
      })
{
    m_load.set(steady_now(), m_core.load());
    add_routes();
    add_cache_routes();
    m_http.on_stop([this] {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_state_changed.notify_all();
    });
    m_http.faults().on_change([this] {
        const std::lock_guard lock(m_mutex);
        update(steady_now());
        m_state_changed.notify_all();
    });
    m_thread = std::thread([this] { run(); });
    m_load_thread = std::thread([this] { run_model_loader(); });
}

engine_server::~engine_server()
{
    m_http.stop();
    m_thread.join();
    m_load_thread.join();
}

void engine_server::add_routes()
{
    m_http.on("POST", "/v1/chat/completions",
              [this](const request& req, response& res, const fault& effect) { complete(req, res, effect); });
    m_http.on("DELETE", "/v1/calls/(.+)",
              [this](const request& req, response& res, const fault&) { cancel(req, res); });
    m_http.on("GET", "/v1/load",
              [this](const request&, response& res, const fault& effect) { respond_load(res, effect); });
    m_http.on("POST", "/v1/orders",
              [this](const request& req, response& res, const fault& effect) { handle_order(req, res, effect); });
    m_http.on("GET", "/v1/orders", [this](const request&, response& res, const fault&) {
        const std::lock_guard lock(m_mutex);
        respond_json(res, m_received_orders);
    });
    m_http.on("GET", "/stats", [this](const request&, response& res, const fault&) { respond_totals(res); });
}

void engine_server::add_cache_routes()
{
    m_http.on("GET", "/v1/cache/events",
              [this](const request& req, response& res, const fault& effect) { respond_events(req, res, effect); });
    m_http.on("GET", "/v1/cache", [this](const request&, response& res, const fault&) { respond_cache_state(res); });
    m_http.on("DELETE", "/v1/cache/(.+)",
              [this](const request& req, response& res, const fault&) { release(req, res); });
    m_http.on("POST", "/v1/cache/export",
              [this](const request& req, response& res, const fault&) { export_cache(req, res); });
    m_http.on("POST", "/v1/cache/import",
              [this](const request& req, response& res, const fault&) { import_cache(req, res); });
}

void engine_server::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        update(steady_now());
        if (const auto next = m_core.next_change()) {
            m_state_changed.wait_for(lock, *next - steady_now());
        }
        else {
            m_state_changed.wait(lock);
        }
    }
}

void engine_server::run_model_loader()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_pending_loads.empty()) {
            m_state_changed.wait(lock);
            continue;
        }
        const std::string name = m_pending_loads.front();
        lock.unlock();
        const bool loaded = read_weights(name);
        lock.lock();
        // An unload order may have cancelled the load in the meantime.
        const bool wanted = std::erase(m_pending_loads, name) > 0;
        if (loaded && wanted) {
            m_models.insert(name);
        }
        else if (!loaded && wanted) {
            m_pending_loads.push_back(name);
            m_state_changed.wait_for(lock, load_retry_delay);
        }
    }
}

bool engine_server::read_weights(const std::string& name) const
{
    httplib::Client store("http://" + m_options.weights);
    const auto reply = store.Get("/weights/" + name);
    return reply && reply->status == 200;
}

void engine_server::update(timestamp now)
{
    const fault global_fault = m_http.faults().global_fault();
    m_core.set_slow_factor(now, global_fault.slow_factor);
    if (!global_fault.lose_reports) {
        m_load.set(now, m_core.load());
    }
}

void engine_server::add_event(std::string_view kind, const std::string& program, std::uint64_t tokens)
{
    ++m_last_event;
    const bool lost = m_options.event_loss_interval > 0 && m_last_event % m_options.event_loss_interval == 0;
    if (lost || m_http.faults().global_fault().lose_reports) {
        return;
    }
    m_events.push_back({{m_last_event, std::string(kind), program, tokens}, steady_now()});
    if (m_events.size() > max_buffered_events) {
        m_events.pop_front();
    }
}

timestamp engine_server::report_time(const fault& effect) const
{
    return steady_now() - std::max(m_options.report_lag, effect.lag);
}

void engine_server::complete(const request& req, response& res, const fault& effect)
{
    const auto body = nlohmann::json::parse(req.body);
    auto call = std::make_shared<completion>();
    engine_job job;
    if (const auto error = parse_completion_request(req, body, m_options.answer_tokens, call->output, job)) {
        respond_error(res, 400, *error);
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (!admit(req, body, res, effect)) {
            return;
        }
        call->sent = job.resumed_tokens;
        call->cut_after = effect.cut_after_tokens;
        call->seq = m_core.submit(steady_now(), std::move(job));
        m_state_changed.notify_all();
    }
    if (call->seq == nullptr) {
        respond_error(res, 400, "prompt and answer exceed the KV cache of the engine");
        return;
    }
    if (effect.lose_reply) {
        return;
    }
    if (body.value("stream", false)) {
        respond_stream(res, call);
        return;
    }
    respond_full(res, call);
}

bool engine_server::admit(const request& req, const nlohmann::json& body, response& res, const fault& effect)
{
    if (!m_fencing.admit(read_fencing_token(req), effect)) {
        respond_error(res, 409, "stale fencing token");
        return false;
    }
    if (!m_options.models.empty() && !m_models.contains(body.value("model", ""))) {
        respond_error(res, 404, "model not loaded");
        return false;
    }
    return true;
}

void engine_server::respond_stream(response& res, const std::shared_ptr<completion>& call)
{
    const auto write = [this, call](std::size_t, httplib::DataSink& sink) {
        std::uint32_t available_tokens = 0;
        sequence_state state = sequence_state::queued;
        if (!wait_for_tokens(*call, available_tokens, state)) {
            return sink.is_writable();
        }
        std::string events;
        while (call->sent < available_tokens) {
            events += call->output.token_event(call->sent++);
            if (call->cut_after > 0 && call->sent - call->seq->job.resumed_tokens == call->cut_after) {
                sink.write(events.data(), events.size());
                http_server::drop_connection();
                return false;
            }
        }
        if (state == sequence_state::finished) {
            events += call->output.final_events(*call->seq);
        }
        if (!events.empty() && !sink.write(events.data(), events.size())) {
            return false;
        }
        if (state == sequence_state::finished || state == sequence_state::cancelled) {
            sink.done();
        }
        return true;
    };
    res.set_chunked_content_provider("text/event-stream", write, [this, call](bool) { abandon(*call); });
}

void engine_server::respond_full(response& res, const std::shared_ptr<completion>& call)
{
    std::uint32_t available_tokens = 0;
    sequence_state state = sequence_state::queued;
    do {
        wait_for_tokens(*call, available_tokens, state);
        call->sent = available_tokens;
    } while (state != sequence_state::finished && state != sequence_state::cancelled);
    if (state == sequence_state::cancelled) {
        respond_error(res, 499, "cancelled");
        return;
    }
    respond_json(res, call->output.full_response(*call->seq));
}

bool engine_server::wait_for_tokens(const completion& call, std::uint32_t& available_tokens, sequence_state& state)
{
    std::unique_lock lock(m_mutex);
    sequence& seq = *call.seq;
    const bool changed = seq.changed.wait_for(lock, client_check_interval,
                                              [&] { return m_stopping || seq.ended() || seq.generated > call.sent; });
    if (m_stopping) {
        m_core.cancel(steady_now(), seq);
    }
    available_tokens = seq.generated;
    state = seq.state;
    return changed;
}

void engine_server::abandon(const completion& call)
{
    const std::lock_guard lock(m_mutex);
    m_core.cancel(steady_now(), *call.seq);
    m_state_changed.notify_all();
}

void engine_server::cancel(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    const bool found = m_core.cancel(steady_now(), req.matches[1].str());
    update(steady_now());
    m_state_changed.notify_all();
    respond_json(res, {{"cancelled", found}});
    res.status = found ? 200 : 404;
}

void engine_server::handle_order(const request& req, response& res, const fault& effect)
{
    const auto body = nlohmann::json::parse(req.body);
    const std::string kind = body.at("kind");
    const std::string name = body.at("name");
    std::optional<fencing_token> token;
    if (body.contains("fence")) {
        token = {body.value("fence_scope", ""), body.at("fence").get<std::uint64_t>()};
    }
    const std::lock_guard lock(m_mutex);
    if (!m_fencing.admit(token, effect)) {
        respond_error(res, 409, "stale fencing token");
        return;
    }
    if (kind == "load_model") {
        if (m_options.weights.empty()) {
            m_models.insert(name);
        }
        else {
            m_pending_loads.push_back(name);
            m_state_changed.notify_all();
        }
    }
    else if (kind == "unload_model") {
        m_models.erase(name);
        std::erase(m_pending_loads, name);
    }
    m_received_orders.push_back(body);
    respond_json(res, body);
}

void engine_server::respond_load(response& res, const fault& effect)
{
    const std::lock_guard lock(m_mutex);
    const engine_load& load = m_load.at(report_time(effect));
    nlohmann::json body{{"running", load.running},
                        {"queued", load.queued},
                        {"batch_limit", load.batch_limit},
                        {"held_tokens", load.held_tokens},
                        {"capacity_tokens", load.capacity_tokens},
                        {"tokens_per_second", load.tokens_per_second}};
    if (!m_options.models.empty()) {
        body["models"] = m_models;
    }
    respond_json(res, body);
}

void engine_server::respond_events(const request& req, response& res, const fault& effect)
{
    const std::uint64_t after = std::strtoull(req.get_param_value("after").c_str(), nullptr, 10);
    const timestamp limit = report_time(effect);
    nlohmann::json list = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    for (const published_event& it : m_events) {
        if (it.event.sequence > after && it.at <= limit) {
            list.push_back({{"sequence", it.event.sequence},
                            {"kind", it.event.kind},
                            {"program", it.event.program},
                            {"tokens", it.event.tokens}});
        }
    }
    respond_json(res, {{"events", std::move(list)}});
}

void engine_server::respond_cache_state(response& res)
{
    const std::lock_guard lock(m_mutex);
    update(steady_now());
    const engine_cache_state cache_state = m_core.cache_state();
    respond_json(res, {{"capacity_tokens", cache_state.capacity_tokens}, {"programs", cache_state.programs}});
}

void engine_server::respond_totals(response& res)
{
    const std::lock_guard lock(m_mutex);
    const engine_totals& totals = m_core.totals();
    respond_json(res, {{"submitted", totals.submitted},
                       {"finished", totals.finished},
                       {"cancelled", totals.cancelled},
                       {"preempted", totals.preempted},
                       {"generated_tokens", totals.generated_tokens},
                       {"prefilled_tokens", totals.prefilled_tokens},
                       {"cached_tokens", totals.cached_tokens}});
}

void engine_server::release(const request& req, response& res)
{
    const std::lock_guard lock(m_mutex);
    respond_json(res, {{"tokens", m_core.release(req.matches[1].str())}});
}

void engine_server::export_cache(const request& req, response& res)
{
    const std::string program = nlohmann::json::parse(req.body).at("program");
    const std::lock_guard lock(m_mutex);
    const auto blocks = m_core.export_cache(program);
    if (blocks.empty()) {
        respond_error(res, 404, "no cached prefix for this program");
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    std::ranges::for_each(blocks, [&](const prompt_block& it) {
        list.push_back({{"digest", it.digest}, {"tokens", it.tokens}});
    });
    respond_json(res, {{"program", program}, {"blocks", std::move(list)}});
}

void engine_server::import_cache(const request& req, response& res)
{
    const auto body = nlohmann::json::parse(req.body);
    std::vector<prompt_block> blocks;
    std::ranges::for_each(body.at("blocks"), [&](const nlohmann::json& it) {
        blocks.push_back({it.at("digest").get<std::string>(), it.at("tokens").get<std::uint32_t>()});
    });
    const std::uint64_t tokens = token_sum(blocks);
    const std::lock_guard lock(m_mutex);
    if (!m_core.import_cache(steady_now(), body.at("program"), std::move(blocks))) {
        respond_error(res, 507, "prefix exceeds the free KV cache");
        return;
    }
    m_state_changed.notify_all();
    respond_json(res, {{"tokens", tokens}});
}

} // namespace lagoonferry::standin
