#include "members/leases.hpp"

#include <algorithm>
#include <functional>

namespace brasslift::members {

Terms terms_for(double contradiction_ms) {
    Terms terms;
    terms.lease_ms = (contradiction_ms - turn_ms) * (1 - 2 * clock_error);
    terms.renew_ms = terms.lease_ms / 4;
    terms.gone_ms = terms.lease_ms * (1 + 2 * clock_error) + turn_ms;
    return terms;
}

void Holder::granted(Id voter, std::uint64_t version, double asked_at) {
    const auto [at, fresh] = asked_[version].emplace(voter, asked_at);
    if (!fresh) at->second = std::max(at->second, asked_at);
}

double Holder::until(std::uint64_t version) const {
    const auto found = asked_.find(version);
    const auto voters = voters_.find(version);
    if (found == asked_.end() || voters == voters_.end()) return ages_ago;
    const auto majority = voters->second.size() / 2 + 1;
    std::vector<double> asks;
    for (const auto& [voter, at] : found->second)
        if (voters->second.count(voter) != 0) asks.push_back(at);
    if (asks.size() < majority) return ages_ago;
    // The latest instant by which a majority had been asked and has said yes.
    std::nth_element(asks.begin(), asks.begin() + static_cast<long>(majority - 1), asks.end(),
                     std::greater<>());
    return asks[majority - 1] + terms_.lease_ms;
}

void Holder::forget_before(std::uint64_t version) {
    asked_.erase(asked_.begin(), asked_.lower_bound(version));
    voters_.erase(voters_.begin(), voters_.lower_bound(version));
}

void Settling::learned(std::uint64_t version, double now) {
    if (version == version_) return;
    version_ = version;
    learned_at_ = now;
}

void Settling::acts(Id member, std::uint64_t version) {
    auto& acting = acting_[member];
    acting = std::max(acting, version);
}

std::vector<Id> Settling::missing() const {
    std::vector<Id> missing;
    for (const auto member : members_) {
        const auto found = acting_.find(member);
        if (found == acting_.end() || found->second < version_) missing.push_back(member);
    }
    return missing;
}

bool Settling::settled(double now) const { return missing().empty() || now >= learned_at_ + terms_.gone_ms; }

}  // namespace brasslift::members
