#include "lang/compiler.hpp"

namespace brasslift::lang {

void Compiler::lists() {
    for (const auto& l : config_.list()) {
        plan::ListRule list;
        list.name = l.name();
        list.kind = static_cast<plan::ListKind>(l.holds());
        if (l.has_pause()) {
            list.pause_ms = duration_ms(l.pause());
            check_pause(l, "pause", l.pause());
        }
        if (l.has_pause() && (l.holds() == v1::TENANTS_CAPPED || l.holds() == v1::ENDPOINTS_KEPT_OUT))
            error(places_.of(l, "pause"), "list \"" + l.name() + "\" refuses nothing with a pause of its own",
                  "remove the pause");
        rules_.lists.push_back(std::move(list));
    }
}

void Compiler::members() {
    if (!config_.has_members()) return;
    const auto& m = config_.members();
    plan::MembersRule rule;
    rule.cluster = m.cluster();
    unique(m.member(), "member");
    std::map<std::string, const v1::Member*> addresses;
    int voters = 0;
    for (const auto& member : m.member()) {
        rule.members.push_back({member.name(), member.address(), member.voter() == v1::ON});
        voters += member.voter() == v1::ON ? 1 : 0;
        if (member.address().empty()) continue;
        const auto [it, fresh] = addresses.emplace(member.address(), &member);
        if (!fresh)
            error(places_.of(member, "address"),
                  "member \"" + member.name() + "\" has the address of member \"" + it->second->name() + '"',
                  "give each an address of its own");
    }
    if (voters != 3 && voters != 5)
        error(places_.of(m), std::to_string(voters) + " members have a vote",
              "write voter: ON for 3 or for 5 of them");
    constexpr int most_members = plan::MembersRule::most_members;
    if (m.member_size() > most_members)
        error(places_.of(m.member(most_members)), "more than " + std::to_string(most_members) + " members",
              "remove some");
    if (m.has_contradiction()) rule.contradiction_ms = duration_ms(m.contradiction());
    const auto& without = m.without_lease();
    rule.refuse_routes = without.routes() != v1::KEEP;
    rule.refuse_limits = without.limits() != v1::KEEP;
    rule.refuse_policies = without.policies() == v1::REFUSE;
    rule.refuse_lists = without.lists() != v1::KEEP;
    rule.shares_list = m.discovery() == v1::STATES || m.discovery() == v1::WHOLE;
    rule.shares_hosts = m.discovery() == v1::WHOLE;
    rule.synced = m.durability() == v1::EACH || m.durability() == v1::INTERVAL;
    // What they agree on has one source.
    const auto published = [&](const auto& entries, const char* what) {
        if (!entries.empty())
            error(places_.of(entries.Get(0)), std::string("a ") + what + " stands beside members",
                  "publish it: brasslift rules publish FILE");
    };
    published(config_.destination(), "destination");
    published(config_.pool(), "pool");
    published(config_.route(), "route");
    published(config_.limit(), "limit");
    published(config_.policy(), "policy");
    published(config_.list(), "list");
    rules_.members = std::move(rule);
}

}  // namespace brasslift::lang
