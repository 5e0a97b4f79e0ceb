// Who has a vote, and how another set of voters comes about (docs/design/members.md).
#include <algorithm>

#include "members/member.hpp"

namespace brasslift::members {
namespace {

constexpr double step_again_ms = 300;
constexpr std::size_t least_voters = 2;  // between two steps

std::set<Id> ids_of(const v1::Voters& voters) {
    std::set<Id> ids;
    for (const auto& [id, folder] : voters.folder()) ids.insert(id);
    return ids;
}

std::set<Id> without(std::set<Id> roles, Id id) {
    roles.erase(id);
    return roles;
}

}  // namespace

std::set<Id> Member::voters() const {
    return agreed_.voters().folder().empty() ? table_voters_ : ids_of(agreed_.voters());
}

std::uint64_t Member::folder_of(const v1::Voters& voters, Id id) const {
    const auto found = voters.folder().find(id);
    return found == voters.folder().end() ? 0 : found->second;
}

// Whether the agreed state gives this folder its voice. That is kept in the folder, since one that starts
// again knows what is agreed only once somebody leads, for which its vote may be needed.
bool Member::is_named() const {
    const auto mine = [this](const v1::Voters& voters) {
        const auto named = voters.folder().find(self_);
        return named != voters.folder().end() && named->second == folder_;
    };
    // Named under another folder, it may have promised what it does not know of any more.
    return mine(voters().count(self_) == 0 ? agreed_.admitted() : agreed_.voters());
}

// To one that has a voice and is to keep it, if there is one.
bool Member::pass_on() {
    Id to = 0;
    for (const auto id : voters()) {
        if (id == self_ || !is_alive(id)) continue;
        const bool stays = agreed_.goal().folder().empty() || agreed_.goal().folder().count(id) != 0;
        if (to == 0 || stays) to = id;
    }
    return to != 0 && consensus_->pass_on(to);
}

bool Member::voters_settled() const {
    if (agreed_.goal().folder().empty()) return true;
    const auto now = agreed_.voters().folder();
    const auto goal = agreed_.goal().folder();
    return now.size() == goal.size() && std::all_of(goal.begin(), goal.end(), [&](const auto& one) {
               const auto found = now.find(one.first);
               return found != now.end() && found->second == one.second;
           });
}

void Member::set_voters(const std::vector<std::string>& names, std::function<void(PublishEnd)> told,
                        double now) {
    now_ = now;
    v1::Command command;
    auto& goal = *command.mutable_goal()->mutable_folder();
    for (const auto& name : names) {
        const auto id = id_of(name);
        if (names_.count(id) == 0) return told({v1::REFUSED, 0, "no member is named " + name});
        const auto sight = sights_.find(id);
        const auto was = agreed_.voters().folder().find(id);
        if (id == self_)
            goal[id] = folder_;
        else if (sight != sights_.end() && sight->second.folder != 0)
            goal[id] = sight->second.folder;
        else
            return told({v1::REFUSED, 0, name + " was not heard by " + names_[self_] + " since it began"});
        // One that has had its vote from the beginning keeps it as it is.
        const bool first = agreed_.voters().folder().empty() && table_voters_.count(id) != 0;
        const bool formed = id == self_ ? formed_ : sight->second.formed;
        if ((first || (was != agreed_.voters().folder().end() && was->second == 0)) && formed) goal[id] = 0;
    }
    if (goal.size() != names.size()) return told({v1::REFUSED, 0, "a name stands there twice"});
    if (goal.size() != 3 && goal.size() != 5)
        return told(
            {v1::REFUSED, 0, "3 or 5 members have a vote, and these are " + std::to_string(goal.size())});
    // An earlier program would take the voters' number for one of rules without any.
    for (const auto& [id, sight] : sights_)
        if (sight.knows < 2)
            return told({v1::REFUSED, 0, names_[id] + " runs a program that does not know of other voters"});
    if (!leads()) {
        const auto leader = names_.find(consensus_->leader());
        return told({v1::NO_MAJORITY, 0,
                     leader == names_.end() ? "no member leads; nothing was changed"
                                            : "ask the leader, " + leader->second});
    }
    consensus_->propose(command,
                        [told = std::move(told)](Consensus::Came came, const Agreed::Verdict& verdict) {
                            if (came == Consensus::Came::done) return told({v1::DONE, verdict.version, ""});
                            if (came == Consensus::Came::not_leader)
                                return told({v1::NO_MAJORITY, 0, "no member leads"});
                            told({v1::UNKNOWN, 0, "the leader was lost; members status tells"});
                        });
    move();
}

// Heard of late, and with a voice.
bool Member::is_alive(Id id) const {
    const auto sight = sights_.find(id);
    return sight != sights_.end() && sight->second.formed && now_ < sight->second.heard_at + terms_.lease_ms;
}

// Whether a majority of these is there without one that has not stored its admission yet, so that the step
// can be made and another leader found.
bool Member::would_hold(const std::set<Id>& roles, Id newest) const {
    const auto alive = std::count_if(roles.begin(), roles.end(), [&](Id id) {
        return id != newest && (id == self_ ? has_voice() : is_alive(id));
    });
    return roles.size() >= least_voters && static_cast<std::size_t>(alive) >= roles.size() / 2 + 1;
}

// One step towards the goal, read off what is agreed: whoever leads next goes on from there.
void Member::move_voters() {
    if (!leads() || agreed_.goal().folder().empty() || now_ < next_voters_) return;
    if (agreed_.settled() != agreed_.current() || (job_ && job_->proposed)) return;
    const auto roles = consensus_->roles();
    if (!roles) return;
    next_voters_ = now_ + step_again_ms;
    // Leases count by what Raft's configuration is before that changes again.
    if (*roles != voters()) return propose_voters(*roles);
    const auto& goal = agreed_.goal();
    const auto ids = ids_of(goal);
    const auto stays = [&](Id id) {
        return ids.count(id) != 0 && folder_of(goal, id) == folder_of(agreed_.voters(), id);
    };
    // Who is lost goes first: with one more voter beside it, all others would be needed, also the new one,
    // which does not vote before it has stored its own admission.
    for (const auto id : *roles)
        if (!stays(id) && id != self_ && !is_alive(id) && would_hold(without(*roles, id), 0))
            return consensus_->assign(id, false);
    for (const auto id : ids) {
        if (roles->count(id) != 0) continue;
        // It has its voice by the goal, and needs it once it counts.
        const auto sight = sights_.find(id);
        const bool knows = id == self_ || (is_alive(id) && sight->second.goals >= agreed_.goals() &&
                                           sight->second.applied == agreed_.current() &&
                                           sight->second.folder == folder_of(goal, id) &&
                                           sight->second.folder == folder_of(agreed_.admitted(), id));
        auto with = *roles;
        with.insert(id);
        if (knows && would_hold(with, id)) return consensus_->assign(id, true);
    }
    // The others go once the new ones are in; but another folder of one name goes before it comes.
    const bool waits =
        std::any_of(ids.begin(), ids.end(), [&](Id other) { return roles->count(other) == 0; });
    for (const auto id : *roles) {
        if (stays(id) || (waits && ids.count(id) == 0)) continue;
        if (id == self_) {
            pass_on();
            return;
        }
        if (would_hold(without(*roles, id), 0)) return consensus_->assign(id, false);
    }
    if (!voters_settled()) propose_voters(*roles);
}

void Member::propose_voters(const std::set<Id>& roles) {
    v1::Command command;
    auto& publish = *command.mutable_publish();
    publish.set_number(agreed_.current() + 1);
    auto& version = *publish.mutable_version();
    version.set_ticket("voters/" + std::to_string(publish.number()) + '/' + std::to_string(nonce_));
    version.set_who(names_[self_]);
    auto& folders = *version.mutable_voters()->mutable_folder();
    for (const auto id : roles) {
        const bool had = voters().count(id) != 0;
        folders[id] = folder_of(had ? agreed_.voters() : agreed_.admitted(), id);
    }
    consensus_->propose(command, [](Consensus::Came, const Agreed::Verdict&) {});
}

}  // namespace brasslift::members
