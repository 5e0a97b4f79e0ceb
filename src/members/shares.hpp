// How a limit's rate is divided among members (docs/design/shares.md). Pure: no clock, no I/O, no chance.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "brasslift/members/v1/members.pb.h"
#include "members/leases.hpp"

namespace brasslift::members {

namespace v1 = members::v1;

constexpr std::uint32_t whole_part = 1000;

// Parts of one limit by what the live members ask for, messages a second; they add up to `whole_part` at
// most.
std::map<Id, std::uint32_t> divide(double rate, const std::map<Id, double>& wanted);
// The part that a member has as long as there is no division for a limit.
std::uint32_t equal_part(std::size_t members);
// Whether it is worth a number: somebody has come or gone, or a twentieth or more changes hands.
bool differs(const v1::Division& now, const v1::Division& next);
// A member's part of a limit; nothing where there is no division for it.
const v1::Parts* parts_of(const v1::Division& division, const std::string& limit);
std::uint32_t part_in(const v1::Parts& parts, Id member);

}  // namespace brasslift::members
