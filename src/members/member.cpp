#include "members/member.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace brasslift::members {
namespace {

// A publish waits so long at most for the version before it, its checks and its majority.
constexpr double publish_ms = 8000, check_ms = 1000, try_again_ms = 300, settle_again_ms = 200,
                 begin_again_ms = 500;
constexpr std::size_t most_jobs = 16;

std::string text_of(std::uint64_t version) { return "version " + std::to_string(version); }

}  // namespace

Id id_of(const std::string& name) {
    const auto hash = XXH64(name.data(), name.size(), 0);
    return hash == 0 ? 1 : hash;
}

Member::Member(const Table& table, Id self, Journal& journal, Compile compile, std::uint64_t seed,
               bool takes_part)
    : table_(table),
      self_(self),
      terms_(terms_for(table.contradiction_ms)),
      compile_(std::move(compile)),
      takes_part_(takes_part),
      nonce_(std::mt19937_64(seed)()),
      journal_(journal),
      consensus_(std::make_unique<Consensus>(self, "", journal, agreed_, seed)),
      holder_(static_cast<std::size_t>(std::count_if(table.peers.begin(), table.peers.end(),
                                                     [](const auto& p) { return p.voter; })) /
                      2 +
                  1,
              terms_),
      settling_(ids(), terms_) {
    for (const auto& peer : table_.peers) {
        names_[peer.id] = peer.name;
        if (peer.voter) voters_.insert(peer.id);
    }
}

std::set<Id> Member::ids() const {
    std::set<Id> ids;
    for (const auto& peer : table_.peers) ids.insert(peer.id);
    return ids;
}

bool Member::start(double now) {
    now_ = now;
    if (takes_part_ && !consensus_->start(now)) return false;
    move();
    return true;
}

void Member::tick(double now) {
    now_ = now;
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
    if (job_ && job_->proposed)
        end_job({v1::UNKNOWN, 0, "the leader was lost; rules status tells by the digest"});
    consensus_.reset();
    agreed_ = {};
    consensus_ = std::make_unique<Consensus>(self_, "", journal_, agreed_, nonce_ + beginnings_);
    consensus_->start(now_);
}

void Member::receive(Id from, const v1::Frame& frame, double now) {
    now_ = now;
    if (names_.count(from) == 0 || from == self_) return;
    switch (frame.what_case()) {
        case v1::Frame::kRaft: consensus_->receive(from, names_[from], frame.raft(), now); break;
        case v1::Frame::kRenew: on(from, frame.renew()); break;
        case v1::Frame::kRenewed: on(from, frame.renewed()); break;
        case v1::Frame::kPublishing: on(from, frame.publishing()); break;
        case v1::Frame::kPublished: on(from, frame.published()); break;
        case v1::Frame::kCheck: on(from, frame.check()); break;
        case v1::Frame::kChecked: on(from, frame.checked()); break;
        case v1::Frame::WHAT_NOT_SET: break;  // of a later program
    }
    move();
}

void Member::send(Id to, v1::Frame frame) {
    if (to != self_) outgoing_.emplace_back(to, std::move(frame));
}

// Everything that follows from what has been told and from the time.
void Member::move() {
    look_for_versions();
    renew();
    settle();
    work_off();
    for (auto& [to, raft] : consensus_->take_outgoing()) {
        v1::Frame frame;
        *frame.mutable_raft() = std::move(raft);
        send(to, std::move(frame));
    }
}

void Member::look_for_versions() {
    const auto current = agreed_.current();
    if (current > judged_) {
        judged_ = current;
        const auto* const version = agreed_.find(current);
        trouble_ = version == nullptr ? text_of(current) + " is not here" : compile_(version->rules());
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
    settling_.acts(self_, acting_);
    for (const auto voter : voters_) {
        v1::Frame frame;
        *frame.mutable_renew() = renew;
        send(voter, std::move(frame));
    }
    // Its own voice counts as any other: by what its journal has stored.
    if (is_voter(self_) && takes_part_ && consensus_->latest_stored() <= renew.version())
        holder_.granted(self_, renew.version(), static_cast<double>(renew.asked()));
}

void Member::on(Id from, const v1::Renew& renew) {
    auto& sight = sights_[from];
    sight = {now_, renew.acting(), renew.applied(), renew.trouble()};
    settling_.acts(from, renew.acting());
    if (!is_voter(self_)) return;
    v1::Frame frame;
    auto& answer = *frame.mutable_renewed();
    answer.set_version(renew.version());
    answer.set_asked(renew.asked());
    answer.set_nonce(renew.nonce());
    const auto latest = takes_part_ ? consensus_->latest_stored() : 0;
    answer.set_latest(latest);
    answer.set_granted(takes_part_ && (latest <= renew.version() || planted_.grants_always));
    if (!answer.granted()) {
        ++refused_renewals_;
        answer.set_why(takes_part_ ? text_of(latest) + " is stored here"
                                   : "this voter's folder was not formed");
    }
    send(from, std::move(frame));
}

void Member::on(Id from, const v1::Renewed& renewed) {
    // An answer to an earlier process of this name, whose clock may have been another one, is none.
    if (renewed.nonce() != nonce_) return;
    const auto asked_at = planted_.lease_from_answer ? now_ : static_cast<double>(renewed.asked());
    if (!is_voter(from) || !renewed.granted() || asked_at > now_) return;
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

// Whether this member could take a rule set that is still to be agreed on; empty: it could.
std::string Member::judge(const v1::RuleSet& rules) const {
    if (bytes_of(rules) > table_.most_rules_bytes)
        return "a rule set has " + std::to_string(table_.most_rules_bytes) +
               " bytes at most here, and this one " + std::to_string(bytes_of(rules));
    return compile_(rules);
}

// Publishing, where it was asked for.

void Member::publish(v1::Version version, std::uint64_t base, std::function<void(PublishEnd)> told,
                     double now) {
    now_ = now;
    if (auto why = judge(version.rules()); !why.empty()) return told({v1::REFUSED, 0, std::move(why)});
    Asked asked;
    asked.publishing.set_base(base);
    const auto ticket = version.ticket();
    *asked.publishing.mutable_version() = std::move(version);
    asked.told = std::move(told);
    asked.until = now + publish_ms;
    asked_[ticket] = std::move(asked);
    move();
}

void Member::on(Id, const v1::Published& published) {
    const auto found = asked_.find(published.ticket());
    if (found == asked_.end()) return;
    auto& asked = found->second;
    // Whoever led does not lead any more: another one is asked. The same ticket twice is one publish.
    if (published.came() == v1::NO_MAJORITY || published.came() == v1::UNKNOWN) {
        asked.next_try = now_ + try_again_ms;
        return;
    }
    // Told once this member knows it too, so that whoever publishes next here stands on it.
    if (published.came() == v1::DONE && agreed_.current() < published.version()) {
        asked.end = {v1::DONE, published.version(), ""};
        asked.next_try = asked.until;
        return;
    }
    const auto told = std::move(asked.told);
    asked_.erase(found);
    told({published.came(), published.version(), published.why()});
}

// And where it is worked off: at the leader, one after the other.

void Member::on(Id from, const v1::Publishing& publishing) {
    const auto& ticket = publishing.version().ticket();
    if (const auto* const known = agreed_.by_ticket(ticket); known != nullptr && leads())
        return answer(from, ticket, {v1::DONE, known->number(), ""});
    if (!leads()) return answer(from, ticket, {v1::NO_MAJORITY, 0, ""});
    const auto same = [&](const Job& job) { return job.publishing.version().ticket() == ticket; };
    if ((job_ && same(*job_)) || std::any_of(jobs_.begin(), jobs_.end(), same)) return;
    if (jobs_.size() >= most_jobs)
        return answer(from, ticket, {v1::REFUSED, 0, "too many publishes wait; come again"});
    Job job;
    job.from = from;
    job.publishing = publishing;
    job.until = now_ + publish_ms;
    jobs_.push_back(std::move(job));
}

void Member::answer(Id to, const std::string& ticket, const PublishEnd& end) {
    v1::Published published;
    published.set_ticket(ticket);
    published.set_came(end.came);
    published.set_version(end.version);
    published.set_why(end.why);
    if (to == self_) return on(self_, published);
    v1::Frame frame;
    *frame.mutable_published() = std::move(published);
    send(to, std::move(frame));
}

void Member::end_job(const PublishEnd& end) {
    const auto job = std::move(*job_);
    job_.reset();
    answer(job.from, job.publishing.version().ticket(), end);
}

void Member::work_off() {
    ask_leader();
    if (!leads()) {
        // What was proposed may still be agreed; its own callback says so. The rest changes nothing.
        if (job_ && !job_->proposed) end_job({v1::NO_MAJORITY, 0, ""});
        for (const auto& job : std::exchange(jobs_, {}))
            answer(job.from, job.publishing.version().ticket(), {v1::NO_MAJORITY, 0, ""});
        return;
    }
    if (!job_ && !jobs_.empty()) {
        job_ = std::move(jobs_.front());
        jobs_.erase(jobs_.begin());
        begin_check();
    }
    if (!job_ || job_->proposed) return;
    if (now_ >= job_->until)
        return end_job({v1::REFUSED, agreed_.current(),
                        text_of(agreed_.current()) + " is still being switched to; come again"});
    // Whoever is silent for so long has no lease soon, and none on the new version before it has compiled it.
    if (!job_->waits_for.empty() && now_ < job_->check_until) return;
    if (job_->publishing.base() == agreed_.current() && agreed_.settled() != agreed_.current()) return;
    propose();
}

void Member::ask_leader() {
    for (auto at = asked_.begin(); at != asked_.end();) {
        auto& asked = at->second;
        if (const auto* const known = agreed_.by_ticket(at->first); known != nullptr) {
            const auto told = std::move(asked.told);
            const auto number = known->number();
            at = asked_.erase(at);
            told({v1::DONE, number, ""});
            continue;
        }
        if (now_ >= asked.until) {
            const auto told = std::move(asked.told);
            const PublishEnd silent =
                asked.sent ? PublishEnd{v1::UNKNOWN, 0, "no answer in time; rules status tells by the digest"}
                           : PublishEnd{v1::NO_MAJORITY, 0, "no member leads; nothing was changed"};
            const auto end = asked.end.value_or(silent);
            at = asked_.erase(at);
            told(end);
            continue;
        }
        ++at;
        const auto leader = consensus_->leader();
        if (leader == 0 || now_ < asked.next_try) continue;
        asked.next_try = now_ + check_ms;
        asked.sent = true;
        if (leader == self_) {
            on(self_, v1::Publishing(asked.publishing));
            continue;
        }
        v1::Frame frame;
        *frame.mutable_publishing() = asked.publishing;
        send(leader, std::move(frame));
    }
}

void Member::begin_check() {
    const auto& version = job_->publishing.version();
    if (auto why = judge(version.rules()); !why.empty())
        return end_job({v1::REFUSED, 0, names_[self_] + ": " + why});
    job_->check_until = now_ + check_ms;
    v1::Frame frame;
    frame.mutable_check()->set_ticket(version.ticket());
    *frame.mutable_check()->mutable_rules() = version.rules();
    for (const auto& [id, sight] : sights_) {
        if (now_ > sight.heard_at + terms_.lease_ms) continue;
        job_->waits_for.insert(id);
        send(id, frame);
    }
}

void Member::on(Id from, const v1::Check& check) {
    v1::Frame frame;
    auto& checked = *frame.mutable_checked();
    checked.set_ticket(check.ticket());
    const auto why = judge(check.rules());
    checked.set_good(why.empty());
    checked.set_why(why);
    send(from, std::move(frame));
}

void Member::on(Id from, const v1::Checked& checked) {
    if (!job_ || job_->proposed || job_->publishing.version().ticket() != checked.ticket()) return;
    if (!checked.good()) return end_job({v1::REFUSED, 0, names_[from] + ": " + checked.why()});
    job_->waits_for.erase(from);
}

void Member::propose() {
    job_->proposed = true;
    v1::Command command;
    *command.mutable_publish()->mutable_version() = job_->publishing.version();
    command.mutable_publish()->set_base(job_->publishing.base());
    const auto ticket = job_->publishing.version().ticket();
    consensus_->propose(command, [this, ticket](Consensus::Came came, const Agreed::Verdict& verdict) {
        if (!job_ || job_->publishing.version().ticket() != ticket) return;
        switch (came) {
            case Consensus::Came::not_leader: return end_job({v1::NO_MAJORITY, 0, ""});
            case Consensus::Came::lost:
                return end_job({v1::UNKNOWN, 0, "the leader was lost; rules status tells by the digest"});
            case Consensus::Came::done:
                return end_job({verdict.taken ? v1::DONE : v1::REFUSED, verdict.version, verdict.why});
        }
    });
}

}  // namespace brasslift::members
