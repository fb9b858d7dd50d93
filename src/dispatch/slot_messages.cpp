#include "dispatch/slot_messages.h"

#include <stdexcept>
#include <type_traits>

namespace lagoonferry {

namespace {

using json = nlohmann::json;

template <class T>
void put(json& out, const char* key, const T& value)
{
    if (value != T{}) {
        out[key] = value;
    }
}

template <class T>
T integer_from(const json& in)
{
    if (!in.is_number_unsigned()) {
        throw std::out_of_range("not an unsigned integer");
    }
    const auto value = in.get<std::uint64_t>();
    if (value > std::numeric_limits<T>::max()) {
        throw std::out_of_range("integer out of range");
    }
    return static_cast<T>(value);
}

template <class T>
T get(const json& in, const char* key)
{
    const auto it = in.find(key);
    if (it == in.end()) {
        return T{};
    }
    if constexpr (std::is_unsigned_v<T> && !std::is_same_v<T, bool>) {
        return integer_from<T>(*it);
    }
    else {
        return it->get<T>();
    }
}

void put_class(json& out, service_class c)
{
    out["c"] = static_cast<unsigned>(index_of(c));
}

service_class get_class(const json& in)
{
    const auto value = get<std::uint8_t>(in, "c");
    if (value >= class_count) {
        throw std::out_of_range("unknown service class");
    }
    return static_cast<service_class>(value);
}

void put_duration(json& out, const char* key, std::chrono::milliseconds value)
{
    put(out, key, static_cast<std::uint32_t>(std::max<std::int64_t>(0, value.count())));
}

std::chrono::milliseconds get_duration(const json& in, const char* key)
{
    return std::chrono::milliseconds(get<std::uint32_t>(in, key));
}

template <std::size_t Kind>
slot_message decode_kind(const json& in)
{
    return in.get<std::variant_alternative_t<Kind, slot_message>>();
}

template <std::size_t... Kinds>
slot_message decode_any(std::size_t kind, const json& in, std::index_sequence<Kinds...> /*kinds*/)
{
    using decoder = slot_message (*)(const json&);
    static constexpr std::array<decoder, sizeof...(Kinds)> decoders{decode_kind<Kinds>...};
    return decoders.at(kind)(in);
}

} // namespace

void to_json(json& out, const slot_acquire& m)
{
    out = json::object();
    put(out, "r", m.request);
    put(out, "h", m.holder);
    put(out, "v", m.service);
    put(out, "m", m.model);
    put(out, "a", m.account);
    put_class(out, m.priority);
    put(out, "u", m.attained_service);
    put(out, "p", m.prompt_tokens);
    put(out, "o", m.expected_output);
    put(out, "x", m.prefix);
    put_duration(out, "d", m.deadline);
    put(out, "n", m.excluded);
}

void from_json(const json& in, slot_acquire& m)
{
    m.request = get<std::uint64_t>(in, "r");
    m.holder = get<std::string>(in, "h");
    m.service = get<std::string>(in, "v");
    m.model = get<std::string>(in, "m");
    m.account = get<std::string>(in, "a");
    m.priority = get_class(in);
    m.attained_service = get<std::uint64_t>(in, "u");
    m.prompt_tokens = get<std::uint32_t>(in, "p");
    m.expected_output = get<std::uint32_t>(in, "o");
    m.prefix = get<std::uint64_t>(in, "x");
    m.deadline = get_duration(in, "d");
    m.excluded = get<std::vector<std::string>>(in, "n");
}

void to_json(json& out, const slot_grant& m)
{
    out = json::object();
    put(out, "r", m.request);
    put(out, "s", m.slot);
    put(out, "g", m.target);
    put(out, "e", m.epoch);
}

void from_json(const json& in, slot_grant& m)
{
    m.request = get<std::uint64_t>(in, "r");
    m.slot = get<std::uint64_t>(in, "s");
    m.target = get<std::string>(in, "g");
    m.epoch = get<std::uint64_t>(in, "e");
}

void to_json(json& out, const slot_refuse& m)
{
    out = json::object();
    put(out, "r", m.request);
    put_duration(out, "w", m.retry_after);
    put(out, "q", static_cast<std::uint16_t>(m.reason));
}

void from_json(const json& in, slot_refuse& m)
{
    m.request = get<std::uint64_t>(in, "r");
    m.retry_after = get_duration(in, "w");
    m.reason = static_cast<result_code>(get<std::uint16_t>(in, "q"));
    const bool known = m.reason == result_code::overloaded || m.reason == result_code::deadline_exceeded ||
                       m.reason == result_code::no_target;
    if (!known) {
        throw std::out_of_range("unknown refusal reason");
    }
}

void to_json(json& out, const slot_cancel& m)
{
    out = json::object();
    put(out, "r", m.request);
    put(out, "h", m.holder);
}

void from_json(const json& in, slot_cancel& m)
{
    m.request = get<std::uint64_t>(in, "r");
    m.holder = get<std::string>(in, "h");
}

void to_json(json& out, const slot_release& m)
{
    out = json::object();
    put(out, "s", m.slot);
    put(out, "h", m.holder);
    put(out, "f", m.first_token_us);
    put(out, "k", m.per_token_us);
    put(out, "o", m.tokens);
    put(out, "y", m.cached_tokens);
    put(out, "b", m.failed);
    put(out, "z", m.preempted);
}

void from_json(const json& in, slot_release& m)
{
    m.slot = get<std::uint64_t>(in, "s");
    m.holder = get<std::string>(in, "h");
    m.first_token_us = get<std::uint32_t>(in, "f");
    m.per_token_us = get<std::uint32_t>(in, "k");
    m.tokens = get<std::uint32_t>(in, "o");
    m.cached_tokens = get<std::uint32_t>(in, "y");
    m.failed = get<bool>(in, "b");
    m.preempted = get<bool>(in, "z");
}

void to_json(json& out, const slot_released& m)
{
    out = json::object();
    put(out, "s", m.slot);
    put(out, "r", m.request);
}

void from_json(const json& in, slot_released& m)
{
    m.slot = get<std::uint64_t>(in, "s");
    m.request = get<std::uint64_t>(in, "r");
}

void to_json(json& out, const slot_preempt& m)
{
    out = json::object();
    put(out, "s", m.slot);
}

void from_json(const json& in, slot_preempt& m)
{
    m.slot = get<std::uint64_t>(in, "s");
}

void to_json(json& out, const slot_tokens& m)
{
    out = json::array({m.slot, m.tokens});
}

void from_json(const json& in, slot_tokens& m)
{
    m.slot = integer_from<std::uint64_t>(in.at(0));
    m.tokens = integer_from<std::uint32_t>(in.at(1));
}

void to_json(json& out, const slot_progress& m)
{
    out = json::object();
    put(out, "h", m.holder);
    if (!m.slots.empty()) {
        out["l"] = m.slots;
    }
}

void from_json(const json& in, slot_progress& m)
{
    m.holder = get<std::string>(in, "h");
    m.slots = get<std::vector<slot_tokens>>(in, "l");
}

void to_json(json& out, const held_slot& m)
{
    out = json::object();
    put(out, "s", m.slot);
    put(out, "r", m.request);
    put(out, "g", m.target);
    put_class(out, m.priority);
    put(out, "x", m.prefix);
    put(out, "p", m.prompt_tokens);
}

void from_json(const json& in, held_slot& m)
{
    m.slot = get<std::uint64_t>(in, "s");
    m.request = get<std::uint64_t>(in, "r");
    m.target = get<std::string>(in, "g");
    m.priority = get_class(in);
    m.prefix = get<std::uint64_t>(in, "x");
    m.prompt_tokens = get<std::uint32_t>(in, "p");
}

void to_json(json& out, const slot_report& m)
{
    out = json::object();
    put(out, "h", m.holder);
    put(out, "z", m.complete);
    put(out, "e", m.epoch);
    put(out, "i", m.report);
    put(out, "p", m.part);
    put(out, "n", m.parts);
    if (!m.slots.empty()) {
        out["l"] = m.slots;
    }
}

void from_json(const json& in, slot_report& m)
{
    m.holder = get<std::string>(in, "h");
    m.complete = get<bool>(in, "z");
    m.epoch = get<std::uint64_t>(in, "e");
    m.report = get<std::uint32_t>(in, "i");
    m.part = get<std::uint32_t>(in, "p");
    m.parts = get<std::uint32_t>(in, "n");
    m.slots = get<std::vector<held_slot>>(in, "l");
}

void to_json(json& out, const slot_query& m)
{
    out = json::object();
    put(out, "e", m.epoch);
}

void from_json(const json& in, slot_query& m)
{
    m.epoch = get<std::uint64_t>(in, "e");
}

void to_json(json& out, const slot_epoch& m)
{
    out = json::object();
    put(out, "e", m.epoch);
}

void from_json(const json& in, slot_epoch& m)
{
    m.epoch = get<std::uint64_t>(in, "e");
}

json encode_slot_message(const slot_message& message)
{
    json out = std::visit([](const auto& m) { return json(m); }, message);
    out["t"] = message.index();
    return out;
}

std::optional<slot_message> decode_slot_message(const json& in)
{
    if (!in.is_object()) {
        return std::nullopt;
    }
    try {
        const auto kind = integer_from<std::uint8_t>(in.at("t"));
        return decode_any(kind, in, std::make_index_sequence<std::variant_size_v<slot_message>>{});
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace lagoonferry
