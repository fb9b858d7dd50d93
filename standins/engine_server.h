#pragma once

#include "engine_core.h"
#include "fencing_validator.h"
#include "http_server.h"
#include "lagged_value.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace lagoonferry::standin {

struct engine_options {
    engine_limits limits;
    std::uint32_t answer_tokens = 24;          ///< length of an answer if no rule in the prompt applies
    std::chrono::milliseconds report_lag{200}; ///< delay of load reports and cache events
    std::uint32_t event_loss_interval = 0;     ///< every n-th cache event is never published; 0: off
    std::set<std::string> models;              ///< models loaded at the start; empty: all models are served
    std::string weights;                       ///< address of the weight store; empty: models load at once
};

/// Stand-in for a model engine over HTTP. Thread-safe.
class engine_server {
public:
    explicit engine_server(const engine_options& options);
    ~engine_server();
    engine_server(const engine_server&) = delete;
    engine_server& operator=(const engine_server&) = delete;

    http_server& http() { return m_http; }

private:
    using request = httplib::Request;
    using response = httplib::Response;
    using sequence_ptr = std::shared_ptr<sequence>;

    struct published_event {
        engine_cache_event event;
        timestamp at{};
    };
    /// State of one completion request.
    struct completion;

    void add_routes();
    void run_model_loader();
    bool read_weights(const std::string& name) const;
    void add_cache_routes();
    void run();
    void update(timestamp now);
    void add_event(std::string_view kind, const std::string& program, std::uint64_t tokens);
    timestamp report_time(const fault& effect) const;

    void complete(const request& req, response& res, const fault& effect);
    bool admit(const request& req, const nlohmann::json& body, response& res, const fault& effect);
    void respond_stream(response& res, const std::shared_ptr<completion>& call);
    void respond_full(response& res, const std::shared_ptr<completion>& call);
    bool wait_for_tokens(const completion& call, std::uint32_t& available_tokens, sequence_state& state);
    void abandon(const completion& call);
    void cancel(const request& req, response& res);
    void handle_order(const request& req, response& res, const fault& effect);
    void respond_load(response& res, const fault& effect);
    void respond_events(const request& req, response& res, const fault& effect);
    void respond_cache_state(response& res);
    void respond_totals(response& res);
    void release(const request& req, response& res);
    void export_cache(const request& req, response& res);
    void import_cache(const request& req, response& res);

    const engine_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_state_changed;
    bool m_stopping = false;
    fencing_validator m_fencing;
    std::set<std::string> m_models;
    std::deque<std::string> m_pending_loads; ///< models to load, not yet read from the weight store
    nlohmann::json m_received_orders = nlohmann::json::array();
    std::uint64_t m_last_event = 0;
    std::deque<published_event> m_events;
    lagged_value<engine_load> m_load{std::chrono::milliseconds(5)};
    http_server m_http; ///< stopped by the destructor, because handlers use the members
    engine_core m_core;
    std::thread m_thread;
    std::thread m_load_thread;
};

} // namespace lagoonferry::standin
