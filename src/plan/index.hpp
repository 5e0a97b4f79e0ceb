// Finds the rules that match a message at a cost that does not grow with their number (tuple space search):
// every rule becomes cells of destination prefix, tenant and class, any of them open; a look-up asks the
// table once for each shape that some cell has, and there are at most 132 shapes.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <vector>

#include "plan/rules.hpp"

namespace brasslift::plan {

class TooManyCells : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class Index {
public:
    struct Rule {
        const Match* match = nullptr;
        int priority = 0;
    };
    static constexpr std::size_t most_cells = 4'000'000;
    static constexpr std::size_t most_classes = 16382;  // keys tell so many apart

    Index() = default;
    // Throws TooManyCells, naming the rule by its place, where rules match too many combinations;
    // std::length_error where there are more than most_classes.
    Index(const std::vector<Rule>& rules, const Names& names);

    // The rule that holds of those that match, none if there is none.
    int best(const Subject& subject) const;
    // Appends all rules that match, each once, in order.
    void all(const Subject& subject, std::vector<int>& into) const;

    struct Overlap {
        int rule = none, other = none;
    };
    struct Analysis {
        std::vector<Overlap> hidden;     // `rule` never holds, `other` does where it would
        std::vector<Overlap> ambiguous;  // both match a message and none is the more exact
    };
    Analysis analyse() const;
    std::size_t shapes() const { return shapes_.size(); }
    std::size_t bytes() const;

private:
    struct Entry {
        std::uint64_t key = 0, order = 0;
        std::uint32_t rule = 0;
    };
    struct Slot {
        std::uint64_t key = empty;
        std::uint32_t first = 0, count = 0;
    };
    struct Shape {
        int bits = 0;  // of the destination
        bool tenant = false, message_class = false;
        auto operator<=>(const Shape&) const = default;
    };
    static constexpr std::uint64_t empty = ~std::uint64_t{0};
    static std::uint64_t key_of(const Shape& shape, const Subject& subject);
    const Slot* find(std::uint64_t key) const;

    std::vector<Entry> entries_;  // by key, the greatest order first
    std::vector<Slot> slots_;
    std::vector<Shape> shapes_;
    std::size_t rules_ = 0;
};

}  // namespace brasslift::plan
