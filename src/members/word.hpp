// What members know of discovery's list, from their own agents and from each other
// (docs/design/discovery-word.md). Pure: no clock, no I/O. One thread. Memory: a line for each endpoint, and
// for some that are gone.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "brasslift/members/v1/members.pb.h"

namespace brasslift::members {

namespace v1 = members::v1;

class Word {
public:
    enum State : std::uint32_t { ready = 1, terminating = 2, gone = 3 };
    static constexpr std::size_t most_gone = 4096;  // that are remembered

    // What was heard, from this member's own agent or from another one: the lines that are news here, in the
    // order of their uids. Older lines than what is known change nothing.
    std::vector<v1::Host> hear(const v1::ListWord& word);
    // Up to which all is known that discovery has said.
    std::uint32_t rev() const { return rev_; }
    // Whether what lies between is missing, so that a word leaves this member where it was.
    bool leaves_gap(const v1::ListWord& word) const { return !word.whole() && word.after() > rev_; }
    // What came after a revision; all where what has gone since is not remembered.
    v1::ListWord since(std::uint32_t after) const;
    std::size_t size() const { return hosts_.size(); }
    const v1::Host* find(const std::string& uid) const;

private:
    void take(const v1::Host& host, std::vector<v1::Host>& news);
    void forget_gone();

    std::map<std::string, v1::Host> hosts_;
    std::set<std::pair<std::uint32_t, std::string>> gone_;  // by revision
    std::uint32_t rev_ = 0;
    std::uint32_t forgotten_ = 0;  // the highest revision of one that is gone and not remembered
};

}  // namespace brasslift::members
