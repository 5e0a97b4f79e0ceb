#include "serve/members.hpp"

#include <algorithm>
#include <stdexcept>

#include "commands/rule_files.hpp"
#include "members/setup.hpp"
#include "runtime/log.hpp"
#include "store/format.hpp"

namespace brasslift::serve {
Membership::Membership(runtime::Scheduler& scheduler, const config::Config& config,
                       const plan::MembersRule& rule, dispatch::Dispatcher& dispatcher,
                       cluster::Cluster& cluster)
    : scheduler_(scheduler), config_(config), rule_(rule), dispatcher_(dispatcher), cluster_(cluster) {
    members::Node::Setup setup;
    setup.table = members::table_of(rule, config.disk_mb * 1e6);
    setup.seed = members::chance();
    for (const auto& member : rule.members) {
        const auto address = runtime::parse_address(member.address);
        if (!address) throw std::runtime_error("the address of member " + member.name + " cannot be read");
        setup.addresses[members::id_of(member.name)] = *address;
        if (member.name == config.name) setup.self = members::id_of(member.name);
    }
    if (setup.self == 0)
        throw std::runtime_error("no member in the operators' file is named " + config.name +
                                 ", as this dispatcher is");
    journal_ = members::journal_in(config.state_folder, config.disk_mb * 1e6, rule);
    if (!journal_->begin_life()) throw std::runtime_error(journal_->why());
    node_ = std::make_unique<members::Node>(scheduler, std::move(setup), *journal_,
                                            static_cast<members::Judge&>(*this));
    node_->acts_by([this](std::uint64_t from, std::uint64_t to) { follow(from, to); });
}

void Membership::begin() {
    if (!node_->begin()) throw std::runtime_error(node_->why());
    dispatcher_.judge_by(this);
    node_->share_by([this] {
        dispatcher_.mailbox().put(dispatch::Planned{nullptr, acting_number_, {}, parts()});
    });
    scheduler_.spawn(ask_around());
    if (rule_.shares_list)
        list_share_ = std::make_unique<ListShare>(config_, *node_, cluster_, rule_.shares_hosts);
    cluster_.keep_out([this](const std::string& uid) { return kept_out_.holds(uid); });
}

std::string Membership::rules(const members::v1::RuleSet& rules, const members::Lists& lists) {
    const auto compiled = commands::compile_rules(rules, config_);
    if (!compiled.plan) return compiled.why;
    return commands::judge_lists(compiled.plan->rules().lists, lists);
}

// Rules are read once for what they declare, however many changes of lists come.
const commands::Declared& Membership::declared(const members::v1::RuleSet* rules) {
    const auto digest = rules == nullptr ? std::string() : members::digest_of(*rules);
    if (digest != declared_digest_) {
        declared_ = rules == nullptr ? commands::Declared{} : commands::declared_in(*rules, config_);
        declared_digest_ = digest;
    }
    return declared_;
}

std::string Membership::change(const members::v1::ListChange& change, const members::v1::RuleSet* rules) {
    return commands::judge_change(change, declared(rules), config_);
}

// The core goes over to it with its next turn, plan and lists at once, and says from then on that it acts on
// it.
void Membership::follow(std::uint64_t from, std::uint64_t to) {
    const auto& agreed = node_->member().agreed();
    dispatch::Planned planned;
    planned.version = acting_number_ = to;
    if (const auto* const rules = agreed.find(agreed.rules());
        rules != nullptr && agreed.rules() != acting_rules_) {
        auto compiled = commands::compile_rules(rules->rules(), config_);
        if (!compiled.plan) return runtime::log("members", "%s", compiled.why.c_str());
        const auto& all = compiled.plan->rules();
        has_routes_ = !all.routes.empty();
        has_limits_ = !all.limits.empty();
        has_policies_ = !all.policies.empty();
        has_lists_ = !all.lists.empty();
        lists_ = all.lists;
        shared_.clear();
        for (const auto& limit : all.limits)
            if (limit.shared) shared_.push_back(limit.name);
        acting_rules_ = agreed.rules();
        runtime::log("members", "acting on version %llu by %s (%s)",
                     static_cast<unsigned long long>(acting_rules_), rules->who().c_str(),
                     rules->digest().c_str());
        planned.plan = std::move(compiled.plan);
    }
    planned.parts = parts();
    const auto changes = agreed.changes_since(from);
    for (const auto& change : changes) {
        runtime::log("members", "acting on version %llu of list %s%s: %d entries put, %d dropped",
                     static_cast<unsigned long long>(change.version()), change.name().c_str(),
                     change.whole() ? ", whole" : "", change.put_size(), change.drop_size());
        planned.lists.push_back(commands::to_plan(change));
    }
    keep_out(changes);
    dispatcher_.mailbox().put(std::move(planned));
}

// This dispatcher's parts of the shared limits that it acts on.
std::map<std::string, double> Membership::parts() const {
    std::map<std::string, double> parts;
    for (const auto& limit : shared_)
        parts[limit] = static_cast<double>(node_->member().part(limit)) / members::whole_part;
    return parts;
}

// What its clients ask of shared limits, for the others to know.
runtime::Task<void> Membership::ask_around() {
    constexpr double every_ms = 250, gain = 0.3;
    for (runtime::Time before = scheduler_.now();;) {
        co_await runtime::sleep_until(scheduler_, before + every_ms);
        const double seconds = (scheduler_.now() - std::exchange(before, scheduler_.now())) / 1000;
        std::vector<members::v1::Demand> demands;
        for (const auto& limit : dispatcher_.asked()) {
            auto& [messages, rate] = asked_[limit.limit];
            const auto more = limit.messages - std::exchange(messages, limit.messages);
            rate += gain * (static_cast<double>(more) / seconds - rate);
            auto& demand = demands.emplace_back();
            demand.set_limit(limit.limit);
            demand.set_wanted(rate);
            demand.set_rate(limit.rate);
        }
        node_->member().set_demands(std::move(demands));
    }
}

// An endpoint that is kept out is to the pool and the core as one that drains.
void Membership::keep_out(const std::vector<members::v1::ListChange>& changes) {
    std::set<std::string> names;
    for (const auto& list : lists_)
        if (list.kind == plan::ListKind::endpoints_kept_out) names.insert(list.name);
    const bool declared = kept_out_.declare(std::move(names));
    std::vector<std::string> uids;
    bool all = declared;
    for (const auto& change : changes)
        if (static_cast<plan::ListKind>(change.kind()) == plan::ListKind::endpoints_kept_out) {
            all = all || change.whole();
            for (auto& uid : kept_out_.change(change)) uids.push_back(std::move(uid));
        }
    if (all)
        cluster_.look_again();
    else
        cluster_.look_again(uids);
}

bool KeptOut::declare(std::set<std::string> names) {
    const bool differs = names != declared_;
    declared_ = std::move(names);
    return differs;
}

std::vector<std::string> KeptOut::change(const members::v1::ListChange& change) {
    auto& list = lists_[change.name()];
    if (change.whole()) list.clear();
    std::vector<std::string> touched;
    for (const auto& uid : change.drop()) {
        list.erase(store::hash_of(uid));
        touched.push_back(uid);
    }
    for (const auto& entry : change.put()) {
        list.insert(store::hash_of(entry.key()));
        if (!change.whole()) touched.push_back(entry.key());
    }
    return touched;
}

bool KeptOut::holds(const std::string& uid) const {
    const auto hash = store::hash_of(uid);
    return std::any_of(declared_.begin(), declared_.end(), [&](const std::string& name) {
        const auto found = lists_.find(name);
        return found != lists_.end() && found->second.count(hash) != 0;
    });
}

// Whether new work is refused without a lease. Having no rules yet contradicts those that others may have.
bool Membership::refuses() const {
    if (node_->member().acting() == 0)
        return rule_.refuse_routes || rule_.refuse_limits || rule_.refuse_lists;
    return (has_routes_ && rule_.refuse_routes) || (has_limits_ && rule_.refuse_limits) ||
           (has_policies_ && rule_.refuse_policies) || (has_lists_ && rule_.refuse_lists);
}

bool Membership::may(std::uint64_t version) const {
    if (node_->may(version) || !refuses()) return true;
    ++turned_away_;
    return false;
}

std::string Membership::note() const {
    const auto& member = node_->member();
    std::string text;
    if (member.lacks_voice())
        text += "this voter's folder is not the one that was agreed on: it has no voice\n";
    if (!node_->may(member.acting()))
        text += "no lease on version " + std::to_string(member.acting()) +
                (refuses() ? ": new work is refused\n" : ": the last rules known are kept\n");
    if (!member.trouble().empty()) text += member.trouble() + '\n';
    return text;
}

std::string Membership::figures() const {
    const auto& member = node_->member();
    const auto line = [](const char* name, std::uint64_t value, char kind) {
        return std::string("app.members_") + name + ':' + std::to_string(value) + '|' + kind + '\n';
    };
    return line("version", member.acting(), 'g') + line("agreed", member.agreed().current(), 'g') +
           line("settled", member.agreed().settled(), 'g') +
           line("lease", node_->may(member.acting()) ? 1 : 0, 'g') + line("turned_away", turned_away_, 'c') +
           line("calls_refused", node_->figures().refused_calls, 'c') +
           line("renewals_refused", member.refused_renewals(), 'c');
}

void Membership::pass_on() { node_->member().pass_on(); }

}  // namespace brasslift::serve
