// The port to whoever knows all destinations, most of which sleep: they are known, and the core, its module
// and the pool hold nothing of them until a message comes for one. Absent, what lists have named is awake.
// Asked in the core's turn; answers are of that instant.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::dispatch {

class Directory {
public:
    virtual ~Directory() = default;
    // Whether some list has named it; it may be without hosts for a while.
    virtual bool knows(DestinationId destination) const = 0;
    // Whether memory allows one more to wake.
    virtual bool has_room() const = 0;
    // From now on the core is told of its hosts; those that it has are appended.
    virtual void wake(DestinationId destination, std::vector<Listing>& hosts) = 0;
    // Whether those that rest may sleep: in a small deployment none does.
    virtual bool may_sleep() const = 0;
    // From now on the core is told nothing of it. `rest` fills in what is to be remembered of a host and says
    // whether it rests; where one does not, or there are none, nothing happens. Whether it sleeps.
    virtual bool sleep(DestinationId destination, const std::function<bool(Listing&)>& rest) = 0;
};

}  // namespace brasslift::dispatch
