#include "membership/heartbeat.h"

#include "settings/label.h"
#include "util/rendezvous.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
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
constexpr std::size_t last_seen_entry_bytes = 2;
constexpr unsigned short_id_hash_bits = 18;
constexpr std::uint32_t max_hash_delta = 0xfff;
constexpr std::uint32_t no_age = 0xf;
constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();

// Indexes into an encoded update, which is a list of values. Field names would take a quarter of a heartbeat, because
// it carries several updates.
enum update_field : std::size_t {
    field_id,
    field_incarnation,
    field_state,
    field_role,
    field_ip, ///< an IPv4 address as a number, any other one as a string
    field_http_port,
    field_datagram_port,
    field_rpc_port,
    field_domain,
    field_load,
    field_capacity,
    field_sequence,
    field_age,
    update_field_count
};

json encode_ip(const std::string& ip)
{
    in_addr address{};
    if (::inet_pton(AF_INET, ip.c_str(), &address) != 1) {
        return ip;
    }
    return ntohl(address.s_addr);
}

std::string decode_ipv4(std::uint64_t number)
{
    const in_addr address{htonl(static_cast<std::uint32_t>(number))};
    std::array<char, INET_ADDRSTRLEN> buf{};
    ::inet_ntop(AF_INET, &address, buf.data(), buf.size());
    return buf.data();
}

json encode(const member_update& update)
{
    const member& subject = update.subject;
    const member_address& address = subject.address;
    return {subject.id,
            subject.incarnation,
            static_cast<unsigned>(subject.state),
            static_cast<unsigned>(subject.role),
            encode_ip(address.ip),
            address.http_port,
            address.datagram_port,
            address.rpc_port,
            subject.failure_domain,
            subject.load_percent,
            subject.capacity,
            update.sequence,
            update.age_ms};
}

/// Reads the fields of a message and records whether all of them were valid.
class field_reader {
public:
    explicit field_reader(const json& item) : m_item(item), m_valid(item.is_object()) {}

    /// Returns a list, or an empty one when the field is absent or invalid.
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

/// Reads the fields of an update and records whether all of them were valid.
class update_reader {
public:
    explicit update_reader(const json& parts)
        : m_parts(parts), m_valid(parts.is_array() && parts.size() == update_field_count)
    {
    }

    std::uint64_t number(update_field part, std::uint64_t min, std::uint64_t max)
    {
        if (!m_valid || !m_parts[part].is_number_unsigned()) {
            m_valid = false;
            return min;
        }
        const auto result = m_parts[part].get<std::uint64_t>();
        m_valid = result >= min && result <= max;
        return result;
    }

    std::uint16_t port(update_field part) { return static_cast<std::uint16_t>(number(part, 0, max_port)); }

    std::string string(update_field part, std::size_t max_length)
    {
        if (!m_valid || !m_parts[part].is_string() || m_parts[part].get_ref<const std::string&>().size() > max_length) {
            m_valid = false;
            return {};
        }
        return m_parts[part].get<std::string>();
    }

    std::string ip()
    {
        if (m_valid && m_parts[field_ip].is_number_unsigned()) {
            return decode_ipv4(number(field_ip, 0, std::numeric_limits<std::uint32_t>::max()));
        }
        return string(field_ip, max_ip);
    }

    void require(bool condition) { m_valid = m_valid && condition; }
    bool valid() const { return m_valid; }

private:
    const json& m_parts;
    bool m_valid;
};

std::optional<member_update> decode_update(const json& parts)
{
    update_reader in(parts);
    member_update update;
    member& subject = update.subject;
    subject.id = in.string(field_id, max_member_id);
    in.require(is_label(subject.id));
    subject.incarnation = in.number(field_incarnation, 0, max_number);
    subject.state = static_cast<member_state>(in.number(field_state, 0, max_state));
    subject.role = static_cast<member_role>(in.number(field_role, 0, max_process_role));
    subject.address = {in.ip(), in.port(field_http_port), in.port(field_datagram_port), in.port(field_rpc_port)};
    subject.failure_domain = in.string(field_domain, max_domain);
    subject.load_percent = static_cast<std::uint32_t>(in.number(field_load, 0, 1'000));
    subject.capacity = static_cast<std::uint32_t>(in.number(field_capacity, 1, 100));
    update.sequence = in.number(field_sequence, 0, max_number);
    update.age_ms = static_cast<std::uint32_t>(in.number(field_age, 0, std::numeric_limits<std::uint32_t>::max()));
    return in.valid() ? std::optional(update) : std::nullopt;
}

/// Encodes targets in groups with the same state and incarnation:
/// `[state, incarnation, shared, rest, shared, rest, ...]`.
/// An id consists of the first `shared` bytes of the previous id of the group, followed by `rest`.
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

/// Encodes each entry in two bytes: 12 bits for the difference from the previous hash and 4 bits for the age. A larger
/// difference is split by filler entries with the age `no_age`.
json encode_last_seen(const std::vector<last_seen_entry>& entries)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(entries.size() * last_seen_entry_bytes);
    const auto append_entry = [&bytes](std::uint32_t delta, std::uint32_t age) {
        bytes.push_back(static_cast<std::uint8_t>(delta >> 4U));
        bytes.push_back(static_cast<std::uint8_t>((delta & 0xfU) << 4U | age));
    };
    std::uint32_t before = 0;
    for (const last_seen_entry& entry : entries) {
        for (; entry.id_hash - before > max_hash_delta; before += max_hash_delta) {
            append_entry(max_hash_delta, no_age);
        }
        append_entry(entry.id_hash - before, (entry.age_ms + last_seen_unit_ms - 1) / last_seen_unit_ms);
        before = entry.id_hash;
    }
    return json::binary(std::move(bytes));
}

void decode_last_seen(field_reader& in, std::vector<last_seen_entry>& result)
{
    const json* item = in.find("s");
    if (item == nullptr) {
        return;
    }
    in.require(item->is_binary() && item->get_binary().size() % last_seen_entry_bytes == 0);
    if (!in.valid()) {
        return;
    }
    const json::binary_t& bytes = item->get_binary();
    std::uint32_t id_hash = 0;
    for (std::size_t at = 0; at < bytes.size() && in.valid(); at += last_seen_entry_bytes) {
        id_hash += static_cast<std::uint32_t>(bytes[at] << 4U | bytes[at + 1] >> 4U);
        const std::uint32_t age = bytes[at + 1] & 0xfU;
        in.require(id_hash < 1U << short_id_hash_bits && result.size() < max_last_seen_entries);
        if (in.valid() && age != no_age) {
            result.push_back({id_hash, age * last_seen_unit_ms});
        }
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
    if (message.wants_reply) {
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
    if (!message.last_seen_entries.empty()) {
        result["s"] = encode_last_seen(message.last_seen_entries);
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
    result.wants_reply = in.find("w") != nullptr;
    decode_list(in, in.list("u", max_heartbeat_updates), result.updates, decode_update);
    decode_targets(in, result.targets);
    decode_list(in, in.list("d", max_heartbeat_documents), result.documents, decode_document);
    decode_partitions(in, result.partitions);
    decode_last_seen(in, result.last_seen_entries);
    return in.valid() ? std::optional(result) : std::nullopt;
}

bool compact_order(const target_update& a, const target_update& b)
{
    return std::tie(a.state, a.incarnation, a.id) < std::tie(b.state, b.incarnation, b.id);
}

std::uint32_t short_id_hash(std::string_view id)
{
    return static_cast<std::uint32_t>(stable_hash(id) >> (64U - short_id_hash_bits));
}

std::size_t encoded_bytes(const heartbeat& message)
{
    return json::to_cbor(to_json(message)).size();
}

} // namespace lagoonferry
