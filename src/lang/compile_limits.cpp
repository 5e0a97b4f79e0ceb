#include "lang/compiler.hpp"

namespace brasslift::lang {

void Compiler::limits() {
    for (const auto& l : config_.limit()) {
        plan::LimitRule limit;
        limit.name = l.name();
        limit.match = match(l.match());
        limit.route = route_of(l, l.has_route(), l.route());
        if (l.has_route() && limit.route == plan::none) limit.match.nothing = true;
        std::set<plan::Dimension> by;
        for (int i = 0; i < l.by_size(); ++i) {
            const auto dimension = l.by(i) == v1::TENANT  ? plan::Dimension::tenant
                                   : l.by(i) == v1::CLASS ? plan::Dimension::message_class
                                   : l.by(i) == v1::ROUTE ? plan::Dimension::route
                                                          : plan::Dimension::destination;
            if (!by.insert(dimension).second)
                error(places_.of(l, "by", i),
                      "limit \"" + l.name() + "\" counts by " + v1::Dimension_Name(l.by(i)) + " twice",
                      "keep one of them");
        }
        limit.by.assign(by.begin(), by.end());
        if (l.has_rate()) limit.rate = rate_per_s(l.rate());
        limit.burst = l.has_burst() ? l.burst() : limit.rate > 0 ? std::max(1.0, limit.rate) : 0;
        limit.held = l.held();
        if (l.has_held_bytes()) limit.held_bytes = bytes_of(l.held_bytes());
        if (l.has_lend()) limit.lend = part_of(l.lend());
        if (l.has_horizon()) {
            limit.horizon_ms = duration_ms(l.horizon());
            check_pause(l, "horizon", l.horizon());
        }
        const bool tried =
            places_.tried(l, "rate") || places_.tried(l, "held") || places_.tried(l, "held_bytes");
        if (!l.has_rate() && !l.has_held() && !l.has_held_bytes() && !tried)
            error(places_.of(l), "limit \"" + l.name() + "\" limits nothing", "add rate, held or held_bytes");
        if (l.has_burst() && !l.has_rate() && !places_.tried(l, "rate"))
            error(places_.of(l, "burst"), "limit \"" + l.name() + "\" has a burst and no rate",
                  "add a rate, or remove the burst");
        limit.shared = l.shared() == v1::ON;
        if (limit.shared && limit.rate <= 0 && !places_.tried(l, "rate"))
            error(places_.of(l, "shared"), "limit \"" + l.name() + "\" is shared and has no rate",
                  "add a rate");
        if (limit.shared && limit.rate > 0 && (l.has_held() || l.has_held_bytes()))
            error(places_.of(l, l.has_held() ? "held" : "held_bytes"),
                  "limit \"" + l.name() + "\" is shared, and what is held is each dispatcher's own",
                  "limit that in an entry of its own");
        guarantees(l, limit);
        if (l.has_lend() && limit.guarantees.empty())
            error(places_.of(l, "lend"), "limit \"" + l.name() + "\" lends and guarantees nothing",
                  "add a guarantee, or remove lend");
        rules_.limits.push_back(std::move(limit));
    }
}

void Compiler::guarantees(const v1::Limit& l, plan::LimitRule& limit) {
    std::int64_t sum = 0;
    std::map<std::pair<plan::Dimension, std::string>, const v1::Guarantee*> seen;
    constexpr int most_guarantees = 256;  // each is looked at where a limit lends
    for (const auto& g : l.guarantee()) {
        const int owners = int{g.has_tenant()} + int{g.has_class_()} + int{g.has_route()};
        if (owners != 1) {
            const bool tried =
                places_.tried(g, "tenant") || places_.tried(g, "class") || places_.tried(g, "route");
            if (owners > 1 || !tried)
                error(places_.of(g),
                      owners == 0 ? "this guarantee belongs to nobody" : "this guarantee belongs to several",
                      "name one tenant, class or route");
            continue;
        }
        plan::Guarantee out;
        out.of = g.has_tenant()   ? plan::Dimension::tenant
                 : g.has_class_() ? plan::Dimension::message_class
                                  : plan::Dimension::route;
        out.name = g.has_tenant() ? g.tenant() : g.has_class_() ? g.class_() : g.route();
        if (g.has_route() && refer(config_.route(), g, "route", g.route(), "route") == plan::none) continue;
        if (g.has_tenant()) check_known(g, "tenant", 0, {out.name, false}, known_tenants());
        if (g.has_class_()) check_known(g, "class", 0, {out.name, false}, known_classes());
        out.part = part_of(g.part());
        if (!limit.guarantees.empty() && limit.guarantees.front().of != out.of)
            error(places_.of(g), "limit \"" + l.name() + "\" guarantees parts to different kinds of owners",
                  "use tenants, classes or routes alone");
        if (std::find(limit.by.begin(), limit.by.end(), out.of) != limit.by.end())
            error(places_.of(g), "limit \"" + l.name() + "\" counts by the same that it guarantees parts of",
                  "remove it from `by`, or remove the guarantee");
        const auto [first, fresh] = seen.emplace(std::pair(out.of, out.name), &g);
        if (!fresh)
            error(places_.of(g),
                  "\"" + out.name + "\" has a guarantee already, at " + to_text(places_.of(*first->second)),
                  "keep one of them");
        sum += quantity(Unit::share, g.part()).value;
        limit.guarantees.push_back(std::move(out));
    }
    if (sum > 100'000)
        error(places_.of(l, "guarantee"),
              "the guarantees of limit \"" + l.name() + "\" come to " + write_quantity(Unit::share, {sum}) +
                  " of it",
              "lower them to 100% together");
    if (l.guarantee_size() > most_guarantees)
        error(places_.of(l, "guarantee", most_guarantees),
              "more than " + std::to_string(most_guarantees) + " guarantees",
              "join some owners in a limit of their own");
}

void Compiler::policies() {
    for (const auto& p : config_.policy()) {
        plan::PolicyRule policy;
        policy.name = p.name();
        policy.match = match(p.match());
        policy.route = route_of(p, p.has_route(), p.route());
        if (p.has_route() && policy.route == plan::none) policy.match.nothing = true;
        if (p.has_deadline()) policy.deadline_ms = duration_ms(p.deadline());
        if (p.has_attempts()) policy.attempts = static_cast<int>(p.attempts());
        if (p.has_retry_budget()) {
            const auto& b = p.retry_budget();
            policy.budget.emplace();
            policy.budget->part = part_of(b.part());
            if (b.has_least()) policy.budget->least = rate_per_s(b.least());
            if (b.has_saved()) policy.budget->saved = b.saved();
        }
        const auto own = places_.of(p);
        const bool tried =
            places_.tried(p, "deadline") || places_.tried(p, "attempts") || places_.tried(p, "retry_budget");
        if (!tried)
            error(own, "policy \"" + p.name() + "\" says nothing", "add deadline, attempts or retry_budget");
        if (platform_ != nullptr) narrower(p, policy);
        rules_.policies.push_back(std::move(policy));
    }
}

void Compiler::narrower(const v1::Policy& p, const plan::PolicyRule& policy) {
    if (policy.attempts && platform_->attempts > 0 && *policy.attempts > platform_->attempts)
        error(places_.of(p, "attempts"),
              "policy \"" + p.name() + "\" allows more attempts than the decision module's " +
                  std::to_string(platform_->attempts),
              "write " + std::to_string(platform_->attempts) + " or less");
    double longest = 0;
    for (const auto& c : platform_->classes)
        if (policy.match.classes.empty() ||
            std::any_of(policy.match.classes.begin(), policy.match.classes.end(),
                        [&](const auto& x) { return x.matches(c.name); }))
            longest = std::max(longest, c.deadline_ms);
    if (policy.deadline_ms && longest > 0 && *policy.deadline_ms > longest)
        error(places_.of(p, "deadline"),
              "policy \"" + p.name() + "\" has a later deadline than its classes' " + shown_ms(longest),
              "write \"" + shown_ms(longest) + "\" or less");
}

void Compiler::bounds() {
    const auto& b = config_.bounds();
    auto& out = rules_.bounds;
    if (b.has_head()) out.head = bytes_of(b.head());
    if (b.has_body()) out.body = bytes_of(b.body());
    if (b.has_request_time()) out.request_ms = duration_ms(b.request_time());
    if (b.has_client_descriptors()) out.client_descriptors = part_of(b.client_descriptors());
    if (b.has_idle_descriptors()) out.idle_descriptors = part_of(b.idle_descriptors());
    if (b.has_request_memory()) out.request_memory = part_of(b.request_memory());
    if (b.has_limiter_keys()) out.limiter_keys = b.limiter_keys();
    if (b.has_bookings()) out.bookings = b.bookings();
}

}  // namespace brasslift::lang
