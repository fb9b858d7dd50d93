#include "conversation/turn_log.h"

#include "conversation/history_messages.h"
#include "util/log.h"

#include <boost/crc.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>
#include <system_error>

namespace lagoonferry {

namespace {

/// A new segment is begun beyond this size, so that space is given back when the turns of a segment have expired.
constexpr std::uint64_t max_segment_bytes = 4'194'304;

constexpr std::string_view segment_prefix = "turns-";
constexpr std::string_view marker_name = "used";
constexpr std::size_t header_bytes = 8; ///< length and checksum of a record, 32 bits each in little-endian order

std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void append_uint32(std::string& out, std::uint32_t value)
{
    constexpr unsigned bits_per_byte = 8;
    for (unsigned n = 0; n < sizeof(value); ++n) {
        out += static_cast<char>((value >> (n * bits_per_byte)) & 0xffU);
    }
}

std::uint32_t read_uint32(std::string_view bytes)
{
    constexpr unsigned bits_per_byte = 8;
    std::uint32_t value = 0;
    for (unsigned n = 0; n < sizeof(value); ++n) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[n])) << (n * bits_per_byte);
    }
    return value;
}

/// Takes the next record off `bytes`. Returns nothing at a torn or damaged one.
std::optional<turn_record> take_record(std::string_view& bytes)
{
    if (bytes.size() < header_bytes) {
        return std::nullopt;
    }
    const std::uint32_t length = read_uint32(bytes);
    const std::uint32_t expected = read_uint32(bytes.substr(sizeof(length)));
    const std::string_view body = bytes.substr(header_bytes, length);
    if (body.size() < length || checksum(body) != expected) {
        return std::nullopt;
    }
    auto records = decode_turns(body);
    bytes.remove_prefix(header_bytes + length);
    return records && records->size() == 1 ? std::optional(std::move(records->front())) : std::nullopt;
}

std::string system_error_text(int code)
{
    return std::system_category().message(code);
}

} // namespace

turn_log::turn_log(std::filesystem::path folder) : m_folder(std::move(folder))
{
    std::error_code ec;
    std::filesystem::create_directories(m_folder, ec);
    for (const auto& item : std::filesystem::directory_iterator(m_folder, ec)) {
        const std::string name = item.path().filename().string();
        std::uint64_t number = 0;
        if (name.starts_with(segment_prefix) &&
            std::from_chars(name.data() + segment_prefix.size(), name.data() + name.size(), number).ec == std::errc{}) {
            m_segments.insert(number);
        }
    }
    if (ec) {
        log(log_part::journal, log_level::error, "The folder of turns cannot be read.",
            field("folder", m_folder.string()), field("reason", ec.message()));
    }
    mark_folder();
    m_segment = m_segments.empty() ? 1 : *m_segments.rbegin() + 1;
}

turn_log::~turn_log()
{
    close_segment();
}

// A new file lasts once it is synced.
void turn_log::mark_folder()
{
    const std::filesystem::path path = m_folder / marker_name;
    std::error_code ec;
    m_is_new = !std::filesystem::exists(path, ec);
    if (!m_is_new) {
        return;
    }
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (file < 0 || ::fsync(file) != 0) {
        log(log_part::journal, log_level::error, "The folder of turns cannot be marked as used.",
            field("folder", m_folder.string()), field("reason", system_error_text(errno)));
    }
    if (file >= 0) {
        ::close(file);
    }
}

std::filesystem::path turn_log::path_of(std::uint64_t segment) const
{
    return m_folder / (std::string(segment_prefix) + std::to_string(segment));
}

std::size_t turn_log::load(const visitor& visit)
{
    std::size_t damaged = 0;
    for (const std::uint64_t segment : m_segments) {
        std::ifstream in(path_of(segment), std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        const std::string bytes = text.str();
        std::string_view rest = bytes;
        while (!rest.empty()) {
            auto record = take_record(rest);
            if (!record) {
                ++damaged;
                log(log_part::journal, log_level::warning, "A segment of turns ends with a torn or damaged record.",
                    field("segment", segment), field("ignored_bytes", rest.size()));
                break;
            }
            visit(segment, *record);
        }
    }
    return damaged;
}

std::uint64_t turn_log::append(const turn_record& record)
{
    if (m_size >= max_segment_bytes && m_pending.empty()) {
        close_segment();
    }
    const std::array records{&record};
    const std::string body = encode_turns(records);
    append_uint32(m_pending, static_cast<std::uint32_t>(body.size()));
    append_uint32(m_pending, checksum(body));
    m_pending += body;
    return m_segment;
}

bool turn_log::open_segment()
{
    if (m_file >= 0) {
        return true;
    }
    m_file = ::open(path_of(m_segment).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (m_file >= 0) {
        m_segments.insert(m_segment);
    }
    return m_file >= 0;
}

void turn_log::close_segment()
{
    if (m_file >= 0) {
        ::close(m_file);
        m_file = -1;
        m_size = 0;
        ++m_segment;
    }
}

bool turn_log::write_pending()
{
    std::string_view rest = m_pending;
    while (!rest.empty()) {
        const ssize_t n = ::write(m_file, rest.data(), rest.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        rest.remove_prefix(static_cast<std::size_t>(n));
    }
    return ::fsync(m_file) == 0;
}

bool turn_log::sync()
{
    if (m_pending.empty()) {
        return true;
    }
    const bool done = open_segment() && write_pending();
    if (done) {
        m_size += m_pending.size();
    }
    else {
        log(log_part::journal, log_level::error, "Turns cannot be written to the disk.", field("segment", m_segment),
            field("bytes", m_pending.size()), field("reason", system_error_text(errno)));
        // The file may end with a part of a record. What follows would not be read again.
        close_segment();
    }
    m_pending.clear();
    return done;
}

void turn_log::remove_unused(const std::set<std::uint64_t>& used)
{
    std::erase_if(m_segments, [&](std::uint64_t segment) {
        if (used.contains(segment) || segment == m_segment) {
            return false;
        }
        std::error_code ec;
        std::filesystem::remove(path_of(segment), ec);
        if (ec) {
            log(log_part::journal, log_level::warning, "A segment of turns cannot be deleted.",
                field("segment", segment), field("reason", ec.message()));
        }
        return !ec;
    });
}

} // namespace lagoonferry
