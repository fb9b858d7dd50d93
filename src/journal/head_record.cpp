#include "journal/head_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lagoonferry {

namespace {

using nlohmann::json;

json tail_to_json(const std::vector<entry>& tail)
{
    json out = json::array();
    std::ranges::transform(tail, std::back_inserter(out), entry_to_json);
    return out;
}

head_record head_from_json(const json& in)
{
    head_record head;
    in.at("epoch").get_to(head.epoch);
    in.at("ready_epoch").get_to(head.ready_epoch);
    in.at("owner").get_to(head.owner);
    in.at("owner_incarnation").get_to(head.owner_incarnation);
    in.at("backups").get_to(head.backups);
    in.at("sequence").get_to(head.sequence);
    in.at("write_id").get_to(head.write_id);
    in.at("snapshot").get_to(head.snapshot);
    in.at("snapshot_digest").get_to(head.snapshot_digest);
    in.at("segments").get_to(head.segments);
    std::ranges::transform(in.at("tail"), std::back_inserter(head.tail), entry_from_json);
    return head;
}

} // namespace

std::uint64_t snapshot_sequence(const head_record& head)
{
    return head.sequence - head.tail.size();
}

std::string head_key(std::uint32_t partition)
{
    return "partition/" + std::to_string(partition);
}

std::string encode_head(const head_record& head)
{
    const json out{{"epoch", head.epoch},
                   {"ready_epoch", head.ready_epoch},
                   {"owner", head.owner},
                   {"owner_incarnation", head.owner_incarnation},
                   {"backups", head.backups},
                   {"sequence", head.sequence},
                   {"write_id", head.write_id},
                   {"snapshot", head.snapshot},
                   {"snapshot_digest", head.snapshot_digest},
                   {"segments", head.segments},
                   {"tail", tail_to_json(head.tail)}};
    return out.dump();
}

std::optional<head_record> decode_head(std::string_view text)
{
    try {
        head_record head = head_from_json(json::parse(text));
        if (head.tail.size() > head.sequence) {
            return std::nullopt;
        }
        return head;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

void to_json(json& out, const instance_ref& value)
{
    out = {{"id", value.id}, {"address", value.address}};
}

void from_json(const json& in, instance_ref& value)
{
    in.at("id").get_to(value.id);
    in.at("address").get_to(value.address);
}

void to_json(json& out, const backup_ref& value)
{
    out = {{"id", value.id}, {"address", value.address}, {"incarnation", value.incarnation}};
}

void from_json(const json& in, backup_ref& value)
{
    in.at("id").get_to(value.id);
    in.at("address").get_to(value.address);
    in.at("incarnation").get_to(value.incarnation);
}

} // namespace lagoonferry
