// The port to whoever makes what was written outlast the machine.
#pragma once

#include "store/types.hpp"

namespace brasslift::dispatch {

class Durable {
public:
    virtual ~Durable() = default;
    // Whether everything before that version is durable.
    virtual bool reached(store::Version version) const = 0;
    // It never will be; what waits for it must not happen.
    virtual bool failed() const = 0;
    // Someone waits; a Synced letter follows.
    virtual void want() = 0;
};

}  // namespace brasslift::dispatch
