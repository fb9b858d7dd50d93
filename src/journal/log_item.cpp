#include "journal/log_item.h"

#include <nlohmann/json.hpp>

namespace lagoonferry {

namespace {

/// Estimated sizes of the member names and the sequence, and of the identifiers and digests of a text.
constexpr std::size_t item_overhead_bytes = 32;
constexpr std::size_t text_overhead_bytes = 256;

} // namespace

std::size_t item_bytes(const log_item& item)
{
    const std::size_t text = item.text ? text_overhead_bytes + text_bytes(*item.text) : 0;
    return item_overhead_bytes + entry_bytes(item.content) + text;
}

void to_json(nlohmann::json& out, const log_item& item)
{
    out = {{"sequence", item.sequence}, {"entry", entry_to_json(item.content)}};
    if (item.text) {
        out["text"] = text_to_json(*item.text);
    }
}

void from_json(const nlohmann::json& in, log_item& item)
{
    in.at("sequence").get_to(item.sequence);
    item.content = entry_from_json(in.at("entry"));
    const auto it = in.find("text");
    item.text = it == in.end() ? nullptr : std::make_shared<const stored_text>(text_from_json(*it));
}

} // namespace lagoonferry
