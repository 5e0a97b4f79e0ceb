// The state that the agreed log's entries make: the versions of the rule set, which one is current and which
// one is settled. Pure and the same at every member: no clock, no I/O, no chance.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "brasslift/members/v1/members.pb.h"

namespace brasslift::members {

namespace v1 = members::v1;

// Of a rule set's files, in their order; hexadecimal.
std::string digest_of(const v1::RuleSet& rules);
std::size_t bytes_of(const v1::RuleSet& rules);

class Agreed {
public:
    // The oldest versions go beyond these, but never the current one and the one before it.
    static constexpr std::size_t most_versions = 64, most_bytes = 2 << 20;

    struct Verdict {
        bool taken = false;
        std::uint64_t version = 0;  // that it is, or that stands in its way
        std::string why;            // where it was not taken
    };
    // One entry, in the log's order. An entry that cannot be read changes nothing.
    Verdict apply(const v1::Command& command);

    // 0: nothing was ever published, and there are no rules.
    std::uint64_t current() const { return current_; }
    // Nobody acts on a version before this one.
    std::uint64_t settled() const { return settled_; }
    const v1::Version* find(std::uint64_t number) const;
    const v1::Version* by_ticket(const std::string& ticket) const;
    const std::map<std::uint64_t, v1::Version>& versions() const { return versions_; }

    std::string save() const;
    bool load(const std::string& bytes);

private:
    Verdict publish(const v1::Publish& publish);
    void forget_old();

    std::uint64_t current_ = 0, settled_ = 0;
    std::map<std::uint64_t, v1::Version> versions_;
};

}  // namespace brasslift::members
