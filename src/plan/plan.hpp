// A checked configuration made ready for look-ups; it never changes. No I/O.
#pragma once

#include <string>
#include <vector>

#include "plan/index.hpp"
#include "plan/rules.hpp"

namespace brasslift::plan {

// The values that a limit counts by; those that it does not are 0. Equal keys share a count.
struct CountKey {
    DestinationId destination = 0;
    std::uint16_t tenant = 0, message_class = 0;
    std::uint16_t route = 0;  // its place plus one: the checker admits no more than that tells apart
    bool operator==(const CountKey&) const = default;
};
struct CountKeyHash {
    std::size_t operator()(const CountKey& key) const {
        auto hash = (std::uint64_t{key.route} << 48 | std::uint64_t{key.message_class} << 32 |
                     std::uint64_t{key.tenant} << 16) *
                    0x9e3779b97f4a7c15U;
        hash = (hash ^ hash >> 32 ^ key.destination) * 0x9e3779b97f4a7c15U;
        return hash ^ hash >> 29;
    }
};

class Plan {
public:
    // Throws TooManyCells, its text the name of the entry.
    Plan(Rules rules, const Names& names);

    // The route that holds, none where no route matches.
    int route(const Subject& subject) const { return routes_.best(subject); }
    // All limits that a message must be within, and all policies that hold for it, given its route.
    void limits(const Subject& subject, int route, std::vector<int>& into) const;
    void policies(const Subject& subject, int route, std::vector<int>& into) const;

    const Rules& rules() const { return rules_; }
    const Names& names() const { return names_; }
    const Index& route_index() const { return routes_; }
    std::size_t bytes() const;

    // The lane of a message in a limit's count: that of its guarantee, else the last.
    std::size_t lane(int limit, const Subject& subject, int route) const;
    CountKey key(int limit, const Subject& subject, int route) const;

private:
    struct Owner {  // of a guarantee: a place in the names or routes
        Dimension of;
        int place = none;
    };
    Rules rules_;
    Names names_;
    Index routes_, limits_, policies_;
    std::vector<std::vector<Owner>> owners_;  // by limit
};

}  // namespace brasslift::plan
