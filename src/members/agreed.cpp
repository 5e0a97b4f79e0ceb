#include "members/agreed.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace brasslift::members {

std::string digest_of(const v1::RuleSet& rules) {
    std::string all;
    for (const auto& file : rules.file())
        for (const std::string* part : {&file.path(), &file.text()})
            all += std::to_string(part->size()) + ':' + *part;
    const auto hash = XXH3_128bits(all.data(), all.size());
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text;
}

std::size_t bytes_of(const v1::RuleSet& rules) {
    std::size_t bytes = 0;
    for (const auto& file : rules.file()) bytes += file.path().size() + file.text().size();
    return bytes;
}

const v1::Version* Agreed::find(std::uint64_t number) const {
    const auto found = versions_.find(number);
    return found == versions_.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> Agreed::by_ticket(const std::string& ticket) const {
    for (const auto& [number, version] : versions_)
        if (version.ticket() == ticket) return number;
    // A large change is not kept; that it was made is.
    for (const auto& [name, list] : lists_.all())
        if (list.ticket == ticket) return list.number;
    return std::nullopt;
}

Agreed::Verdict Agreed::apply(const v1::Command& command) {
    if (command.has_part()) return stage(command.part());
    if (!staged_ticket_.empty() && ++staged_age_ > most_staged_age) forget_staged();
    if (command.has_publish()) return publish(command.publish());
    if (command.has_goal()) {
        goal_ = command.goal();
        for (const auto& [id, folder] : goal_.folder()) admitted_.mutable_folder()->insert({id, folder});
        ++goals_;
        return {true, current_, ""};
    }
    if (!command.has_settle()) return {false, current_, "an entry of a later program"};
    const auto version = command.settle().version();
    if (version != current_) return {false, current_, "another version is current"};
    settled_ = version;
    return {true, version, ""};
}

// Parts come in their order or count for nothing; the first one takes the place of whatever was begun.
Agreed::Verdict Agreed::stage(const v1::Part& part) {
    if (part.index() == 0) {
        forget_staged();
        staged_ticket_ = part.ticket();
    }
    if (part.ticket() != staged_ticket_ || part.index() != staged_parts_)
        return {false, current_, "a part of a change that is not being made"};
    ++staged_parts_;
    staged_age_ = 0;
    staged_.mutable_put()->MergeFrom(part.change().put());
    staged_.mutable_drop()->MergeFrom(part.change().drop());
    return {true, current_, ""};
}

void Agreed::forget_staged() {
    staged_.Clear();
    staged_ticket_.clear();
    staged_parts_ = staged_age_ = 0;
}

// Why it does not become the next version; empty: it does.
std::string Agreed::judge(const v1::Publish& publish) const {
    const auto& version = publish.version();
    if (version.has_change()) {
        if (auto why = lists_.judge(version.change(), nullptr); !why.empty()) return why;
        if (const auto parts = version.change().parts();
            parts > 0 && (staged_ticket_ != version.ticket() || staged_parts_ != parts))
            return "not all parts of the change are here; publish again";
    } else if (version.has_voters() || version.has_division()) {
        // Whoever leads publishes them as they are by now.
    } else if (publish.base() != rules_) {
        const auto* const now = find(rules_);
        return "version " + std::to_string(rules_) + " by " + (now == nullptr ? "nobody" : now->who()) +
               " came first; look at it and publish again";
    }
    if (settled_ != current_) return "version " + std::to_string(current_) + " is still being switched to";
    // Voters refuse leases by the number that an entry names.
    if (publish.number() != 0 && publish.number() != current_ + 1)
        return "version " + std::to_string(current_) + " came first; publish again";
    return {};
}

Agreed::Verdict Agreed::publish(const v1::Publish& publish) {
    if (const auto known = by_ticket(publish.version().ticket())) return {true, *known, ""};
    if (auto why = judge(publish); !why.empty()) return {false, current_, std::move(why)};
    auto& version = versions_[current_ + 1] = publish.version();
    version.set_number(++current_);
    if (version.has_change()) {
        auto& change = *version.mutable_change();
        if (change.parts() > 0) {
            change.mutable_put()->MergeFrom(staged_.put());
            change.mutable_drop()->MergeFrom(staged_.drop());
            change.clear_parts();
            forget_staged();
        }
        lists_.apply(change, version, current_);
    } else if (version.has_voters()) {
        // These are all that have been let in; whom the goal names may be next.
        voters_ = version.voters();
        admitted_ = goal_;
    } else if (version.has_division()) {
        division_before_ = std::exchange(division_, version.division());
        division_number_ = current_;
    } else {
        rules_ = current_;
    }
    forget_old();
    return {true, current_, ""};
}

void Agreed::forget_old() {
    struct Kept {
        std::size_t count = 0, bytes = 0;
    } rules, changes;
    // The latest first; the two latest rule sets stay whatever they take.
    for (auto at = versions_.end(); at != versions_.begin();) {
        --at;
        const bool is_change = !at->second.has_rules();
        auto& kept = is_change ? changes : rules;
        const auto bytes = is_change ? bytes_of(at->second.change()) : bytes_of(at->second.rules());
        const bool fits = kept.count < (is_change ? most_changes : most_versions) &&
                          kept.bytes + bytes <= (is_change ? most_change_bytes : most_bytes);
        if (fits || (!is_change && kept.count < 2)) {
            ++kept.count;
            kept.bytes += bytes;
        } else {
            if (is_change) forgotten_ = std::max(forgotten_, at->first);
            at = versions_.erase(at);
        }
    }
}

std::vector<v1::ListChange> Agreed::changes_since(std::uint64_t number) const {
    std::vector<v1::ListChange> changes;
    const bool kept = number > 0 && number >= forgotten_;
    for (const auto& [name, list] : lists_.all())
        if (list.number > number && !kept) changes.push_back(lists_.whole(name));
    if (kept)
        for (auto at = versions_.upper_bound(number); at != versions_.end(); ++at)
            if (at->second.has_change()) changes.push_back(at->second.change());
    return changes;
}

std::string Agreed::save() const {
    v1::State state;
    state.set_current(current_);
    state.set_settled(settled_);
    state.set_rules(rules_);
    for (const auto& [number, version] : versions_) *state.add_version() = version;
    lists_.save(state);
    *state.mutable_staged() = staged_;
    state.set_staged_ticket(staged_ticket_);
    state.set_staged_parts(staged_parts_);
    state.set_staged_age(staged_age_);
    state.set_forgotten(forgotten_);
    *state.mutable_voters() = voters_;
    *state.mutable_goal() = goal_;
    state.set_goals(goals_);
    *state.mutable_admitted() = admitted_;
    *state.mutable_division() = division_;
    *state.mutable_division_before() = division_before_;
    state.set_division_number(division_number_);
    return state.SerializeAsString();
}

bool Agreed::load(const std::string& bytes) {
    v1::State state;
    if (!state.ParseFromString(bytes)) return false;
    current_ = state.current();
    settled_ = state.settled();
    rules_ = state.rules() != 0 || state.list_size() > 0 ? state.rules() : current_;
    versions_.clear();
    if (!lists_.load(state)) return false;
    forgotten_ = state.forgotten();
    voters_ = state.voters();
    goal_ = state.goal();
    goals_ = state.goals();
    admitted_ = state.admitted();
    division_ = state.division();
    division_before_ = state.division_before();
    division_number_ = state.division_number();
    staged_ = std::move(*state.mutable_staged());
    staged_ticket_ = state.staged_ticket();
    staged_parts_ = state.staged_parts();
    staged_age_ = state.staged_age();
    for (auto& version : *state.mutable_version()) versions_[version.number()] = std::move(version);
    return true;
}

}  // namespace brasslift::members
