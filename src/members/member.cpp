#include "members/member.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace brasslift::members {
namespace {

constexpr double settle_again_ms = 200, begin_again_ms = 500, pass_again_ms = 2000;

}  // namespace

std::string text_of(std::uint64_t version) { return "version " + std::to_string(version); }

Id id_of(const std::string& name) {
    const auto hash = XXH64(name.data(), name.size(), 0);
    return hash == 0 ? 1 : hash;
}

Member::Member(const Table& table, Id self, Journal& journal, Judge& judge, std::uint64_t seed,
               std::uint64_t folder, bool formed)
    : table_(table),
      self_(self),
      terms_(terms_for(table.contradiction_ms)),
      judge_(judge),
      folder_(folder),
      formed_(formed),
      nonce_(std::mt19937_64(seed)()),
      journal_(journal),
      consensus_(std::make_unique<Consensus>(self, "", journal, agreed_, seed)),
      holder_(terms_),
      settling_(ids(), terms_) {
    for (const auto& peer : table_.peers) {
        names_[peer.id] = peer.name;
        if (peer.voter) table_voters_.insert(peer.id);
    }
    holder_.voters(0, table_voters_);
}

std::set<Id> Member::ids() const {
    std::set<Id> ids;
    for (const auto& peer : table_.peers) ids.insert(peer.id);
    return ids;
}

bool Member::start(double now) {
    now_ = now;
    if (!consensus_->start(now)) return false;
    move();
    return true;
}

void Member::tick(double now) {
    now_ = now;
    consensus_->give_voice(has_voice());
    consensus_->tick(now);
    if (consensus_->given_up()) begin_again();
    move();
}

// libraft takes some faults, such as a failed write of its vote, for its end. What it has promised is in the
// journal, so it begins from there as after a restart; a lease is kept, since it never was libraft's.
void Member::begin_again() {
    if (now_ < next_beginning_) return;
    next_beginning_ = now_ + begin_again_ms;
    ++beginnings_;
    gave_up_ = consensus_->fault();
    if (job_ && job_->proposed)
        end_job({v1::UNKNOWN, 0, "the leader was lost; rules status tells by the digest"});
    consensus_.reset();
    agreed_ = {};
    consensus_ = std::make_unique<Consensus>(self_, "", journal_, agreed_, nonce_ + beginnings_);
    plant(planted_);
    consensus_->start(now_);
}

void Member::receive(Id from, const v1::Frame& frame, double now) {
    now_ = now;
    if (names_.count(from) == 0 || from == self_) return;
    consensus_->give_voice(has_voice());
    switch (frame.what_case()) {
        case v1::Frame::kRaft: consensus_->receive(from, names_[from], frame.raft(), now); break;
        case v1::Frame::kRenew: on(from, frame.renew()); break;
        case v1::Frame::kRenewed: on(from, frame.renewed()); break;
        case v1::Frame::kPublishing: on(from, frame.publishing()); break;
        case v1::Frame::kPublished: on(from, frame.published()); break;
        case v1::Frame::kCheck: on(from, frame.check()); break;
        case v1::Frame::kChecked: on(from, frame.checked()); break;
        case v1::Frame::kListWord: on(from, frame.list_word()); break;
        case v1::Frame::kAskWord: on(from, frame.ask_word()); break;
        case v1::Frame::WHAT_NOT_SET: break;  // of a later program
    }
    move();
}

void Member::send(Id to, v1::Frame frame) {
    if (to != self_) outgoing_.emplace_back(to, std::move(frame));
}

// Everything that follows from what has been told and from the time.
void Member::move() {
    if (!formed_ && is_named() && journal_.mark_formed()) formed_ = true;
    look_for_versions();
    use_parts();
    renew();
    settle();
    if (consensus_->has_lost_follower() && now_ >= next_pass_ && consensus_->roles() == voters()) {
        next_pass_ = now_ + pass_again_ms;
        pass_on();
    }
    move_voters();
    work_off();
    divide_limits();
    for (auto& [to, raft] : consensus_->take_outgoing()) {
        v1::Frame frame;
        *frame.mutable_raft() = std::move(raft);
        send(to, std::move(frame));
    }
}

void Member::look_for_versions() {
    const auto current = agreed_.current();
    if (current > judged_) {
        trouble_ = judge_agreed();
        judged_ = current;
        holder_.voters(current, voters());
        if (!trouble_.empty()) trouble_ = text_of(current) + ": " + trouble_;
        settling_.learned(current, now_);
    }
    // It asks for what it is to act on next at once, and acts on it once a majority has said yes.
    const auto wanted = trouble_.empty() ? current : acting_;
    if (wanted > asked_for_) {
        asked_for_ = wanted;
        next_renewal_ = now_;
    }
    if (wanted > acting_ && holder_.may(wanted, now_)) {
        // The core may act on the version that is left until its next turn, within that one's lease.
        holder_.forget_before(acting_);
        acting_ = wanted;
        next_renewal_ = now_;  // so that the voters hear of it
    }
}

const v1::RuleSet* Member::rules_agreed() const {
    const auto* const version = agreed_.find(agreed_.rules());
    return version == nullptr ? nullptr : &version->rules();
}

// Whether it can work with what is agreed; of lists, what it has not judged before.
std::string Member::judge_agreed() {
    const auto* const rules = rules_agreed();
    if (agreed_.rules() > judged_rules_) {
        judged_rules_ = agreed_.rules();
        rules_trouble_ = rules == nullptr ? text_of(judged_rules_) + " is not here"
                                          : judge_.rules(*rules, agreed_.lists());
    }
    const auto changes = agreed_.changes_since(lists_trouble_.empty() ? judged_ : 0);
    lists_trouble_.clear();
    for (const auto& change : changes)
        if (lists_trouble_.empty()) lists_trouble_ = judge_.change(change, rules);
    return rules_trouble_.empty() ? lists_trouble_ : rules_trouble_;
}

void Member::renew() {
    if (now_ < next_renewal_) return;
    next_renewal_ = now_ + terms_.renew_ms;
    v1::Renew renew;
    renew.set_version(std::max(asked_for_, acting_));
    // The ask's own instant comes back with the answer, so that nobody has to remember it.
    renew.set_asked(static_cast<std::uint64_t>(now_));
    renew.set_acting(acting_);
    renew.set_applied(agreed_.current());
    renew.set_trouble(trouble_);
    renew.set_nonce(nonce_);
    renew.set_knows(table_.knows);
    renew.set_list_rev(word_.rev());
    renew.set_folder(folder_);
    renew.set_goals(agreed_.goals());
    renew.set_formed(formed_);
    for (const auto& demand : demands_) *renew.add_demand() = demand;
    settling_.acts(self_, acting_);
    for (const auto voter : voters()) {
        v1::Frame frame;
        *frame.mutable_renew() = renew;
        send(voter, std::move(frame));
    }
    // Its own voice counts as any other: by what its journal has stored.
    if (has_voice() && consensus_->latest_stored() <= renew.version())
        holder_.granted(self_, renew.version(), static_cast<double>(renew.asked()));
}

void Member::on(Id from, const v1::Renew& renew) {
    auto& sight = sights_[from];
    sight = {now_,          renew.acting(), renew.applied(), renew.trouble(),
             renew.knows(), renew.folder(), renew.goals(),   {},
             renew.formed()};
    for (const auto& demand : renew.demand()) sight.demands[demand.limit()] = demand.wanted();
    settling_.acts(from, renew.acting());
    see_list(from, renew.list_rev());
    if (voters().count(self_) == 0) return;
    v1::Frame frame;
    auto& answer = *frame.mutable_renewed();
    answer.set_version(renew.version());
    answer.set_asked(renew.asked());
    answer.set_nonce(renew.nonce());
    answer.set_list_rev(word_.rev());
    const bool voice = has_voice();
    const auto latest = consensus_->latest_stored();
    answer.set_latest(latest);
    answer.set_granted(voice && (latest <= renew.version() || planted_.grants_always));
    if (!answer.granted()) {
        ++refused_renewals_;
        answer.set_why(voice ? text_of(latest) + " is stored here"
                             : "this voter's folder is not the one that was agreed on");
    }
    send(from, std::move(frame));
}

void Member::on(Id from, const v1::Renewed& renewed) {
    // An answer to an earlier process of this name, whose clock may have been another one, is none.
    if (renewed.nonce() != nonce_) return;
    see_list(from, renewed.list_rev());
    const auto asked_at = planted_.lease_from_answer ? now_ : static_cast<double>(renewed.asked());
    if (!renewed.granted() || asked_at > now_) return;
    if (renewed.version() >= acting_) holder_.granted(from, renewed.version(), asked_at);
}

void Member::settle() {
    if (!leads() || agreed_.settled() == agreed_.current() || now_ < next_settle_) return;
    if (settling_.version() != agreed_.current()) return;
    if (!settling_.settled(now_) && !planted_.settles_at_once) return;
    next_settle_ = now_ + settle_again_ms;
    v1::Command command;
    command.mutable_settle()->set_version(agreed_.current());
    consensus_->propose(command, [](Consensus::Came, const Agreed::Verdict&) {});
}

}  // namespace brasslift::members
