#include "program/replica_messages.h"

#include <nlohmann/json.hpp>

namespace lagoonferry {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(replicate_status, {{replicate_status::gap, "gap"},
                                                {replicate_status::accepted, "accepted"},
                                                {replicate_status::stale_epoch, "stale_epoch"},
                                                {replicate_status::full, "full"}})

void to_json(json& out, const replicate_request& value)
{
    out = {{"partition", value.partition}, {"incarnation", value.incarnation},
           {"epoch", value.epoch},         {"stream", value.stream},
           {"reset", value.reset},         {"previous", value.previous},
           {"flushed", value.flushed},     {"items", value.items}};
}

void from_json(const json& in, replicate_request& value)
{
    in.at("partition").get_to(value.partition);
    in.at("incarnation").get_to(value.incarnation);
    in.at("epoch").get_to(value.epoch);
    in.at("stream").get_to(value.stream);
    in.at("reset").get_to(value.reset);
    in.at("previous").get_to(value.previous);
    in.at("flushed").get_to(value.flushed);
    in.at("items").get_to(value.items);
}

void to_json(json& out, const replicate_reply& value)
{
    out = {{"partition", value.partition},
           {"backup", value.backup},
           {"incarnation", value.incarnation},
           {"epoch", value.epoch},
           {"stream", value.stream},
           {"status", value.status},
           {"last", value.last}};
}

void from_json(const json& in, replicate_reply& value)
{
    in.at("partition").get_to(value.partition);
    in.at("backup").get_to(value.backup);
    in.at("incarnation").get_to(value.incarnation);
    in.at("epoch").get_to(value.epoch);
    in.at("stream").get_to(value.stream);
    in.at("status").get_to(value.status);
    in.at("last").get_to(value.last);
}

void to_json(json& out, const fetch_request& value)
{
    out = {{"partition", value.partition}, {"epoch", value.epoch}, {"after", value.after}};
}

void from_json(const json& in, fetch_request& value)
{
    in.at("partition").get_to(value.partition);
    in.at("epoch").get_to(value.epoch);
    in.at("after").get_to(value.after);
}

void to_json(json& out, const fetch_reply& value)
{
    out = {{"partition", value.partition},   {"backup", value.backup}, {"incarnation", value.incarnation},
           {"epoch", value.epoch},           {"after", value.after},   {"refused", value.refused},
           {"data_epoch", value.data_epoch}, {"last", value.last},     {"items", value.items}};
}

void from_json(const json& in, fetch_reply& value)
{
    in.at("partition").get_to(value.partition);
    in.at("backup").get_to(value.backup);
    in.at("incarnation").get_to(value.incarnation);
    in.at("epoch").get_to(value.epoch);
    in.at("after").get_to(value.after);
    in.at("refused").get_to(value.refused);
    in.at("data_epoch").get_to(value.data_epoch);
    in.at("last").get_to(value.last);
    in.at("items").get_to(value.items);
}

} // namespace lagoonferry
