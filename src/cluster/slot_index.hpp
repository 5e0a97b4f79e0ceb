// An index from keys to places in a table, by open addressing: four bytes a place, no keys of its own. Its
// parts grow one at a time by a quarter, so that no insertion moves more than a part, whatever is known.
// Several places may share a key. No I/O; one thread; errors: none but std::bad_alloc.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace brasslift::cluster {

// A host's place in the table; given to another host once it has been freed.
using Slot = std::uint32_t;
inline constexpr Slot no_slot = 0xffffffff;

// Spreads keys that are close together over all bits.
inline std::uint64_t mixed(std::uint64_t key) {
    key = (key ^ (key >> 30)) * 0xbf58476d1ce4e5b9U;
    key = (key ^ (key >> 27)) * 0x94d049bb133111ebU;
    return key ^ (key >> 31);
}

class SlotIndex {
public:
    SlotIndex() : parts_(part_count) {}

    // `hash_of(slot)`: the hash of a place that is in the index, asked for where places move.
    template <class HashOf>
    void insert(std::uint64_t hash, Slot slot, const HashOf& hash_of) {
        auto& part = part_of(hash);
        if ((part.used + 1) * 5 > part.capacity * 4) grow(part, hash_of);
        place(part, hash, slot);
    }

    template <class HashOf>
    void erase(std::uint64_t hash, Slot slot, const HashOf& hash_of) {
        auto& part = part_of(hash);
        if (part.capacity == 0) return;
        auto hole = home(part, hash);
        while (part.slots[hole] != slot) {
            if (part.slots[hole] == no_slot) return;
            hole = next(part, hole);
        }
        // What stands behind the hole moves up, unless it would come before its own home.
        for (auto at = next(part, hole); part.slots[at] != no_slot; at = next(part, at)) {
            const auto wants = home(part, hash_of(part.slots[at]));
            const bool stays = hole <= at ? hole < wants && wants <= at : hole < wants || wants <= at;
            if (stays) continue;
            part.slots[hole] = part.slots[at];
            hole = at;
        }
        part.slots[hole] = no_slot;
        --part.used;
    }

    // The first place whose key may be this one and that `is_it` takes; no_slot: none.
    template <class IsIt>
    Slot find(std::uint64_t hash, const IsIt& is_it) const {
        const auto& part = parts_[hash >> shift];
        if (part.capacity == 0) return no_slot;
        for (auto at = home(part, hash); part.slots[at] != no_slot; at = next(part, at))
            if (is_it(part.slots[at])) return part.slots[at];
        return no_slot;
    }

    std::size_t bytes() const { return parts_.size() * sizeof(Part) + places_ * sizeof(Slot); }

private:
    static constexpr std::size_t part_count = 256;
    static constexpr int shift = 56;
    struct Part {
        std::unique_ptr<Slot[]> slots;
        std::uint32_t capacity = 0, used = 0;
    };

    Part& part_of(std::uint64_t hash) { return parts_[hash >> shift]; }
    static std::uint32_t home(const Part& part, std::uint64_t hash) {
        return static_cast<std::uint32_t>(((hash & 0xffffffffU) * part.capacity) >> 32);
    }
    static std::uint32_t next(const Part& part, std::uint32_t at) {
        return at + 1 == part.capacity ? 0 : at + 1;
    }
    static void place(Part& part, std::uint64_t hash, Slot slot) {
        auto at = home(part, hash);
        while (part.slots[at] != no_slot) at = next(part, at);
        part.slots[at] = slot;
        ++part.used;
    }

    template <class HashOf>
    void grow(Part& part, const HashOf& hash_of) {
        Part larger;
        larger.capacity = part.capacity + part.capacity / 4 + 4;
        larger.slots = std::make_unique<Slot[]>(larger.capacity);
        std::fill_n(larger.slots.get(), larger.capacity, no_slot);
        for (std::uint32_t i = 0; i < part.capacity; ++i)
            if (part.slots[i] != no_slot) place(larger, hash_of(part.slots[i]), part.slots[i]);
        places_ += larger.capacity - part.capacity;
        part = std::move(larger);
    }

    std::vector<Part> parts_;
    std::size_t places_ = 0;  // of all parts: bytes() is asked for with each line of a list
};

}  // namespace brasslift::cluster
