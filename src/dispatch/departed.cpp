#include "dispatch/departed.hpp"

namespace brasslift::dispatch {

void DepartureChange::add(const DepartureChange& later) {
    if (later.cleared) *this = {};
    cleared = cleared || later.cleared;
    incomplete = incomplete || later.incomplete;
    for (const auto& [entry, has_departed] : later.departed) departed.insert_or_assign(entry, has_departed);
}

}  // namespace brasslift::dispatch
