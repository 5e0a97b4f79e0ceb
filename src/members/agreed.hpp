// The state that the agreed log's entries make: rules and lists, each publish under the next number of one
// sequence, which number is current and which one is settled. Pure and the same at every member: no clock, no
// I/O, no chance.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "brasslift/members/v1/members.pb.h"
#include "members/lists.hpp"

namespace brasslift::members {

namespace v1 = members::v1;

// Of a rule set's files, in their order; hexadecimal.
std::string digest_of(const v1::RuleSet& rules);
std::size_t bytes_of(const v1::RuleSet& rules);

class Agreed {
public:
    // The oldest rule sets go beyond these, but never those that hold and the ones before them; and the
    // oldest changes of lists beyond theirs.
    static constexpr std::size_t most_versions = 64, most_bytes = 2 << 20;
    static constexpr std::size_t most_changes = 256, most_change_bytes = 512 << 10;
    // A change whose parts have come and whose publish has not after so many entries more will not be.
    static constexpr std::uint32_t most_staged_age = 64;

    struct Verdict {
        bool taken = false;
        std::uint64_t version = 0;  // that it is, or that stands in its way
        std::string why;            // where it was not taken
    };
    // One entry, in the log's order. An entry that cannot be read changes nothing.
    Verdict apply(const v1::Command& command);

    // The number of the latest publish; 0: nothing was ever published, and there are no rules.
    std::uint64_t current() const { return current_; }
    // Nobody acts on a number before this one.
    std::uint64_t settled() const { return settled_; }
    // The number under which the rules that hold were published; 0: there are none.
    std::uint64_t rules() const { return rules_; }
    const Lists& lists() const { return lists_; }
    // A publish of rules or of a change, while it is kept.
    const v1::Version* find(std::uint64_t number) const;
    // The number that a publish got; nothing where it is not known (yet, or any more).
    std::optional<std::uint64_t> by_ticket(const std::string& ticket) const;
    const std::map<std::uint64_t, v1::Version>& versions() const { return versions_; }
    // What leads the lists from a number to the current one: each change, or the whole list where one of them
    // is not kept any more.
    std::vector<v1::ListChange> changes_since(std::uint64_t number) const;
    // Who has a vote as of the current number, and who is to have one; without entries: as the table has it.
    const v1::Voters& voters() const { return voters_; }
    const v1::Voters& goal() const { return goal_; }
    // Who may have been let in since: by this goal or one before it, under the folder that came first.
    const v1::Voters& admitted() const { return admitted_; }
    std::uint64_t goals() const { return goals_; }
    // Who has which part of the limits that are shared, before and after the latest division; its number.
    const v1::Division& division() const { return division_; }
    const v1::Division& division_before() const { return division_before_; }
    std::uint64_t division_number() const { return division_number_; }
    std::size_t staged_parts() const { return staged_parts_; }

    std::string save() const;
    bool load(const std::string& bytes);

private:
    Verdict publish(const v1::Publish& publish);
    Verdict stage(const v1::Part& part);
    std::string judge(const v1::Publish& publish) const;
    void forget_old();
    void forget_staged();

    std::uint64_t current_ = 0, settled_ = 0, rules_ = 0;
    v1::Voters voters_, goal_, admitted_;
    v1::Division division_, division_before_;
    std::uint64_t division_number_ = 0;
    std::uint64_t goals_ = 0;
    std::uint64_t forgotten_ = 0;  // the latest number whose change is not kept any more
    std::map<std::uint64_t, v1::Version> versions_;
    Lists lists_;
    v1::ListChange staged_;
    std::string staged_ticket_;
    std::uint32_t staged_parts_ = 0, staged_age_ = 0;
};

}  // namespace brasslift::members
