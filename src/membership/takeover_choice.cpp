#include "membership/takeover_choice.h"

#include <algorithm>

namespace lagoonferry {

std::set<std::string, std::less<>> replica_peers(std::string_view self, std::span<const head_view> heads)
{
    std::set<std::string, std::less<>> result;
    for (const head_view& head : heads) {
        const bool backup = std::ranges::find(head.backups, self, &head_backup::id) != head.backups.end();
        if (backup) {
            result.insert(head.owner);
        }
        if (head.owner == self || (backup && head.owner.empty())) {
            for (const head_backup& other : head.backups) {
                result.insert(other.id);
            }
        }
    }
    result.erase(std::string(self));
    result.erase(std::string());
    return result;
}

std::vector<std::string> backups_with_copy(const head_view& head, std::span<const member> members)
{
    std::vector<std::string> valid_backups;
    for (const head_backup& backup : head.backups) {
        const auto it = std::ranges::find(members, backup.id, &member::id);
        if (it != members.end() && process_start(it->incarnation) == backup.incarnation) {
            valid_backups.push_back(backup.id);
        }
    }
    return valid_backups;
}

owner_status check_owner(const head_view& head, const std::optional<member>& known)
{
    if (head.epoch == 0 || !known) {
        return owner_status::failed;
    }
    if (head.owner_incarnation == 0) {
        return owner_status::pending;
    }
    return process_start(known->incarnation) > head.owner_incarnation ? owner_status::failed : owner_status::usable;
}

} // namespace lagoonferry
