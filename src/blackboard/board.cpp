#include "blackboard/board.h"

#include <algorithm>

namespace lagoonferry {

const member* member_view::find(std::string_view id) const
{
    for (const std::vector<member>* list : {&entries, &dispatchers, &targets}) {
        const auto it = std::ranges::find(*list, id, &member::id);
        if (it != list->end()) {
            return &*it;
        }
    }
    return nullptr;
}

} // namespace lagoonferry
