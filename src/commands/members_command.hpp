// `brasslift members`, `brasslift rules` and `brasslift lists`: at the operators' address of any member, but
// for `members form`, which prepares a folder.
#pragma once

namespace brasslift::commands {

// Exit: 0 done, 1 refused with the reason, 2 misused, 3 no majority, or nobody can be reached.
int members(int argc, char** argv);
int rules(int argc, char** argv);
int lists(int argc, char** argv);

}  // namespace brasslift::commands
