#include "membership/takeover_choice.h"

namespace lagoonferry {

owner_check check_owner(const head_view& head, const std::optional<member>& known)
{
    if (head.epoch == 0 || !known) {
        return owner_check::failed;
    }
    if (head.owner_incarnation == 0) {
        return owner_check::awaited;
    }
    return process_start(known->incarnation) > head.owner_incarnation ? owner_check::failed : owner_check::usable;
}

} // namespace lagoonferry
