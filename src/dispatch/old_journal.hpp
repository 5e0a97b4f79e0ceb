// The journal that versions before 0.2 kept, read once and carried over into the store.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "dispatch/records.hpp"
#include "store/files.hpp"

namespace brasslift::dispatch {

// One of its records, applied to the messages that those before it made.
void replay_old(std::string_view record, std::map<MessageId, Owed>& into);
// The newest whole journal of the folder; false: there is none. A torn tail is passed over.
bool read_old_journal(store::Files& files, std::map<MessageId, Owed>& into);
// All of its files, unfinished copies too.
bool any_old_journal(store::Files& files);
void remove_old_journal(store::Files& files);

}  // namespace brasslift::dispatch
