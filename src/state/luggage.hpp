// Descriptors that travel beside a packed state, which names them by their place.
#pragma once

#include <vector>

#include "runtime/descriptor.hpp"

namespace brasslift::state {

class Luggage {
public:
    // Of the giver, who keeps it: its place.
    int add(int fd) {
        given_.push_back(fd);
        return static_cast<int>(given_.size()) - 1;
    }
    const std::vector<int>& given() const { return given_; }

    // Of the taker. A place that is not there, or was taken, gives a descriptor that is none.
    void received(runtime::Descriptor fd) { received_.push_back(std::move(fd)); }
    std::size_t count() const { return received_.size(); }
    runtime::Descriptor take(int place) {
        if (place < 0 || static_cast<std::size_t>(place) >= received_.size()) return {};
        return std::move(received_[static_cast<std::size_t>(place)]);
    }

private:
    std::vector<int> given_;
    std::vector<runtime::Descriptor> received_;
};

}  // namespace brasslift::state
