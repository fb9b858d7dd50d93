#include "ledger/budget_messages.h"

#include <nlohmann/json.hpp>

namespace lagoonferry {

namespace {

using nlohmann::json;

/// Returns the result of `read`, or nothing when the message does not have the expected form.
template <class Read>
auto read_or_nothing(Read read) -> std::optional<decltype(read())>
{
    try {
        return read();
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

json to_json(const session_location& location)
{
    return {location.target, location.cached_tokens};
}

session_location location_from(const json& message)
{
    return {message.at(0).get<std::string>(), message.at(1).get<std::uint32_t>()};
}

json series_json(const budget_record& record)
{
    json list = json::array();
    for (const auto& [id, series] : record.series) {
        json turns = json::array();
        for (const auto& [number, turn] : series.turns) {
            json item{number, turn.tokens};
            if (!turn.ended) {
                item.push_back(turn.request);
            }
            turns.push_back(std::move(item));
        }
        list.push_back({id, series.folded_turns, series.folded_tokens, std::move(turns)});
    }
    return list;
}

budget_record::turn_series series_from(const json& message)
{
    budget_record::turn_series series;
    series.folded_turns = message.at(1).get<std::uint64_t>();
    series.folded_tokens = message.at(2).get<std::uint64_t>();
    for (const json& item : message.at(3)) {
        const bool ended = item.size() == 2;
        series.turns[item.at(0).get<std::uint64_t>()] = {ended ? std::string{} : item.at(2).get<std::string>(),
                                                         item.at(1).get<std::uint64_t>(), ended, timestamp{}};
    }
    return series;
}

budget_record record_from(const json& message)
{
    budget_record record;
    record.budget = message.at("b").get<std::uint64_t>();
    record.presumed = message.at("e").get<std::uint64_t>();
    record.high_water_mark = message.at("m").get<std::uint64_t>();
    record.unpersisted_limit = message.at("f").get<std::uint64_t>();
    for (const json& item : message.at("r")) {
        record.series[item.at(0).get<std::uint64_t>()] = series_from(item);
    }
    for (const auto& [session, location] : message.at("s").items()) {
        record.sessions[session] = location_from(location);
    }
    return record;
}

} // namespace

json to_json(const budget_request& message)
{
    return {{"q", message.request}, {"p", message.program}, {"s", message.session},
            {"b", message.budget},  {"t", message.tokens},  {"o", message.owner_unresponsive}};
}

json to_json(const budget_reply& message)
{
    return {{"q", message.request},
            {"v", static_cast<int>(message.verdict)},
            {"s", to_json(message.location)},
            {"f", message.first_turn},
            {"g", message.series}};
}

json to_json(const budget_settlement& message)
{
    return {{"q", message.request}, {"p", message.program},           {"s", message.session},
            {"t", message.tokens},  {"a", to_json(message.location)}, {"g", message.series}};
}

json to_json(const budget_record_request& message)
{
    return {{"p", message.program}};
}

json to_json(const budget_record_copy& message)
{
    json out{{"p", message.program}, {"c", message.sender_authoritative}, {"h", static_cast<int>(message.purpose)}};
    if (message.record) {
        out["k"] = message.complete;
        out["b"] = message.record->budget;
        out["e"] = message.record->presumed;
        out["m"] = message.record->high_water_mark;
        out["f"] = message.record->unpersisted_limit;
        out["r"] = series_json(*message.record);
        out["s"] = json::object();
        for (const auto& [session, location] : message.record->sessions) {
            out["s"][session] = to_json(location);
        }
    }
    return out;
}

std::optional<budget_request> budget_request_from(const json& message)
{
    return read_or_nothing([&] {
        return budget_request{message.at("q").get<std::string>(),   message.at("p").get<std::string>(),
                              message.at("s").get<std::string>(),   message.at("b").get<std::uint64_t>(),
                              message.at("t").get<std::uint64_t>(), message.at("o").get<bool>()};
    });
}

std::optional<budget_reply> budget_reply_from(const json& message)
{
    return read_or_nothing([&] {
        const int verdict = message.at("v").get<int>();
        return budget_reply{message.at("q").get<std::string>(),
                            verdict == static_cast<int>(budget_verdict::granted)     ? budget_verdict::granted
                            : verdict == static_cast<int>(budget_verdict::exhausted) ? budget_verdict::exhausted
                                                                                     : budget_verdict::undecided,
                            location_from(message.at("s")), message.value("f", false),
                            message.at("g").get<std::uint64_t>()};
    });
}

std::optional<budget_settlement> budget_settlement_from(const json& message)
{
    return read_or_nothing([&] {
        return budget_settlement{message.at("q").get<std::string>(), message.at("p").get<std::string>(),
                                 message.at("s").get<std::string>(), message.at("t").get<std::uint64_t>(),
                                 location_from(message.at("a")),     message.at("g").get<std::uint64_t>()};
    });
}

std::optional<budget_record_request> budget_record_request_from(const json& message)
{
    return read_or_nothing([&] { return budget_record_request{message.at("p").get<std::string>()}; });
}

std::optional<budget_record_copy> budget_record_copy_from(const json& message)
{
    return read_or_nothing([&] {
        budget_record_copy copy;
        copy.program = message.at("p").get<std::string>();
        copy.sender_authoritative = message.at("c").get<bool>();
        const int purpose = message.at("h").get<int>();
        copy.purpose = purpose == static_cast<int>(copy_purpose::transfer) ? copy_purpose::transfer
                       : purpose == static_cast<int>(copy_purpose::reply)  ? copy_purpose::reply
                                                                           : copy_purpose::backup;
        if (message.contains("b")) {
            copy.record = record_from(message);
            copy.complete = message.value("k", false);
        }
        return copy;
    });
}

} // namespace lagoonferry
