#include "peer/datagram_codec.h"

#include "peer/cluster_key.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

// Wire format: kind (1 byte), length of the sender's id (1 byte), sender's id, body, authentication tag (8 bytes).
constexpr std::size_t header_bytes = 2;
constexpr std::size_t max_sender_bytes = 255;

std::optional<datagram_kind> kind_of(std::byte code)
{
    const auto kind = static_cast<datagram_kind>(code);
    const bool known = kind >= datagram_kind::heartbeat && kind <= datagram_kind::limit_copy;
    return known ? std::optional(kind) : std::nullopt;
}

void append(std::vector<std::byte>& out, std::string_view text)
{
    std::ranges::transform(text, std::back_inserter(out), [](char c) { return static_cast<std::byte>(c); });
}

std::string bytes_to_string(std::span<const std::byte> bytes)
{
    std::string text(bytes.size(), '\0');
    std::ranges::transform(bytes, text.begin(), [](std::byte b) { return static_cast<char>(b); });
    return text;
}

} // namespace

std::vector<std::byte> encode_datagram(const datagram& message, const cluster_key& key)
{
    const std::string_view sender = std::string_view(message.sender).substr(0, max_sender_bytes);
    std::vector<std::byte> out;
    out.reserve(header_bytes + sender.size() + message.body.size() + cluster_key::tag_bytes);
    out.push_back(static_cast<std::byte>(message.kind));
    out.push_back(static_cast<std::byte>(sender.size()));
    append(out, sender);
    append(out, message.body);
    const cluster_key::tag tag = key.tag_of(out);
    out.insert(out.end(), tag.begin(), tag.end());
    return out;
}

std::optional<datagram> decode_datagram(std::span<const std::byte> bytes, const cluster_key& key)
{
    if (bytes.size() < header_bytes + cluster_key::tag_bytes) {
        return std::nullopt;
    }
    const auto content = bytes.first(bytes.size() - cluster_key::tag_bytes);
    const auto kind = kind_of(content[0]);
    const auto sender_bytes = std::to_integer<std::size_t>(content[1]);
    if (!kind || !key.verify(content, bytes.last(cluster_key::tag_bytes)) ||
        content.size() < header_bytes + sender_bytes) {
        return std::nullopt;
    }
    return datagram{*kind, bytes_to_string(content.subspan(header_bytes, sender_bytes)),
                    bytes_to_string(content.subspan(header_bytes + sender_bytes))};
}

std::string encode_cbor(const nlohmann::json& message)
{
    std::string out;
    nlohmann::json::to_cbor(message, nlohmann::detail::output_adapter<char>(out));
    return out;
}

std::optional<nlohmann::json> decode_cbor(const std::string& body)
{
    try {
        nlohmann::json message = nlohmann::json::from_cbor(body, true, false);
        return message.is_discarded() ? std::nullopt : std::optional(std::move(message));
    }
    catch (const nlohmann::json::exception& error) {
        // A list or map that claims to be longer than any memory throws although exceptions are switched off.
        log(log_part::peer, log_level::warning, "A datagram is malformed.",
            field("reason", std::string_view(error.what())));
        return std::nullopt;
    }
}

} // namespace lagoonferry
