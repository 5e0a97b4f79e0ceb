// A member from what the operators' file and the platform say.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "members/journal.hpp"
#include "members/member.hpp"
#include "plan/rules.hpp"

namespace brasslift::members {

std::uint64_t chance();  // of the system's
// `disk_bytes`: the platform's limit; 0: not known.
Table table_of(const plan::MembersRule& rule, double disk_bytes);
// What of the stores' room is the members'; bytes of all of them.
constexpr double folder_share = 0.8;  // of the platform's limit, for all stores together
std::uint64_t budget_of(double disk_bytes);
// Throws std::runtime_error where it cannot be had.
std::unique_ptr<StoreJournal> journal_in(const std::string& state_folder, double disk_bytes,
                                         const plan::MembersRule& rule);

}  // namespace brasslift::members
