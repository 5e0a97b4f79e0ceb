// Named lists between their files, the rules that declare them and the members.
#pragma once

#include <string>

#include "brasslift/members/v1/members.pb.h"
#include "config/config.hpp"
#include "lang/list_file.hpp"
#include "members/lists.hpp"
#include "plan/lists.hpp"

namespace brasslift::commands {

// What a rule set declares.
struct Declared {
    std::vector<plan::ListRule> lists;
    lang::DestinationNames names;
    const plan::ListRule* find(const std::string& name) const;
};
Declared declared_in(const members::v1::RuleSet& rules, const config::Config& config);

// Why a change cannot be worked with beside these rules on this platform; empty: it can.
std::string judge_change(const members::v1::ListChange& change, const Declared& declared,
                         const config::Config& config);
// Why rules cannot be worked with beside the lists that there are; empty: they can.
std::string judge_lists(const std::vector<plan::ListRule>& declared, const members::Lists& lists);

// Lines that begin with + or - apart; each keeps its place, with a blank for its sign. False: another line.
bool split_change(const std::string& lines, std::string& put, std::string& drop);

plan::ListChange to_plan(const members::v1::ListChange& change);

}  // namespace brasslift::commands
