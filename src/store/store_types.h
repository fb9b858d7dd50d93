#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// An item of the store, or the news of its removal.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// Items and the store's revision at the time of the answer.
struct store_items {
    std::vector<store_item> items;
    std::uint64_t revision = 0;
    bool more = false; ///< further items follow behind the last key
};

/// A condition: the key has this revision; 0: it does not exist.
struct store_condition {
    std::string key;
    std::uint64_t revision = 0;
};

enum class store_status {
    ok,
    not_found,
    conflict,    ///< a condition did not hold
    compacted,   ///< the history behind the revision is gone
    unavailable, ///< nothing was done
    unknown,     ///< no answer; a write may have been done, or may still be
};

/// The result of a call. `items` holds what was read, or the present state of the conditions after a conflict.
struct store_reply {
    store_status status = store_status::unknown;
    store_items found;
    std::uint64_t revision = 0; ///< of a write
};

} // namespace lagoonferry
