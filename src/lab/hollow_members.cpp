#include "lab/hollow_members.hpp"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

#include "lang/load.hpp"
#include "members/setup.hpp"

namespace brasslift::lab {
namespace {

constexpr double disk_bytes = 40e6, look_ms = 25;
constexpr std::size_t most_versions = 512;  // that are told of

// Takes everything: what a rule set means is the dispatcher's, and there is none here.
struct Yes : members::Judge {
    std::string rules(const members::v1::RuleSet&, const members::Lists&) override { return {}; }
    std::string change(const members::v1::ListChange&, const members::v1::RuleSet*) override { return {}; }
};

plan::MembersRule rule_in(const std::string& operators_file) {
    lang::Findings findings;
    lang::Document document;
    lang::read(operators_file, lang::Disk(), document, findings);
    auto rules = lang::compile(document, nullptr, findings);
    if (findings.any_errors()) throw std::runtime_error(lang::to_text(findings.sorted().front()));
    if (!rules.members) throw std::runtime_error(operators_file + " has no members");
    return *rules.members;
}

}  // namespace

struct HollowMembers::One {
    Yes judge;
    std::unique_ptr<members::StoreJournal> journal;
    std::unique_ptr<members::Node> node;
    double without_since = 0;  // a lease; 0: it has one
    double longest_ms = 0;
    bool without_ever = false;
};

HollowMembers::HollowMembers(runtime::Scheduler& scheduler, const std::string& operators_file,
                             const std::string& folder, const std::vector<std::string>& names,
                             double down_since)
    : scheduler_(scheduler), party_(scheduler, [this](const auto& request) { return answer(request); }) {
    const auto rule = rule_in(operators_file);
    members::Node::Setup setup;
    setup.table = members::table_of(rule, disk_bytes);
    for (const auto& member : rule.members) {
        const auto address = runtime::parse_address(member.address);
        if (!address) throw std::runtime_error("the address of member " + member.name + " cannot be read");
        setup.addresses[members::id_of(member.name)] = *address;
    }
    for (const auto& name : names) {
        auto fresh = std::make_unique<One>();
        auto& one = *fresh;
        one.without_since = down_since > 0 ? down_since : members::boot_now();
        const auto state = folder + '/' + name;
        std::filesystem::create_directories(state);
        one.journal = members::journal_in(state, disk_bytes, rule);
        if (!one.journal->begin_life()) throw std::runtime_error(one.journal->why());
        setup.self = members::id_of(name);
        setup.seed = members::chance();
        if (setup.addresses.count(setup.self) == 0) throw std::runtime_error("no member is named " + name);
        one.node = std::make_unique<members::Node>(scheduler_, setup, *one.journal, one.judge);
        one.node->acts_by([this](std::uint64_t from, std::uint64_t to) {
            if (to > from + most_versions) from = to - most_versions;
            for (auto version = from + 1; version <= to; ++version) {
                auto& active = active_[version];
                ++active.members;
                active.last_at = members::boot_now();
            }
            while (active_.size() > most_versions) active_.erase(active_.begin());
        });
        if (!one.node->begin()) throw std::runtime_error(name + ": " + one.node->why());
        all_.push_back(std::move(fresh));
    }
    scheduler_.spawn(watch_leases());
}

HollowMembers::~HollowMembers() { scheduler_.drop_tasks(); }

runtime::Task<void> HollowMembers::watch_leases() {
    for (;;) {
        const double now = members::boot_now();
        for (const auto& one : all_) {
            const bool has = one->node->may(one->node->member().acting());
            if (has && one->without_since > 0) {
                one->longest_ms = std::max(one->longest_ms, now - one->without_since);
                one->without_since = 0;
            } else if (!has && one->without_since == 0) {
                one->without_since = now;
            }
            one->without_ever = one->without_ever || !has;
        }
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + look_ms);
    }
}

void HollowMembers::watch_anew() {
    for (const auto& one : all_) {
        one->longest_ms = 0;
        one->without_ever = one->without_since > 0;
        if (one->without_since > 0) one->without_since = members::boot_now();
    }
}

LeaseGaps HollowMembers::gaps() const {
    LeaseGaps gaps;
    for (const auto& one : all_) {
        ++gaps.members;
        gaps.without_now += one->without_since > 0 ? 1 : 0;
        gaps.without_ever += one->without_ever ? 1 : 0;
        const double open = one->without_since > 0 ? members::boot_now() - one->without_since : 0;
        gaps.longest_ms = std::max({gaps.longest_ms, one->longest_ms, open});
    }
    return gaps;
}

void HollowMembers::part(const std::string& names) {
    std::set<members::Id> from;
    for (std::size_t at = 0; at < names.size(); at = std::min(names.find(',', at), names.size()) + 1)
        from.insert(members::id_of(names.substr(at, names.find(',', at) - at)));
    for (const auto& one : all_) one->node->part_from(from);
}

std::string HollowMembers::state() const {
    const auto told = gaps();
    auto text = "members " + std::to_string(told.members) + "\nwithout_now " +
                std::to_string(told.without_now) + "\nwithout_ever " + std::to_string(told.without_ever) +
                "\nlongest_ms " + std::to_string(told.longest_ms) + '\n';
    for (const auto& [version, active] : active_)
        text += "version " + std::to_string(version) + ' ' + std::to_string(active.members) + ' ' +
                std::to_string(active.last_at) + '\n';
    return text;
}

Party::Reply HollowMembers::answer(const http::Message& request) {
    constexpr std::string_view parts = "/part?from=";
    Party::Reply reply;
    if (request.target == "/state")
        reply.body = state();
    else if (request.target == "/watch")
        watch_anew();
    else if (request.target.starts_with(parts))
        part(request.target.substr(parts.size()));
    else
        reply.status = 404;
    return reply;
}

}  // namespace brasslift::lab
