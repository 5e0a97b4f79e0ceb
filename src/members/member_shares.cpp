// A member's part of the limits that all share: what it may use, and dividing them where it leads
// (docs/design/shares.md).
#include <algorithm>

#include "members/member.hpp"

namespace brasslift::members {
namespace {

constexpr double divide_again_ms = 1000;

}  // namespace

void Member::set_demands(std::vector<v1::Demand> demands) { demands_ = std::move(demands); }

std::uint32_t Member::part(const std::string& limit) const {
    const auto found = parts_.find(limit);
    return found == parts_.end() ? equal_part(table_.peers.size()) : found->second;
}

// What it may use as long as it acts on the current number; of an earlier one it goes on with what it had.
void Member::use_parts() {
    if (acting_ != agreed_.current()) return;
    const bool settled = agreed_.settled() >= agreed_.division_number() || planted_.grows_at_once;
    const auto one = [&](const v1::Division& division, const std::string& limit) {
        const auto* const parts = parts_of(division, limit);
        return parts == nullptr ? equal_part(table_.peers.size()) : part_in(*parts, self_);
    };
    std::map<std::string, std::uint32_t> parts;
    for (const auto& [limit, of] : agreed_.division().limit()) {
        parts[limit] = part_in(of, self_);
        if (!settled) parts[limit] = std::min(parts[limit], one(agreed_.division_before(), limit));
    }
    // One that is divided no more goes back to equal parts, and not at once to a larger one.
    for (const auto& [limit, of] : agreed_.division_before().limit())
        if (!settled && parts.count(limit) == 0)
            parts[limit] = std::min(part_in(of, self_), equal_part(table_.peers.size()));
    if (parts == parts_) return;
    parts_ = std::move(parts);
    ++part_changes_;
}

void Member::divide_limits() {
    if (!leads() || now_ < next_division_ || agreed_.settled() != agreed_.current() || job_) return;
    if (demands_.empty() && agreed_.division().limit().empty()) return;
    next_division_ = now_ + divide_again_ms;
    // A program that knows no divisions would take one for rules.
    for (const auto& [id, sight] : sights_)
        if (sight.knows < 2) return;
    v1::Division next;
    for (const auto& own : demands_) {
        std::map<Id, double> wanted{{self_, own.wanted()}};
        for (const auto& [id, sight] : sights_)
            if (now_ < sight.heard_at + terms_.lease_ms) {
                const auto asked = sight.demands.find(own.limit());
                wanted[id] = asked == sight.demands.end() ? 0 : asked->second;
            }
        auto& parts = (*next.mutable_limit())[own.limit()];
        for (const auto& [id, part] : divide(own.rate(), wanted)) (*parts.mutable_part())[id] = part;
    }
    if (!differs(agreed_.division(), next)) return;
    v1::Command command;
    auto& publish = *command.mutable_publish();
    publish.set_number(agreed_.current() + 1);
    auto& version = *publish.mutable_version();
    version.set_ticket("division/" + std::to_string(publish.number()) + '/' + std::to_string(nonce_));
    version.set_who(names_[self_]);
    *version.mutable_division() = std::move(next);
    consensus_->propose(command, [](Consensus::Came, const Agreed::Verdict&) {});
}

}  // namespace brasslift::members
