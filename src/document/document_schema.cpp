#include "document/document_schema.h"

#include "document/json_reader.h"
#include "settings/endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace lagoonferry {

namespace {

using nlohmann::json;

constexpr std::size_t max_service_name = 48;
constexpr std::size_t max_name = 64;
constexpr std::size_t max_target_id = 32;
constexpr std::size_t max_failure_domain = 16;
constexpr std::size_t max_team_name = 100;
constexpr std::size_t max_accounts = 3'000;
constexpr std::size_t max_models = 100;
constexpr std::size_t max_targets = 4'000;
constexpr std::size_t max_tools = 1'000;
constexpr std::uint64_t day_ms = 86'400'000;
constexpr std::uint32_t max_total_headroom_percent = 90;

/// Reports strings that occur more than once although they must be unique in the document.
class unique_strings {
public:
    void add(json_reader& in, std::string_view field, const std::string& value)
    {
        if (!value.empty() && !m_seen.insert(value).second) {
            in.fault(field, "\"" + value + "\" is already used");
        }
    }

private:
    std::set<std::string> m_seen;
};

bool is_key_digest(std::string_view text)
{
    return text.size() == 64 &&
           std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

template <class Enum, std::size_t N>
void read_enum(json_reader& in, std::string_view field, Enum& result, const std::array<Enum, N>& values)
{
    std::string names;
    for (const Enum value : values) {
        names += (names.empty() ? "\"" : ", \"") + std::string(to_string(value)) + "\"";
    }
    std::string selected;
    in.string(field, selected, "one of " + names, [&](const std::string& name) {
        return std::ranges::any_of(values, [&](Enum value) { return to_string(value) == name; });
    });
    const auto it = std::ranges::find_if(values, [&](Enum value) { return to_string(value) == selected; });
    if (it != values.end()) {
        result = *it;
    }
}

class document_reader {
public:
    explicit document_reader(std::vector<document_fault>& faults) : m_faults(faults) {}

    service_document read(const json& body)
    {
        service_document result;
        json_reader in(body, "", m_faults);
        in.name("service", result.service, max_service_name);
        in.string("owner_team", result.owner_team, "a string of 1 to 100 bytes",
                  [](const std::string& text) { return !text.empty() && text.size() <= max_team_name; });
        read_list(in, "accounts", max_accounts, result.accounts, &document_reader::read_account);
        read_list(in, "models", max_models, result.models, &document_reader::read_model);
        read_list(in, "tools", max_tools, result.tools, &document_reader::read_tool);
        read_by_class(in, "classes", result.classes, &document_reader::read_class);
        read_by_class(in, "priorities", result.priorities, &document_reader::read_priority);
        check_priorities(in, result);
        read_budgets(in, result.budgets);
        read_by_class(in, "objectives", result.objectives, &document_reader::read_objective);
        in.finish();
        return result;
    }

private:
    template <class T>
    void read_list(json_reader& in, std::string_view field, std::size_t max_size, std::vector<T>& result,
                   void (document_reader::*read_item)(json_reader&, T&))
    {
        const json* list = in.list(field, max_size);
        if (list == nullptr) {
            return;
        }
        const std::string path = join_path(in.path(), field);
        for (std::size_t i = 0; i < list->size(); ++i) {
            json_reader item((*list)[i], join_path(path, i), m_faults);
            (this->*read_item)(item, result.emplace_back());
            item.finish();
        }
    }

    template <class T>
    void read_by_class(json_reader& in, std::string_view field, std::array<T, class_count>& result,
                       void (document_reader::*read_item)(json_reader&, T&))
    {
        const json* object = in.object(field);
        if (object == nullptr) {
            return;
        }
        json_reader by_class(*object, join_path(in.path(), field), m_faults);
        for (const service_class each : all_service_classes) {
            const json* value = by_class.object(to_string(each));
            if (value != nullptr) {
                json_reader item(*value, join_path(by_class.path(), to_string(each)), m_faults);
                (this->*read_item)(item, result.at(static_cast<std::size_t>(each)));
                item.finish();
            }
        }
        by_class.finish();
    }

    void read_account(json_reader& in, account& result)
    {
        in.name("name", result.name, max_name);
        m_account_names.add(in, "name", result.name);
        in.string("key_digest", result.key_digest, "a BLAKE2b digest of 64 lowercase hex digits", is_key_digest);
        m_key_digests.add(in, "key_digest", result.key_digest);
        in.integer("weight", result.weight, 1, 1'000);
        in.integer("max_programs", result.max_programs, 1, 1'000'000);
        read_account_classes(in, result.classes);
    }

    void read_account_classes(json_reader& in, std::vector<service_class>& result)
    {
        const json* list = in.list("classes", class_count);
        if (list == nullptr) {
            return;
        }
        for (const json& item : *list) {
            const auto value =
                item.is_string() ? parse_service_class(item.get_ref<const std::string&>()) : std::nullopt;
            if (!value || std::ranges::find(result, *value) != result.end()) {
                in.fault("classes", "expected distinct class names, found " + item.dump());
                return;
            }
            result.push_back(*value);
        }
        if (result.empty()) {
            in.fault("classes", "expected at least one class");
        }
    }

    void read_model(json_reader& in, model& result)
    {
        in.name("name", result.name, max_name);
        m_model_names.add(in, "name", result.name);
        read_list(in, "targets", max_targets, result.targets, &document_reader::read_engine);
    }

    void read_tool(json_reader& in, tool& result)
    {
        in.name("name", result.name, max_name);
        m_tool_names.add(in, "name", result.name);
        read_list(in, "targets", max_targets, result.targets, &document_reader::read_tool_target);
        in.boolean("idempotent", result.idempotent);
        in.integer("deadline_ms", result.deadline_ms, 10, day_ms);
        in.integer("retries", result.retries, 0, 10);
        if (!result.idempotent && result.retries > 0) {
            in.fault("retries", "must be 0, because the tool is not idempotent");
        }
    }

    void read_engine(json_reader& in, target& result) { read_target(in, result, std::array{target_kind::engine}); }

    void read_tool_target(json_reader& in, target& result)
    {
        read_target(in, result, std::array{target_kind::tool, target_kind::service});
    }

    template <std::size_t N>
    void read_target(json_reader& in, target& result, const std::array<target_kind, N>& kinds)
    {
        in.name("id", result.id, max_target_id);
        m_target_ids.add(in, "id", result.id);
        in.string("address", result.address, "an IP address and a port, such as 10.0.0.1:80",
                  [](const std::string& text) { return parse_endpoint(text).has_value(); });
        in.name("failure_domain", result.failure_domain, max_failure_domain);
        read_enum(in, "kind", result.kind, kinds);
        in.boolean("checks_fence", result.checks_fence);
        read_enum(in, "speed_class", result.speed,
                  std::array{speed_class::fast, speed_class::medium, speed_class::slow});
    }

    void read_class(json_reader& in, class_settings& result)
    {
        in.integer("first_token_ms", result.first_token_ms, 1, day_ms);
        in.integer("between_tokens_ms", result.between_tokens_ms, 1, day_ms);
        in.integer("program_ms", result.program_ms, 1, day_ms);
    }

    void read_priority(json_reader& in, class_priority& result)
    {
        in.integer("engine_priority", result.engine_priority, 0, 3);
        in.integer("headroom_percent", result.headroom_percent, 0, max_total_headroom_percent);
    }

    void read_budgets(json_reader& in, budget_limits& result)
    {
        const json* object = in.object("budgets");
        if (object == nullptr) {
            return;
        }
        json_reader budgets(*object, join_path(in.path(), "budgets"), m_faults);
        budgets.integer("tokens", result.tokens, 1, 1'000'000'000'000);
        budgets.integer("calls", result.calls, 1, 1'000'000'000);
        budgets.integer("money_micro", result.money_micro, 0, 1'000'000'000'000'000);
        budgets.integer("mark_share_percent", result.mark_share_percent, 1, 100);
        budgets.finish();
    }

    void read_objective(json_reader& in, objective& result)
    {
        in.number("good_percent", result.good_percent, 50, 99.999);
        in.integer("window_days", result.window_days, 1, 90);
    }

    static void check_priorities(json_reader& in, const service_document& document)
    {
        if (!std::ranges::is_sorted(document.priorities, {}, &class_priority::engine_priority)) {
            in.fault("priorities", "engine_priority must not decrease from safety to bulk");
        }
        std::uint32_t total = 0;
        for (const class_priority& item : document.priorities) {
            total += item.headroom_percent;
        }
        if (total > max_total_headroom_percent) {
            in.fault("priorities", "headroom_percent adds up to " + std::to_string(total) + ", at most " +
                                       std::to_string(max_total_headroom_percent) + " is allowed");
        }
    }

    std::vector<document_fault>& m_faults;
    unique_strings m_account_names;
    unique_strings m_key_digests;
    unique_strings m_model_names;
    unique_strings m_tool_names;
    unique_strings m_target_ids;
};

/// Reports duplicate fields of an object. The JSON parser would silently use the last one.
class duplicate_finder {
public:
    explicit duplicate_finder(std::vector<document_fault>& faults) : m_faults(faults) {}

    bool operator()(json::parse_event_t event, json& parsed)
    {
        if (event == json::parse_event_t::object_start) {
            m_fields.emplace_back();
        }
        if (event == json::parse_event_t::object_end) {
            m_fields.pop_back();
        }
        if (event == json::parse_event_t::key && !m_fields.back().insert(parsed.get<std::string>()).second) {
            m_faults.push_back({"", "the field \"" + parsed.get<std::string>() + "\" occurs twice in one object"});
        }
        return true;
    }

private:
    std::vector<document_fault>& m_faults;
    std::vector<std::set<std::string>> m_fields;
};

std::string parse_error_text(const json::parse_error& error)
{
    const std::string text = error.what();
    const auto end = text.find("] ");
    return end == std::string::npos ? text : text.substr(end + 2);
}

} // namespace

document_check check_document(const json& body)
{
    document_check result;
    service_document document = document_reader(result.faults).read(body);
    if (result.faults.empty()) {
        result.document = std::move(document);
    }
    return result;
}

document_check check_document_text(std::string_view text)
{
    document_check result;
    if (text.size() > max_document_bytes) {
        result.faults.push_back({"", "the document has " + std::to_string(text.size()) + " bytes, at most " +
                                         std::to_string(max_document_bytes) + " are allowed"});
        return result;
    }
    try {
        duplicate_finder duplicates(result.faults);
        const json body =
            json::parse(text, [&](int, json::parse_event_t event, json& parsed) { return duplicates(event, parsed); });
        document_check checked = check_document(body);
        result.faults.insert(result.faults.end(), checked.faults.begin(), checked.faults.end());
        result.document = result.faults.empty() ? std::move(checked.document) : std::nullopt;
    }
    catch (const json::parse_error& error) {
        result.faults.push_back({"", parse_error_text(error)});
    }
    return result;
}

std::string describe(const std::vector<document_fault>& faults)
{
    std::string text;
    for (const document_fault& fault : faults) {
        text += (fault.path.empty() ? "/" : fault.path) + ": " + fault.reason + "\n";
    }
    return text;
}

} // namespace lagoonferry
