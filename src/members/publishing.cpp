// A member's publishes: asked for at any of them, worked off at the leader.
#include <algorithm>

#include "members/member.hpp"

namespace brasslift::members {
namespace {

// A publish waits so long at most for the version before it, its checks and its majority.
constexpr double publish_ms = 8000, check_ms = 1000, try_again_ms = 300;
constexpr std::size_t most_jobs = 16;

}  // namespace

// Whether this member could take what is still to be agreed on; empty: it could.

std::string Member::judge(const v1::RuleSet& rules) {
    if (const auto bytes = bytes_of(rules); bytes > table_.most_rules_bytes)
        return "a rule set has " + std::to_string(table_.most_rules_bytes) +
               " bytes at most here, and this one " + std::to_string(bytes);
    return judge_.rules(rules, agreed_.lists());
}

std::string Member::judge(const v1::ListChange& change) {
    if (auto why = agreed_.lists().judge(change, &table_.lists); !why.empty()) return why;
    return judge_.change(change, rules_agreed());
}

std::string Member::judge(const v1::Version& version) {
    return version.has_change() ? judge(version.change()) : judge(version.rules());
}

// A program of before lists would take a change of one for rules: all have to have said that theirs is not,
// if only once.
std::string Member::unknowing() const {
    for (const auto& peer : table_.peers) {
        if (peer.id == self_) continue;
        const auto sight = sights_.find(peer.id);
        if (sight == sights_.end())
            return peer.name + " was not heard since " + names_.at(self_) +
                   " began, so that it is not known whether its program has lists";
        if (sight->second.knows == 0) return peer.name + " runs a program that has no lists";
    }
    return {};
}

// Publishing, where it was asked for.

void Member::publish(v1::Version version, std::uint64_t base, std::function<void(PublishEnd)> told,
                     double now) {
    now_ = now;
    if (auto why = judge(version); !why.empty()) return told({v1::REFUSED, 0, std::move(why)});
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
    if (const auto known = agreed_.by_ticket(ticket); known && leads())
        return answer(from, ticket, {v1::DONE, *known, ""});
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
    const auto& version = job_->publishing.version();
    if (now_ >= job_->until)
        return end_job({v1::REFUSED, agreed_.current(),
                        text_of(agreed_.current()) + " is still being switched to; come again"});
    // Whoever is silent for so long has no lease soon, and none on the new version before it has compiled it.
    if (!job_->waits_for.empty() && now_ < job_->check_until) return;
    // What will be refused need not wait for that.
    const bool follows = version.has_change() ? agreed_.lists().judge(version.change(), nullptr).empty()
                                              : job_->publishing.base() == agreed_.rules();
    if (follows && agreed_.settled() != agreed_.current()) return;
    propose();
}

void Member::ask_leader() {
    for (auto at = asked_.begin(); at != asked_.end();) {
        auto& asked = at->second;
        if (const auto known = agreed_.by_ticket(at->first)) {
            const auto told = std::move(asked.told);
            at = asked_.erase(at);
            told({v1::DONE, *known, ""});
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
    if (auto why = judge(version); !why.empty()) return end_job({v1::REFUSED, 0, names_[self_] + ": " + why});
    // The first change of all decides: whoever has applied one knows lists.
    if (version.has_change() && agreed_.lists().all().empty())
        if (auto why = unknowing(); !why.empty()) return end_job({v1::REFUSED, 0, std::move(why)});
    job_->check_until = now_ + check_ms;
    v1::Frame frame;
    auto& check = *frame.mutable_check();
    check.set_ticket(version.ticket());
    if (version.has_change())
        *check.mutable_change() = version.change();
    else
        *check.mutable_rules() = version.rules();
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
    const auto why = check.has_change() ? judge(check.change()) : judge(check.rules());
    checked.set_good(why.empty());
    checked.set_why(why);
    send(from, std::move(frame));
}

void Member::on(Id from, const v1::Checked& checked) {
    if (!job_ || job_->proposed || job_->publishing.version().ticket() != checked.ticket()) return;
    if (!checked.good()) return end_job({v1::REFUSED, 0, names_[from] + ": " + checked.why()});
    job_->waits_for.erase(from);
}

// What does not fit into one entry of the log goes before it in parts, of which the publish says how many
// there are; they are agreed in this order or the publish finds that one is missing.
void Member::propose_parts(v1::ListChange& change, const std::string& ticket) {
    if (bytes_of(change) <= table_.most_part_bytes) return;
    v1::Command command;
    std::size_t bytes = 0;
    const auto hand_over = [&] {
        auto& part = *command.mutable_part();
        part.set_ticket(ticket);
        part.set_index(change.parts());
        change.set_parts(change.parts() + 1);
        consensus_->propose(command, [](Consensus::Came, const Agreed::Verdict&) {});
        command.Clear();
        bytes = 0;
    };
    const auto count = [&](const std::string& key) {
        constexpr std::size_t beside = 16;
        bytes += key.size() + beside;
        if (bytes > table_.most_part_bytes) hand_over();
    };
    for (auto& entry : *change.mutable_put()) {
        count(entry.key());
        *command.mutable_part()->mutable_change()->add_put() = std::move(entry);
    }
    for (auto& key : *change.mutable_drop()) {
        count(key);
        command.mutable_part()->mutable_change()->add_drop(std::move(key));
    }
    hand_over();
    change.clear_put();
    change.clear_drop();
}

void Member::propose() {
    job_->proposed = true;
    const auto ticket = job_->publishing.version().ticket();
    v1::Command command;
    auto& publish = *command.mutable_publish();
    *publish.mutable_version() = job_->publishing.version();
    publish.set_base(job_->publishing.base());
    publish.set_number(agreed_.current() + 1);
    if (publish.version().has_change()) propose_parts(*publish.mutable_version()->mutable_change(), ticket);
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
