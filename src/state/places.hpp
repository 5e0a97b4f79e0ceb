// Items that keep their places: the place of one that was removed is given to the next. Places of removed
// items hold empty ones. One thread; errors: none.
#pragma once

#include <vector>

namespace brasslift::state {

template <class Item>
class Places {
public:
    int add() {
        if (free_.empty()) free_.push_back((items_.emplace_back(), static_cast<int>(items_.size()) - 1));
        const int place = free_.back();
        free_.pop_back();
        return place;
    }
    void remove(int place) {
        (*this)[place] = {};
        free_.push_back(place);
    }
    Item& operator[](int place) { return items_[static_cast<std::size_t>(place)]; }
    const Item& operator[](int place) const { return items_[static_cast<std::size_t>(place)]; }
    auto begin() { return items_.begin(); }
    auto end() { return items_.end(); }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(items_, free_);
    }

private:
    std::vector<Item> items_;
    std::vector<int> free_;
};

}  // namespace brasslift::state
