#include "plan/gate.hpp"

#include <algorithm>
#include <utility>

namespace brasslift::plan {
namespace {

// Where no count can be kept for a new key, its messages wait; rooms are looked for this often at most.
constexpr double no_count_pause_ms = 1000, sweep_ms = 100;
constexpr double least_rate = 1e-6;

// The places of entries by their names.
template <class Entry>
class PlaceOf {
public:
    explicit PlaceOf(const std::vector<Entry>& entries) {
        for (const auto& entry : entries) places_.emplace(entry.name, static_cast<int>(places_.size()));
    }
    int operator()(const std::string& name) const {
        const auto found = places_.find(name);
        return found == places_.end() ? none : found->second;
    }

private:
    std::unordered_map<std::string, int> places_;
};

}  // namespace

Gate::Gate(std::shared_ptr<const Plan> plan, Time now)
    : plan_(std::move(plan)), counts_(plan_->rules().limits.size()) {
    for (const auto& policy : plan_->rules().policies)
        budgets_.push_back({policy.budget ? policy.budget->saved : 0, now});
}

void Gate::change(const std::vector<ListChange>& changes, Time now) {
    if (changes.empty()) return;
    for (const auto& change : changes) lists_.change(change);
    lists_.hold(plan_->rules().lists, plan_->names(), now);
}

bool Gate::make_room(Time now) {
    if (total_ < plan_->rules().bounds.limiter_keys) return true;
    if (now < next_sweep_) return false;
    next_sweep_ = now + sweep_ms;
    for (auto& counts : counts_)
        std::erase_if(counts, [&](const auto& entry) {
            const bool rests = entry.second.rests(now);
            total_ -= rests ? 1 : 0;
            return rests;
        });
    return total_ < plan_->rules().bounds.limiter_keys;
}

Count* Gate::count_of(Time now, int limit, const CountKey& key) {
    const auto place = static_cast<std::size_t>(limit);
    if (const auto found = counts_[place].find(key); found != counts_[place].end()) return &found->second;
    if (!make_room(now)) return nullptr;
    ++total_;
    return &counts_[place]
                .try_emplace(key, own_part(place), plan_->rules().bounds.bookings, now)
                .first->second;
}

// A limit as it holds here.
LimitRule Gate::own_part(std::size_t limit) const {
    auto rule = plan_->rules().limits[limit];
    if (!rule.shared) return rule;
    if (const auto part = shares_.find(rule.name); part != shares_.end()) {
        // No part is not no limit.
        rule.rate = std::max(least_rate, rule.rate * part->second);
        rule.burst *= part->second;
    }
    return rule;
}

void Gate::share(const std::map<std::string, double>& parts, Time now) {
    const auto& rules = plan_->rules();
    for (const auto& [name, part] : parts) shares_[name] = part;
    for (std::size_t i = 0; i < rules.limits.size(); ++i) {
        if (!rules.limits[i].shared || parts.count(rules.limits[i].name) == 0) continue;
        const auto own = own_part(i);
        std::vector<int> lanes;
        for (std::size_t lane = 0; lane <= own.guarantees.size(); ++lane)
            lanes.push_back(static_cast<int>(lane));
        for (auto& [key, count] : counts_[i]) count.reshape(own, rules.bounds.bookings, now, lanes);
    }
}

std::vector<Gate::Asked> Gate::asked() const {
    std::vector<Asked> all;
    for (const auto& limit : plan_->rules().limits) {
        if (!limit.shared) continue;
        const auto found = asked_.find(limit.name);
        all.push_back({limit.name, found == asked_.end() ? 0 : found->second, limit.rate});
    }
    return all;
}

Gate::Admission Gate::admit(Time now, MessageId id, const Subject& subject, std::size_t bytes,
                            std::uint64_t print, bool again) {
    const auto& rules = plan_->rules();
    const int route = plan_->route(subject);
    Admission admission;
    const auto listed = lists_.look(now, subject, print);
    if (listed.by != nullptr)
        return {false, listed.capped ? lists_.refuse(now, subject, print, again) : listed.pause_ms, 0,
                listed.by};
    if (route != none)
        if (const auto& rule = rules.routes[static_cast<std::size_t>(route)]; rule.refuse_pause_ms)
            return {false, *rule.refuse_pause_ms, 0, &rule.name};
    found_.clear();
    plan_->limits(subject, route, found_);
    charges_.clear();
    looks_.clear();
    for (const int limit : found_) {
        const Charge charge{limit, plan_->key(limit, subject, route),
                            static_cast<std::uint32_t>(plan_->lane(limit, subject, route))};
        auto* const count = count_of(now, limit, charge.key);
        const auto& rule = rules.limits[static_cast<std::size_t>(limit)];
        const auto& name = rule.name;
        if (rule.shared) ++asked_[name];
        if (count == nullptr) return {false, no_count_pause_ms, 0, &name};
        const auto look = count->look(now, charge.lane, bytes, print);
        charges_.push_back(charge);
        looks_.push_back(look);
        if (!look.admitted && admission.admitted) admission.by = &name;
        admission.admitted = admission.admitted && look.admitted;
    }
    // All limits or none: each that refuses gives a turn, and the last of those is when it is worth coming.
    for (std::size_t i = 0; i < charges_.size(); ++i) {
        const auto& charge = charges_[i];
        auto& count = counts_[static_cast<std::size_t>(charge.limit)].at(charge.key);
        if (admission.admitted)
            count.take(looks_[i], charge.lane, bytes, print);
        else if (!looks_[i].admitted)
            admission.pause_ms =
                std::max(admission.pause_ms, count.refuse(looks_[i], now, charge.lane, print, again));
    }
    if (!admission.admitted) return admission;
    lists_.take(listed, subject, print);
    if (!charges_.empty() || listed.capped)
        charged_.insert_or_assign(id, Charged{charges_, bytes, listed.capped ? subject.tenant : none});
    found_.clear();
    plan_->policies(subject, route, found_);
    for (const int policy : found_)
        if (const auto& deadline = rules.policies[static_cast<std::size_t>(policy)].deadline_ms)
            admission.deadline_ms =
                admission.deadline_ms > 0 ? std::min(admission.deadline_ms, *deadline) : *deadline;
    return admission;
}

void Gate::undo(MessageId id) {
    const auto found = charged_.find(id);
    if (found == charged_.end()) return;
    for (const auto& c : found->second.charges)
        counts_[static_cast<std::size_t>(c.limit)].at(c.key).undo(c.lane, found->second.bytes);
    if (found->second.capped != none) lists_.undo(static_cast<std::uint16_t>(found->second.capped));
    charged_.erase(found);
}

void Gate::release(Time now, MessageId id) {
    const auto found = charged_.find(id);
    if (found == charged_.end()) return;
    for (const auto& c : found->second.charges)
        counts_[static_cast<std::size_t>(c.limit)].at(c.key).release(now, c.lane, found->second.bytes);
    charged_.erase(found);
}

void Gate::restore(MessageId id, const Subject& subject, std::size_t bytes) {
    const int route = plan_->route(subject);
    found_.clear();
    plan_->limits(subject, route, found_);
    Charged charged;
    charged.bytes = bytes;
    for (const int limit : found_) {
        const Charge charge{limit, plan_->key(limit, subject, route),
                            static_cast<std::uint32_t>(plan_->lane(limit, subject, route))};
        const auto place = static_cast<std::size_t>(limit);
        // What is owed is counted past the bound on counts: it was taken on.
        auto [at, fresh] =
            counts_[place].try_emplace(charge.key, own_part(place), plan_->rules().bounds.bookings, Time{0});
        total_ += fresh ? 1 : 0;
        at->second.hold(charge.lane, bytes);
        charged.charges.push_back(charge);
    }
    if (!charged.charges.empty()) charged_.insert_or_assign(id, std::move(charged));
}

Gate::Budget& Gate::refilled(Time now, int policy) {
    auto& budget = budgets_[static_cast<std::size_t>(policy)];
    const auto& rule = *plan_->rules().policies[static_cast<std::size_t>(policy)].budget;
    budget.left = std::min(rule.saved, budget.left + std::max(0.0, now - budget.at) / 1000 * rule.least);
    budget.at = std::max(budget.at, now);
    return budget;
}

std::shared_ptr<const PoolRule> Gate::pool_of(int route) const {
    if (route == none) return nullptr;
    const int pool = plan_->rules().routes[static_cast<std::size_t>(route)].pool;
    if (pool == none) return nullptr;
    return {plan_, &plan_->rules().pools[static_cast<std::size_t>(pool)]};
}

std::shared_ptr<const PoolRule> Gate::pool(const Subject& subject) const {
    return pool_of(plan_->route(subject));
}

bool Gate::spent_by(const std::vector<int>& policies, int made) const {
    return std::any_of(policies.begin(), policies.end(), [&](int policy) {
        const auto& most = plan_->rules().policies[static_cast<std::size_t>(policy)].attempts;
        return most && made >= *most;
    });
}

bool Gate::spent(const Subject& subject, int made) const {
    found_.clear();
    plan_->policies(subject, plan_->route(subject), found_);
    return spent_by(found_, made);
}

Gate::Permit Gate::permit(Time now, const Subject& subject, int made) {
    const int route = plan_->route(subject);
    found_.clear();
    plan_->policies(subject, route, found_);
    if (spent_by(found_, made)) return {spent_pause_ms, nullptr};
    std::erase_if(found_, [&](int policy) {
        return !plan_->rules().policies[static_cast<std::size_t>(policy)].budget;
    });
    double pause = 0;
    for (const int policy : found_) {
        const auto& rule = *plan_->rules().policies[static_cast<std::size_t>(policy)].budget;
        auto& budget = refilled(now, policy);
        if (made == 0)
            budget.left = std::min(rule.saved, budget.left + rule.part);
        else if (budget.left < 1)
            pause = std::max({pause, 1.0, (1 - budget.left) / rule.least * 1000});
    }
    if (pause > 0) return {pause, nullptr};
    if (made > 0)
        for (const int policy : found_) budgets_[static_cast<std::size_t>(policy)].left -= 1;
    return {0, pool_of(route)};
}

void Gate::change(std::shared_ptr<const Plan> plan, Time now, const std::vector<Held>& held) {
    const auto before = std::exchange(plan_, std::move(plan));
    auto counts = std::exchange(counts_, std::vector<Counts>(plan_->rules().limits.size()));
    auto budgets = std::exchange(budgets_, {});
    charged_.clear();
    total_ = 0;
    const auto& rules = plan_->rules();
    const PlaceOf old_limit(before->rules().limits);
    const PlaceOf old_policy(before->rules().policies);
    const PlaceOf new_route(rules.routes);
    for (std::size_t i = 0; i < rules.limits.size(); ++i) {
        const auto& limit = rules.limits[i];
        const int was = old_limit(limit.name);
        if (was == none) continue;
        const auto& old = before->rules().limits[static_cast<std::size_t>(was)];
        if (old.by != limit.by) continue;  // counted by something else: another limit
        std::vector<int> lane_of;
        for (const auto& g : limit.guarantees) {
            const auto same =
                std::find_if(old.guarantees.begin(), old.guarantees.end(),
                             [&](const Guarantee& o) { return o.of == g.of && o.name == g.name; });
            lane_of.push_back(same == old.guarantees.end() ? none
                                                           : static_cast<int>(same - old.guarantees.begin()));
        }
        lane_of.push_back(static_cast<int>(old.guarantees.size()));
        const bool by_route = std::find(limit.by.begin(), limit.by.end(), Dimension::route) != limit.by.end();
        for (auto& [key, count] : counts[static_cast<std::size_t>(was)]) {
            auto own = key;
            if (by_route) {
                const int route = int{key.route} - 1;
                const int now_at =
                    route == none ? none
                                  : new_route(before->rules().routes[static_cast<std::size_t>(route)].name);
                if (route != none && now_at == none) continue;  // the route is no more
                own.route = static_cast<std::uint16_t>(now_at + 1);
            }
            count.forget_held();
            count.reshape(own_part(i), rules.bounds.bookings, now, lane_of);
            counts_[i].emplace(own, std::move(count));
            ++total_;
        }
    }
    for (const auto& policy : rules.policies) {
        const int was = old_policy(policy.name);
        const bool kept = was != none && before->rules().policies[static_cast<std::size_t>(was)].budget;
        const double saved = policy.budget ? policy.budget->saved : 0;
        budgets_.push_back(kept ? Budget{std::min(saved, budgets[static_cast<std::size_t>(was)].left),
                                         budgets[static_cast<std::size_t>(was)].at}
                                : Budget{saved, now});
    }
    for (const auto& m : held) restore(m.id, m.subject, m.bytes);
    lists_.hold(rules.lists, plan_->names(), now);
}

std::uint64_t Gate::held(const std::string& limit) const {
    std::uint64_t sum = 0;
    if (const int place = PlaceOf(plan_->rules().limits)(limit); place != none)
        for (const auto& [key, count] : counts_[static_cast<std::size_t>(place)]) sum += count.held();
    return sum;
}

}  // namespace brasslift::plan
