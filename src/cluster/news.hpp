// What discovery says, as it was read: one list, whole or changes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "brasslift/sender.hpp"
#include "runtime/socket.hpp"

namespace brasslift::cluster {

// One list of discovery's, whole or changes.
struct News {
    bool whole = false;
    std::uint32_t version = 0;
    struct Line {
        std::string uid;
        runtime::Address address;  // port 0: as it was
        Listing listing;           // its endpoint is filled in by the cluster
    };
    std::vector<Line> lines;
};

}  // namespace brasslift::cluster
