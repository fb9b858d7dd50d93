#include "conversation/history_messages.h"
#include "conversation/turn_log.h"
#include "conversation/turn_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

turn_record turn(std::string id, std::string previous, std::string input = "in", std::string output = "out\n")
{
    return {std::move(id), std::move(previous), std::move(input), std::move(output), seconds(60)};
}

/// A folder that is deleted at the end of the test.
class temporary_folder {
public:
    temporary_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "turns-test-XXXXXX").string();
        m_path = ::mkdtemp(name.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

std::vector<turn_record> load(const std::filesystem::path& folder)
{
    std::vector<turn_record> found;
    turn_log(folder).load([&](std::uint64_t /*segment*/, turn_record record) { found.push_back(std::move(record)); });
    return found;
}

std::string file_text(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::vector<std::string> ids(const std::vector<const turn_record*>& records)
{
    std::vector<std::string> out;
    std::ranges::transform(records, std::back_inserter(out), [](const turn_record* item) { return item->id; });
    return out;
}

} // namespace

TEST_CASE("a chain holds its turns from the oldest on, and several turns may continue the same one")
{
    turn_table table(1'000'000);
    CHECK(table.put(turn("a", ""), 1, seconds(0)) == turn_put_result::stored);
    CHECK(table.put(turn("b", "a"), 1, seconds(1)) == turn_put_result::stored);
    CHECK(table.put(turn("c1", "b"), 1, seconds(2)) == turn_put_result::stored);
    CHECK(table.put(turn("c2", "b"), 1, seconds(2)) == turn_put_result::stored);
    CHECK(table.put(turn("b", "a"), 1, seconds(3)) == turn_put_result::known);
    CHECK(table.put(turn("x", "none"), 1, seconds(3)) == turn_put_result::previous_missing);
    CHECK(ids(table.chain("c1")) == std::vector<std::string>{"a", "b", "c1"});
    CHECK(ids(table.chain("c2")) == std::vector<std::string>{"a", "b", "c2"});
    CHECK(table.chain("x").empty());
    CHECK(table.chain("").empty());
}

TEST_CASE("a turn stays for its retention and as long as a turn that continues it")
{
    turn_table table(1'000'000);
    table.put(turn("a", ""), 1, seconds(0));
    table.put(turn("other", ""), 2, seconds(0));
    table.put(turn("b", "a"), 3, seconds(50));
    table.expire(seconds(60));
    CHECK(table.size() == 3);
    table.expire(seconds(80));
    CHECK_FALSE(table.contains("other"));
    CHECK(ids(table.chain("b")) == std::vector<std::string>{"a", "b"});
    CHECK(table.used_segments() == std::set<std::uint64_t>{1, 3});
    table.expire(seconds(130));
    CHECK(table.size() == 0);
    CHECK(table.bytes() == 0);
}

TEST_CASE("a full table refuses turns, and a cache drops the oldest")
{
    turn_table table(3'000);
    CHECK(table.put(turn("a", "", std::string(2'000, 'x')), 1, seconds(0)) == turn_put_result::stored);
    CHECK(table.put(turn("b", "", std::string(2'000, 'x')), 1, seconds(0)) == turn_put_result::full);
    CHECK(table.put(turn("c", "", "x"), 1, seconds(0)) == turn_put_result::stored);
    turn_table cache(3'000, turn_table::overflow::evict_oldest);
    cache.put(turn("a", "", std::string(1'000, 'x')), 0, seconds(0));
    cache.put(turn("b", "a", std::string(200, 'x')), 0, seconds(0));
    CHECK(cache.put(turn("c", "", std::string(1'000, 'x')), 0, seconds(0)) == turn_put_result::stored);
    CHECK(cache.chain("b").empty()); // an earlier turn is missing
    CHECK(ids(cache.chain("c")) == std::vector<std::string>{"c"});
}

TEST_CASE("pages contain each turn after the one that it continues")
{
    turn_table table(10'000'000);
    std::minstd_rand random(3);
    for (int n = 0; n < 300; ++n) {
        const int previous = n == 0 ? -1 : static_cast<int>(random() % static_cast<unsigned>(n));
        table.put(turn(std::to_string(n), previous < 0 ? "" : std::to_string(previous), std::string(50, 'x')), 1,
                  seconds(n));
    }
    turn_table copy(10'000'000);
    std::uint64_t from = 0;
    int pages = 0;
    for (bool more = true; more; ++pages) {
        const auto page = table.read_page(from, 20'000);
        for (const turn_record* record : page.records) {
            CHECK(copy.put(*record, 1, seconds(0)) == turn_put_result::stored);
        }
        from = page.next;
        more = page.more;
    }
    CHECK(pages > 3);
    CHECK(copy.size() == table.size());
}

TEST_CASE("turns are on disk after a sync, and a new start reads them in order")
{
    const temporary_folder folder;
    {
        turn_log log(folder.path());
        CHECK(log.is_new());
        log.append(turn("a", "", std::string("\0\xff{", 3)));
        log.append(turn("b", "a"));
        CHECK(log.sync());
        log.append(turn("lost", "b")); // not synced
    }
    {
        turn_log log(folder.path());
        CHECK_FALSE(log.is_new());
        log.append(turn("c", "b"));
        CHECK(log.sync());
    }
    const auto found = load(folder.path());
    REQUIRE(found.size() == 3);
    CHECK(found[0] == turn("a", "", std::string("\0\xff{", 3)));
    CHECK(found[1] == turn("b", "a"));
    CHECK(found[2] == turn("c", "b"));
}

TEST_CASE("a torn or damaged tail of a segment is ignored, wherever it begins")
{
    const temporary_folder folder;
    {
        turn_log log(folder.path());
        log.append(turn("a", "", std::string(100, 'x')));
        log.append(turn("b", "a", std::string(100, 'y')));
        REQUIRE(log.sync());
    }
    const std::filesystem::path path = folder.path() / "turns-1";
    const std::string whole = file_text(path);
    std::minstd_rand random(5);
    for (std::size_t size = 0; size < whole.size(); size += 3) {
        std::string torn = whole.substr(0, size);
        if (size % 2 == 0) {
            torn += std::string(random() % 300, static_cast<char>(random())); // the rest was not written
        }
        std::ofstream(path, std::ios::binary | std::ios::trunc) << torn;
        const auto found = load(folder.path());
        CAPTURE(size);
        CHECK(found.size() == (size < whole.size() / 2 ? 0U : 1U));
    }
    std::string flipped = whole;
    flipped[whole.size() - 5] = static_cast<char>(flipped[whole.size() - 5] ^ 1);
    std::ofstream(path, std::ios::binary | std::ios::trunc) << flipped;
    CHECK(load(folder.path()).size() == 1);
}

TEST_CASE("segments without present turns are deleted, except the one in use")
{
    const temporary_folder folder;
    std::set<std::uint64_t> segments;
    turn_log log(folder.path());
    for (int n = 0; n < 60; ++n) {
        segments.insert(log.append(turn(std::to_string(n), "", std::string(200'000, 'x'))));
        REQUIRE(log.sync());
    }
    REQUIRE(segments.size() >= 3);
    const std::uint64_t kept = *std::next(segments.begin());
    log.remove_unused({kept});
    std::set<std::uint64_t> left;
    for (const auto& item : std::filesystem::directory_iterator(folder.path())) {
        const std::string name = item.path().filename().string();
        if (name.starts_with("turns-")) {
            left.insert(std::stoull(name.substr(6)));
        }
    }
    CHECK(left == std::set<std::uint64_t>{kept, *segments.rbegin()});
}

TEST_CASE("a disk that takes no more data fails the sync, and later turns are stored again")
{
    const temporary_folder folder;
    const std::filesystem::path inner = folder.path() / "turns";
    turn_log log(inner);
    std::filesystem::remove_all(inner);
    log.append(turn("a", ""));
    CHECK_FALSE(log.sync());
    std::filesystem::create_directories(inner);
    log.append(turn("b", ""));
    CHECK(log.sync());
    const auto found = load(inner);
    REQUIRE(found.size() == 1);
    CHECK(found.front().id == "b");
}

TEST_CASE("messages of history nodes keep every byte, and malformed ones are refused")
{
    const turn_record a = turn("a", "", std::string("\0\xff\xc3", 3));
    const turn_record b = turn("b", "a");
    const std::array records{&a, &b};
    const std::string text = encode_turns(records);
    CHECK(decode_turns(text) == std::vector<turn_record>{a, b});
    const auto page = decode_page(encode_page(records, 7, true, false));
    REQUIRE(page);
    CHECK(page->records == std::vector<turn_record>{a, b});
    CHECK(page->next == 7);
    CHECK(page->more);
    CHECK(decode_text(encode_text("x")) == "x");
    CHECK(decode_position(encode_position(1ULL << 40U)) == 1ULL << 40U);
    std::minstd_rand random(7);
    for (int n = 0; n < 3'000; ++n) {
        std::string changed = text;
        changed[random() % changed.size()] = static_cast<char>(random());
        changed.resize(random() % 4 == 0 ? random() % changed.size() : changed.size());
        CHECK_NOTHROW(decode_turns(changed));
        CHECK_NOTHROW(decode_page(changed));
    }
    CHECK_FALSE(decode_turns(""));
    CHECK_FALSE(decode_position("x"));
}
