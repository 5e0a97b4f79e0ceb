// The port to whoever says whether the rules that are acted on still hold. Absent, they always do.
#pragma once

#include <cstdint>

namespace brasslift::dispatch {

class Authority {
public:
    virtual ~Authority() = default;
    // Whether new work may be answered by that version of the rules at this instant; asked for each message.
    virtual bool may(std::uint64_t version) const = 0;
};

}  // namespace brasslift::dispatch
