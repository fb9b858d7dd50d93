#include "entry/control_api.h"

#include "backends/http_kv_store.h"
#include "blackboard/board.h"
#include "document/document_put.h"
#include "document/document_schema.h"
#include "entry/call_session.h"
#include "entry/partition_router.h"
#include "entry/refusal_json.h"
#include "roles/messages.h"
#include "roles/request_and_wait.h"
#include "util/digest.h"

#include <caf/send.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <thread>
#include <vector>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds platform_timeout{1000};
constexpr timestamp put_timeout = std::chrono::seconds(5);
constexpr std::uint64_t put_retry_ms = 2000;
constexpr std::size_t min_write_id_length = 16; // shorter ids could collide
constexpr std::size_t max_write_id_length = 64;
constexpr std::size_t max_listed_programs = 1000;

std::uint64_t number_or_zero(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

nlohmann::json summary(const document_record& record)
{
    return {{"service", record.service},
            {"version", record.version},
            {"author", record.author},
            {"time_ms", record.time_ms}};
}

nlohmann::json with_body(const document_record& record)
{
    nlohmann::json out = summary(record);
    out["body"] = record.body;
    return out;
}

void send_json(httplib::Response& response, const nlohmann::json& body)
{
    response.set_content(body.dump(), "application/json");
}

nlohmann::json member_json(const member& item)
{
    return {{"id", item.id},
            {"role", to_string(item.role)},
            {"state", to_string(item.state)},
            {"incarnation", item.incarnation},
            {"failure_domain", item.failure_domain},
            {"address", item.address.ip + ':' + std::to_string(item.address.http_port)},
            {"load_percent", item.load_percent}};
}

std::optional<document_record> record_of(const kv_read& found)
{
    return found.status == kv_status::ok && found.entry.version != 0 ? parse_record(found.entry.value) : std::nullopt;
}

std::optional<document_record> read_record(kv_store& store, const std::string& key)
{
    return record_of(store.get(key));
}

refusal platform_refusal()
{
    return make_refusal(result_code::platform_unavailable, "the key-value service does not answer", put_retry_ms);
}

bool valid_write_id(std::string_view text)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; };
    return text.size() >= min_write_id_length && text.size() <= max_write_id_length &&
           std::ranges::all_of(text, allowed);
}

/// Returns the programs of a partition, or an empty list if this instance does not own it.
nlohmann::json programs_of(const partition_router& router, std::uint32_t partition, const list_programs& input)
{
    const auto session = std::make_shared<call_session>();
    router.send(partition, input, session);
    const call_session::item item = session->wait();
    const auto* reply = std::get_if<owner_reply>(&item);
    const auto* done = reply == nullptr ? nullptr : std::get_if<success>(&reply->result);
    return done == nullptr ? nlohmann::json::array() : nlohmann::json::parse(done->payload).at("programs");
}

} // namespace

void control_api::attach(httplib::Server& server)
{
    const auto route = [this](handler member) {
        return [this, member](const httplib::Request& request, httplib::Response& response) {
            run_authorized(member, request, response);
        };
    };
    server.Put(R"(/control/documents/([\w.-]+))", route(&control_api::put_document));
    server.Get(R"(/control/documents/([\w.-]+))", route(&control_api::get_document));
    server.Get(R"(/control/documents/([\w.-]+)/history)", route(&control_api::history));
    server.Get("/control/targets", route(&control_api::targets));
    server.Get("/control/instances", route(&control_api::instances));
    server.Get("/control/programs", route(&control_api::programs));
    server.Post("/control/drain", route(&control_api::drain));
}

void control_api::run_authorized(handler member, const httplib::Request& request, httplib::Response& response) const
{
    const std::string expected = "Bearer " + m_dependencies.operator_key;
    if (m_dependencies.operator_key.empty() ||
        !equal_constant_time(request.get_header_value("Authorization"), expected)) {
        send_refusal(response, make_refusal(result_code::unauthorized, "the operator key is missing or wrong"));
        return;
    }
    (this->*member)(request, response);
}

void control_api::put_document(const httplib::Request& request, httplib::Response& response) const
{
    const document_check check = check_document_text(request.body);
    const std::string service = request.matches[1];
    if (!check.document || check.document->service != service) {
        const std::string error =
            check.document ? "/service differs from the service in the path" : describe(check.faults);
        send_refusal(response, make_refusal(result_code::document_invalid, error));
        return;
    }
    put_request input;
    input.service = service;
    input.body = nlohmann::json::parse(request.body);
    input.author = request.get_header_value("X-Author");
    input.if_version = number_or_zero(request.get_header_value("If-Version"));
    input.write_id = request.get_header_value("X-Write-Id");
    if (input.write_id.empty()) {
        input.write_id = random_hex(16);
    }
    else if (!valid_write_id(input.write_id)) {
        send_refusal(response,
                     make_refusal(result_code::malformed, "X-Write-Id is not 16 to 64 letters, digits, - or _"));
        return;
    }
    input.time_ms = wall_clock_ms();
    document_put put(input, steady_now() + put_timeout);
    http_kv_store store(m_dependencies.platform, platform_timeout, *m_dependencies.counts);
    const put_result result =
        run_put(put, store, {steady_now, [](timestamp pause) { std::this_thread::sleep_for(pause); }});
    if (result.record) {
        caf::anon_send(m_dependencies.documents, document_update{*result.record});
        send_json(response, summary(*result.record));
        return;
    }
    refusal value = make_refusal(result.code, result.text);
    value.run = result.run;
    value.retry_after_ms = result.code == result_code::platform_unavailable ? put_retry_ms : 0;
    nlohmann::json body = refusal_json(value);
    body["newer_version"] = result.newer_version;
    body["newer_author"] = result.newer_author;
    response.status = http_status(result.code);
    send_json(response, body);
}

void control_api::get_document(const httplib::Request& request, httplib::Response& response) const
{
    const std::string service = request.matches[1];
    const auto documents = m_dependencies.shared->documents.read();
    const auto it = documents->services.find(service);
    const std::uint64_t version = number_or_zero(request.get_param_value("version"));
    if (it != documents->services.end() && (version == 0 || version == it->second->record.version)) {
        send_json(response, with_body(it->second->record));
        return;
    }
    http_kv_store store(m_dependencies.platform, platform_timeout, *m_dependencies.counts);
    const kv_read found = version == 0 ? kv_read{kv_status::ok, {}} : store.get(document_history_key(service, version));
    if (found.status != kv_status::ok) {
        send_refusal(response, platform_refusal());
        return;
    }
    const auto record = record_of(found);
    if (!record) {
        send_refusal(response, make_refusal(result_code::unknown_service, "there is no such document or version"));
        return;
    }
    send_json(response, with_body(*record));
}

void control_api::history(const httplib::Request& request, httplib::Response& response) const
{
    const std::string service = request.matches[1];
    http_kv_store store(m_dependencies.platform, platform_timeout, *m_dependencies.counts);
    const auto keys = store.list("document-history/" + service + '/');
    if (!keys) {
        send_refusal(response, platform_refusal());
        return;
    }
    nlohmann::json versions = nlohmann::json::array();
    for (const std::string& key : *keys) {
        if (const auto record = read_record(store, key)) {
            versions.push_back(summary(*record));
        }
    }
    if (const auto newest = read_record(store, document_key(service))) {
        versions.push_back(summary(*newest));
    }
    send_json(response, {{"service", service}, {"versions", versions}});
}

void control_api::targets(const httplib::Request& /*request*/, httplib::Response& response) const
{
    const auto map = m_dependencies.shared->targets.read();
    const auto members = m_dependencies.shared->members.read();
    nlohmann::json list = nlohmann::json::array();
    for (const auto& item : map->targets) {
        const std::string& id = item.first;
        const known_target& target = item.second;
        const member* known = members->find(id);
        const auto group = map->groups->group_of(id);
        list.push_back({{"id", id},
                        {"service", target.scope},
                        {"model", target.info.model},
                        {"address", target.address},
                        {"failure_domain", target.info.failure_domain},
                        {"group", group.value_or("")},
                        {"state", known == nullptr ? "alive" : to_string(known->state)}});
    }
    send_json(response, {{"targets", list}});
}

void control_api::instances(const httplib::Request& /*request*/, httplib::Response& response) const
{
    nlohmann::json list = nlohmann::json::array();
    const auto entries = m_dependencies.shared->all_entries.read();
    for (const observed_member& item : *entries) {
        list.push_back(member_json(item.known));
        list.back()["presumed_down"] = item.presumed_down;
    }
    const auto members = m_dependencies.shared->members.read();
    for (const member& item : members->dispatchers) {
        list.push_back(member_json(item));
    }
    send_json(response, {{"instances", list}});
}

void control_api::programs(const httplib::Request& request, httplib::Response& response) const
{
    const auto owners = m_dependencies.shared->owners.read();
    list_programs input;
    input.after = request.get_param_value("after");
    input.limit = max_listed_programs;
    std::vector<nlohmann::json> list;
    for (const std::uint32_t partition : owners->own) {
        std::ranges::move(programs_of(*m_dependencies.router, partition, input), std::back_inserter(list));
    }
    std::ranges::sort(list, {}, [](const nlohmann::json& item) { return item.at("program").get<std::string>(); });
    const bool more = list.size() >= max_listed_programs;
    list.resize(std::min(list.size(), max_listed_programs));
    nlohmann::json other_partitions = nlohmann::json::object();
    for (const auto& [partition, address] : owners->addresses) {
        other_partitions[std::to_string(partition)] = address;
    }
    send_json(
        response,
        {{"programs", list}, {"more", more}, {"own_partitions", owners->own}, {"other_partitions", other_partitions}});
}

void control_api::drain(const httplib::Request& request, httplib::Response& response) const
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const std::string id = body.is_object() ? body.value("id", std::string()) : std::string();
    if (id.empty()) {
        send_refusal(response, make_refusal(result_code::malformed, "/id is missing"));
        return;
    }
    const auto known = request_and_wait<bool>(*m_dependencies.actors, m_dependencies.membership(), drain_request{id});
    if (!known.value_or(false)) {
        send_refusal(response, make_refusal(result_code::malformed, "no instance or target has this id"));
        return;
    }
    send_json(response, {{"id", id}, {"state", "leaving"}});
}

} // namespace lagoonferry
