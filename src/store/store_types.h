#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// A key-value pair of the store, or the event of its removal.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the last change of the key
    bool removed = false;       ///< the key was deleted, or a write shall delete it
    std::uint64_t lease = 0;    ///< the key is deleted when this lease ends; 0: never
};

/// One page of items, with the store's revision at the time of the response.
struct store_items {
    std::vector<store_item> items;
    std::uint64_t revision = 0;
    bool more = false; ///< further items follow after the last key
};

/// A precondition of a write: the key has this revision. Revision 0 means that the key does not exist.
struct store_condition {
    std::string key;
    std::uint64_t revision = 0;
};

enum class store_status {
    ok,
    not_found,
    conflict,    ///< a condition did not hold
    compacted,   ///< the changes since the requested revision are no longer stored
    unavailable, ///< the call was not executed
    unknown,     ///< no valid response; a write may have been executed, or may still be executed
};

/// The result of a call. `found` holds the items read, or after a conflict the current items of the conditions' keys.
struct store_reply {
    store_status status = store_status::unknown;
    store_items found;
    std::uint64_t revision = 0; ///< the revision that a write created
    std::uint64_t lease = 0;    ///< the lease that was opened
};

} // namespace lagoonferry
