#include "document/document_diff.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>

namespace lagoonferry {

namespace {

using nlohmann::json;

std::optional<std::string> identity_of(const json& item)
{
    for (const char* field : {"id", "name"}) {
        if (item.is_object() && item.contains(field) && item.at(field).is_string()) {
            return item.at(field).get<std::string>();
        }
    }
    return std::nullopt;
}

/// Returns the elements of a list by id or name, or nothing when an element has neither or two have the same.
std::optional<std::map<std::string, const json*>> by_identity(const json& list)
{
    std::map<std::string, const json*> result;
    for (const json& item : list) {
        const auto identity = identity_of(item);
        if (!identity || !result.emplace("[" + *identity + "]", &item).second) {
            return std::nullopt;
        }
    }
    return result;
}

std::map<std::string, const json*> by_field(const json& object)
{
    std::map<std::string, const json*> result;
    for (const auto& [field, value] : object.items()) {
        result.emplace(field, &value);
    }
    return result;
}

class diff_builder {
public:
    void compare(const std::string& path, const json& before, const json& after)
    {
        if (before == after) {
            return;
        }
        if (before.is_object() && after.is_object()) {
            compare_members(path, by_field(before), by_field(after));
            return;
        }
        if (before.is_array() && after.is_array()) {
            const auto previous = by_identity(before);
            const auto current = by_identity(after);
            if (previous && current) {
                compare_members(path, *previous, *current);
                return;
            }
        }
        m_changes.push_back({change_kind::changed, path, before, after});
    }

    std::vector<document_change> take()
    {
        std::ranges::stable_sort(m_changes, {}, &document_change::path);
        return std::move(m_changes);
    }

private:
    void compare_members(const std::string& path, const std::map<std::string, const json*>& before,
                         const std::map<std::string, const json*>& after)
    {
        const auto path_of = [&](const std::string& name) { return std::string(path).append("/").append(name); };
        for (const auto& [name, value] : before) {
            const auto it = after.find(name);
            if (it == after.end()) {
                m_changes.push_back({change_kind::removed, path_of(name), *value, nullptr});
            }
            else {
                compare(path_of(name), *value, *it->second);
            }
        }
        for (const auto& [name, value] : after) {
            if (!before.contains(name)) {
                m_changes.push_back({change_kind::added, path_of(name), nullptr, *value});
            }
        }
    }

    std::vector<document_change> m_changes;
};

struct kind_row {
    change_kind kind;
    const char* name;
};

constexpr std::array kind_rows{
    kind_row{change_kind::added, "added"},
    kind_row{change_kind::removed, "removed"},
    kind_row{change_kind::changed, "changed"},
};

std::string line_of(const document_change& change)
{
    switch (change.kind) {
    case change_kind::added:
        return "+ " + change.path + ": " + change.after.dump();
    case change_kind::removed:
        return "- " + change.path + ": " + change.before.dump();
    case change_kind::changed:
        break;
    }
    return "~ " + change.path + ": " + change.before.dump() + " -> " + change.after.dump();
}

} // namespace

std::vector<document_change> diff_documents(const json& before, const json& after)
{
    diff_builder run;
    run.compare("", before, after);
    return run.take();
}

std::string describe(const std::vector<document_change>& changes)
{
    std::string text;
    for (const document_change& change : changes) {
        text += line_of(change) + "\n";
    }
    return text;
}

json to_json(const std::vector<document_change>& changes)
{
    json result = json::array();
    for (const document_change& change : changes) {
        const auto* row = std::ranges::find(kind_rows, change.kind, &kind_row::kind);
        result.push_back(
            {{"kind", row->name}, {"path", change.path}, {"before", change.before}, {"after", change.after}});
    }
    return result;
}

} // namespace lagoonferry
