#include "membership/heartbeat.h"

#include "settings/label.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>

namespace lagoonferry {

namespace {

using nlohmann::json;

constexpr std::size_t max_member_id = 32;
constexpr std::size_t max_domain = 16;
constexpr std::size_t max_ip = 45;
constexpr std::size_t max_service = 48;
constexpr std::uint64_t max_port = 65'535;
constexpr auto max_state = static_cast<std::uint64_t>(member_state::gone);
constexpr auto max_process_role = static_cast<std::uint64_t>(member_role::dispatch);
constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();

json encode(const member_update& update)
{
    const member& about = update.about;
    const member_address& address = about.address;
    return {{"i", about.id},
            {"n", about.incarnation},
            {"s", static_cast<unsigned>(about.state)},
            {"r", static_cast<unsigned>(about.role)},
            {"a", address.ip},
            {"p", {address.http_port, address.datagram_port, address.rpc_port}},
            {"f", about.failure_domain},
            {"l", about.load_percent},
            {"c", about.capacity},
            {"q", update.sequence},
            {"g", update.age_ms}};
}

/// Reads fields and remembers whether all of them were valid.
class field_reader {
public:
    explicit field_reader(const json& item) : m_item(item), m_valid(item.is_object()) {}

    std::uint64_t number(const char* field, std::uint64_t min, std::uint64_t max)
    {
        const json* value = find(field);
        if (value == nullptr || !value->is_number_unsigned()) {
            m_valid = false;
            return min;
        }
        const auto result = value->get<std::uint64_t>();
        m_valid = m_valid && result >= min && result <= max;
        return result;
    }

    std::string text(const char* field, std::size_t max_length)
    {
        const json* value = find(field);
        if (value == nullptr || !value->is_string() || value->get_ref<const std::string&>().size() > max_length) {
            m_valid = false;
            return {};
        }
        return value->get<std::string>();
    }

    /// Returns a list, or an empty one when the field is absent.
    const json& list(const char* field, std::size_t max_size)
    {
        static const json empty = json::array();
        const json* value = find(field);
        if (value == nullptr) {
            return empty;
        }
        if (!value->is_array() || value->size() > max_size) {
            m_valid = false;
            return empty;
        }
        return *value;
    }

    const json* find(const char* field) const
    {
        if (!m_item.is_object()) {
            return nullptr;
        }
        const auto it = m_item.find(field);
        return it == m_item.end() ? nullptr : &*it;
    }

    void require(bool condition) { m_valid = m_valid && condition; }
    bool valid() const { return m_valid; }

private:
    const json& m_item;
    bool m_valid;
};

void decode_ports(field_reader& in, member_address& address)
{
    const json& ports = in.list("p", 3);
    const auto is_port = [](const json& port) {
        return port.is_number_unsigned() && port.get<std::uint64_t>() <= max_port;
    };
    if (ports.size() != 3 || !std::ranges::all_of(ports, is_port)) {
        in.require(false);
        return;
    }
    address.http_port = ports[0];
    address.datagram_port = ports[1];
    address.rpc_port = ports[2];
}

std::optional<member_update> decode_update(const json& item)
{
    field_reader in(item);
    member_update update;
    member& about = update.about;
    about.id = in.text("i", max_member_id);
    in.require(is_label(about.id));
    about.incarnation = in.number("n", 0, max_number);
    about.state = static_cast<member_state>(in.number("s", 0, max_state));
    about.role = static_cast<member_role>(in.number("r", 0, max_process_role));
    about.address.ip = in.text("a", max_ip);
    decode_ports(in, about.address);
    about.failure_domain = in.text("f", max_domain);
    about.load_percent = static_cast<std::uint32_t>(in.number("l", 0, 1'000));
    about.capacity = static_cast<std::uint32_t>(in.number("c", 1, 100));
    update.sequence = in.number("q", 0, max_number);
    update.age_ms = static_cast<std::uint32_t>(in.number("g", 0, std::numeric_limits<std::uint32_t>::max()));
    return in.valid() ? std::optional(update) : std::nullopt;
}

/// Groups of targets with the same state and incarnation: `[state, incarnation, shared, rest, shared, rest, ...]`.
/// An identifier is the first `shared` bytes of the one before it in the group, followed by `rest`.
json encode_targets(const std::vector<target_update>& targets)
{
    json groups = json::array();
    const target_update* previous = nullptr;
    for (const target_update& target : targets) {
        const bool same_group =
            previous != nullptr && previous->state == target.state && previous->incarnation == target.incarnation;
        if (!same_group) {
            groups.push_back({static_cast<unsigned>(target.state), target.incarnation});
            previous = nullptr;
        }
        const std::string_view before = previous == nullptr ? std::string_view() : previous->id;
        const auto end = std::ranges::mismatch(before, target.id).in1;
        const auto shared = static_cast<std::size_t>(end - before.begin());
        groups.back().push_back(shared);
        groups.back().push_back(target.id.substr(shared));
        previous = &target;
    }
    return groups;
}

void decode_target_group(field_reader& in, const json& group, std::vector<target_update>& result)
{
    const bool valid = group.is_array() && group.size() >= 4 && group.size() % 2 == 0 &&
                       group[0].is_number_unsigned() && group[0].get<std::uint64_t>() <= max_state &&
                       group[1].is_number_unsigned();
    in.require(valid);
    std::string previous;
    for (std::size_t i = 2; in.valid() && i < group.size(); i += 2) {
        const json& shared = group[i];
        const json& rest = group[i + 1];
        in.require(shared.is_number_unsigned() && shared.get<std::uint64_t>() <= previous.size() && rest.is_string());
        in.require(result.size() < max_heartbeat_targets);
        if (!in.valid()) {
            return;
        }
        const auto id = label<max_member_id>::from(previous.substr(0, shared.get<std::size_t>()) +
                                                   rest.get_ref<const std::string&>());
        in.require(id.has_value());
        previous = id ? id->text() : std::string();
        result.push_back({previous, group[1], static_cast<member_state>(group[0].get<unsigned>())});
    }
}

void decode_targets(field_reader& in, std::vector<target_update>& result)
{
    for (const json& group : in.list("t", max_heartbeat_targets)) {
        decode_target_group(in, group, result);
    }
}

std::optional<document_version> decode_document(const json& item)
{
    const bool valid = item.is_array() && item.size() == 2 && item[0].is_string() && item[1].is_number_unsigned() &&
                       item[0].get_ref<const std::string&>().size() <= max_service;
    return valid ? std::optional(document_version{item[0], item[1]}) : std::nullopt;
}

void decode_partitions(field_reader& in, std::vector<owned_partition>& result)
{
    const json& list = in.list("o", 2 * max_heartbeat_partitions);
    const auto is_number = [](const json& value) { return value.is_number_unsigned(); };
    in.require(list.size() % 2 == 0 && std::ranges::all_of(list, is_number));
    for (std::size_t i = 0; in.valid() && i < list.size(); i += 2) {
        in.require(list[i].get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max());
        result.push_back({list[i].get<std::uint32_t>(), list[i + 1].get<std::uint64_t>()});
    }
}

template <class T, class Decode>
void decode_list(field_reader& in, const json& list, std::vector<T>& result, Decode decode)
{
    for (const json& item : list) {
        const auto decoded = decode(item);
        in.require(decoded.has_value());
        if (decoded) {
            result.push_back(*decoded);
        }
    }
}

} // namespace

json to_json(const heartbeat& message)
{
    json result{{"m", encode(message.sender)}};
    if (message.wants_answer) {
        result["w"] = 1;
    }
    for (const member_update& update : message.updates) {
        result["u"].push_back(encode(update));
    }
    if (!message.targets.empty()) {
        result["t"] = encode_targets(message.targets);
    }
    for (const document_version& document : message.documents) {
        result["d"].push_back({document.service, document.version});
    }
    for (const owned_partition& owned : message.partitions) {
        result["o"].push_back(owned.partition);
        result["o"].push_back(owned.epoch);
    }
    return result;
}

std::optional<heartbeat> heartbeat_from_json(const json& message)
{
    field_reader in(message);
    const json* sender_item = in.find("m");
    const auto sender = sender_item == nullptr ? std::nullopt : decode_update(*sender_item);
    if (!sender) {
        return std::nullopt;
    }
    heartbeat result;
    result.sender = *sender;
    result.wants_answer = in.find("w") != nullptr;
    decode_list(in, in.list("u", max_heartbeat_updates), result.updates, decode_update);
    decode_targets(in, result.targets);
    decode_list(in, in.list("d", max_heartbeat_documents), result.documents, decode_document);
    decode_partitions(in, result.partitions);
    return in.valid() ? std::optional(result) : std::nullopt;
}

bool shorter_order(const target_update& a, const target_update& b)
{
    return std::tie(a.state, a.incarnation, a.id) < std::tie(b.state, b.incarnation, b.id);
}

std::size_t encoded_bytes(const heartbeat& message)
{
    return json::to_cbor(to_json(message)).size();
}

} // namespace lagoonferry
