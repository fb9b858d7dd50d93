#pragma once

#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonferry {

/// A granted slot.
struct slot_record {
    std::uint64_t slot = 0;
    std::uint64_t request = 0;
    std::string holder;
    std::string account;
    std::size_t target = 0;
    service_class priority = service_class::normal;
    std::uint64_t prefix = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output = 0;
    std::uint32_t batch = 0; ///< calls on the target at the time of the grant, this one included
    std::uint32_t tokens = 0;
    timestamp granted{0};
    timestamp listed{0};    ///< time of the last report that listed the slot, 0 before the first
    timestamp observed{0};  ///< time of the last progress report, 0 before the first
    timestamp preempted{0}; ///< time of the last preemption request, 0 for none
};

/// The granted slots, and the last-seen times of their holders. Not thread-safe.
class slot_table {
public:
    slot_record& add(slot_record record);

    /// Returns nullptr for an unknown slot. Pointers stay valid until the slot is removed.
    slot_record* find(std::uint64_t slot);
    slot_record* find_request(std::string_view holder, std::uint64_t request);

    /// Removes the slot. Unknown slots are ignored.
    void remove(std::uint64_t slot);

    /// Updates the last-seen time of a holder. Unknown holders are ignored.
    void update_last_seen(std::string_view holder, timestamp now);

    /// Returns the slots whose holder was last seen before `since`, in ascending order.
    std::vector<std::uint64_t> slots_silent_since(timestamp since) const;

    /// Calls `f` for each slot in ascending order of ids.
    void for_each(const std::function<void(slot_record&)>& f);

    std::size_t size() const { return m_slots.size(); }

private:
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
    };
    struct holder_record {
        timestamp last_seen{0};
        std::unordered_map<std::uint64_t, std::uint64_t> slot_by_request;
    };

    std::unordered_map<std::uint64_t, slot_record> m_slots;
    std::unordered_map<std::string, holder_record, string_hash, std::equal_to<>> m_holders;
};

} // namespace lagoonferry
