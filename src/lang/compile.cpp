#include "lang/compiler.hpp"
#include "plan/plan.hpp"

namespace brasslift::lang {
namespace {

using Numbers = std::pair<std::uint64_t, std::uint64_t>;  // of destinations, from..to

// The destinations of a set as sorted ranges that do not touch.
std::vector<Numbers> joined(const std::vector<plan::Span>& spans) {
    std::vector<Numbers> all, out;
    for (const auto& s : spans) all.emplace_back(s.from, s.to);
    std::sort(all.begin(), all.end());
    for (const auto& [from, to] : all) {
        if (!out.empty() && from <= out.back().second + 1)
            out.back().second = std::max(out.back().second, to);
        else
            out.emplace_back(from, to);
    }
    return out;
}

template <class Value>
std::vector<std::string> keys_of(const std::map<std::string, Value>& map) {
    std::vector<std::string> keys;
    for (const auto& [key, value] : map) keys.push_back(key);
    return keys;
}

}  // namespace

plan::Rules Compiler::run() {
    destinations();
    unique(config_.pool(), "pool");
    unique(config_.route(), "route");
    unique(config_.limit(), "limit");
    unique(config_.policy(), "policy");
    unique(config_.list(), "list");
    pools();
    routes();
    limits();
    policies();
    lists();
    bounds();
    telemetry();
    store();
    members();
    if (findings_.any_errors()) return std::move(rules_);  // what would be told now might follow from them
    unused();
    overlaps();
    return std::move(rules_);
}

void Compiler::destinations() {
    unique(config_.destination(), "destination");
    std::map<std::uint32_t, const v1::Destination*> numbers;
    for (const auto& d : config_.destination()) {
        if (!d.has_number()) continue;
        const auto [it, fresh] = numbers.emplace(d.number(), &d);
        if (!fresh)
            error(places_.of(d, "number"),
                  "destination " + std::to_string(d.number()) + " is declared twice; the first is at " +
                      to_text(places_.of(*it->second, "number")),
                  "keep one of them");
        if (!d.name().empty()) names_.emplace(d.name(), d.number());
        for (const auto& label : d.label()) labels_[label].push_back(d.number());
    }
}

std::vector<plan::Span> Compiler::spans(const google::protobuf::Message& holder,
                                        const Entries<std::string>& texts) {
    using Kind = DestinationText::Kind;
    std::vector<plan::Span> found;
    for (int i = 0; i < texts.size(); ++i) {
        const auto read = read_destination(texts[i]);
        const auto* const d = std::get_if<DestinationText>(&read);
        if (d == nullptr) continue;  // told when it was bound
        const auto fault = [&](std::string what, std::string fix) {
            error(places_.of(holder, "destination", i), std::move(what), std::move(fix));
        };
        switch (d->kind) {
            case Kind::number: found.push_back({d->from, d->to, plan::exact_number}); break;
            case Kind::range:
                found.push_back(
                    {d->from, d->to, plan::exactness_of_range(std::uint64_t{1} + d->to - d->from)});
                break;
            case Kind::prefix: {
                const auto before = found.size();
                for (auto it = names_.lower_bound(d->name);
                     it != names_.end() && it->first.starts_with(d->name); ++it)
                    found.push_back({it->second, it->second, plan::exactness_of_prefix(d->name.size())});
                if (found.size() == before)
                    fault("no destination's name begins with \"" + d->name + '"',
                          "declare one: destination { number: ... name: \"" + d->name + "...\" }");
                break;
            }
            case Kind::name:
                if (const auto named = names_.find(d->name); named != names_.end())
                    found.push_back({named->second, named->second, plan::exact_number});
                else
                    fault("no destination is named \"" + d->name + '"',
                          nearest_or(d->name, keys_of(names_),
                                     "declare it: destination { number: ... name: \"" + d->name + "\" }"));
                break;
        }
    }
    return found;
}

void Compiler::check_known(const google::protobuf::Message& holder, const char* field, int index,
                           const plan::Pattern& pattern, const std::vector<std::string>* known) {
    if (known == nullptr ||
        std::any_of(known->begin(), known->end(), [&](const auto& name) { return pattern.matches(name); }))
        return;
    error(places_.of(holder, field, index),
          std::string("the platform has no ") + field +
              (pattern.prefix ? " whose name begins with \"" : " \"") + pattern.text + '"',
          pattern.prefix ? "remove it" : nearest_or(pattern.text, *known, "remove it"));
}

std::vector<plan::Pattern> Compiler::patterns(const google::protobuf::Message& holder, const char* field,
                                              const Entries<std::string>& texts,
                                              const std::vector<std::string>* known) {
    std::vector<plan::Pattern> found;
    for (int i = 0; i < texts.size(); ++i) {
        plan::Pattern p{texts[i], texts[i].ends_with('*')};
        if (p.prefix) p.text.pop_back();
        check_known(holder, field, i, p, known);
        found.push_back(std::move(p));
    }
    return found;
}

plan::Match Compiler::match(const v1::Match& m) {
    plan::Match out;
    out.classes = patterns(m, "class", m.class_(), known_classes());
    out.tenants = patterns(m, "tenant", m.tenant(), known_tenants());
    out.destinations = spans(m, m.destination());
    out.nothing = out.destinations.empty() && m.destination_size() > 0;
    return out;
}

const std::vector<std::string>* Compiler::known_classes() {
    if (platform_ == nullptr) return nullptr;
    if (class_names_.empty())
        for (const auto& c : platform_->classes) class_names_.push_back(c.name);
    return &class_names_;
}

const std::vector<std::string>* Compiler::known_tenants() const {
    return platform_ == nullptr || platform_->tenants.empty() ? nullptr : &platform_->tenants;
}

void Compiler::check_pause(const google::protobuf::Message& holder, const char* field,
                           const std::string& text) {
    if (platform_ == nullptr || platform_->most_pause_ms <= 0 ||
        duration_ms(text) <= platform_->most_pause_ms)
        return;
    const auto most = shown_ms(platform_->most_pause_ms);
    findings_.warn(places_.of(holder, field),
                   '"' + text + "\" is longer than the pauses that the platform tells, " + most,
                   "write \"" + most + "\" or less, if its clients heed no more");
}

void Compiler::pools() {
    for (const auto& p : config_.pool()) {
        plan::PoolRule pool;
        pool.name = p.name();
        if (p.has_connections_per_host()) pool.connections_per_host = p.connections_per_host();
        if (p.has_calls_per_host()) pool.calls_per_host = p.calls_per_host();
        if (p.has_idle_total()) pool.idle_total = p.idle_total();
        if (p.has_dial_timeout()) pool.dial_timeout_ms = duration_ms(p.dial_timeout());
        if (p.has_idle_time()) pool.idle_ms = duration_ms(p.idle_time());
        if (pool.calls_per_host && pool.connections_per_host &&
            *pool.calls_per_host > *pool.connections_per_host)
            error(places_.of(p, "calls_per_host"),
                  "pool \"" + p.name() + "\" allows " + std::to_string(*pool.calls_per_host) + " calls on " +
                      std::to_string(*pool.connections_per_host) +
                      " connections, and a connection carries one call",
                  "write " + std::to_string(*pool.connections_per_host) + " or less");
        if (platform_ != nullptr && platform_->dial_timeout_ms > 0 &&
            pool.dial_timeout_ms.value_or(0) > platform_->dial_timeout_ms)
            error(places_.of(p, "dial_timeout"),
                  "\"" + p.dial_timeout() + "\" is longer than the platform's " +
                      shown_ms(platform_->dial_timeout_ms),
                  "write \"" + shown_ms(platform_->dial_timeout_ms) + "\" or less");
        if (platform_ != nullptr && platform_->idle_ms > 0 && pool.idle_ms.value_or(0) > platform_->idle_ms)
            error(places_.of(p, "idle_time"),
                  "\"" + p.idle_time() + "\" is longer than the platform's " + shown_ms(platform_->idle_ms),
                  "write \"" + shown_ms(platform_->idle_ms) + "\" or less");
        auto members = spans(p, p.destination());
        for (int i = 0; i < p.label_size(); ++i) {
            const auto found = labels_.find(p.label(i));
            if (found == labels_.end()) {
                error(places_.of(p, "label", i), "no destination has the label \"" + p.label(i) + '"',
                      nearest_or(p.label(i), keys_of(labels_), "label one, or remove this"));
                continue;
            }
            for (const auto number : found->second) members.push_back({number, number, plan::exact_number});
        }
        if (!places_.tried(p, "destination") && !places_.tried(p, "label") && !p.name().empty())
            error(places_.of(p), "pool \"" + p.name() + "\" is empty",
                  "give it destinations or labels, or remove it");
        pool_members_.push_back(std::move(members));
        rules_.pools.push_back(std::move(pool));
    }
}

void Compiler::routes() {
    for (const auto& r : config_.route()) {
        plan::RouteRule route;
        route.name = r.name();
        route.match = match(r.match());
        route.priority = r.priority();
        if (r.has_pool() && r.has_refuse())
            error(places_.of(r, "refuse"), "route \"" + r.name() + "\" both has a pool and refuses",
                  "keep one of the two");
        const bool judged = places_.tried(r, "pool") || places_.tried(r, "refuse");
        if (!r.has_pool() && !r.has_refuse() && !judged)
            error(places_.of(r), "route \"" + r.name() + "\" neither has a pool nor refuses",
                  "add pool: \"...\" or refuse { pause: \"...\" }");
        if (r.has_refuse() && r.refuse().has_pause()) {
            route.refuse_pause_ms = duration_ms(r.refuse().pause());
            check_pause(r.refuse(), "pause", r.refuse().pause());
        }
        if (r.has_pool()) {
            route.pool = refer(config_.pool(), r, "pool", r.pool(), "pool");
            if (route.pool != plan::none) {
                const auto& members = pool_members_[static_cast<std::size_t>(route.pool)];
                if (r.match().destination_size() == 0)
                    route.match.destinations = members;
                else if (!route.match.nothing)
                    check_pool_holds(r, route.match, route.pool);
                route.match.nothing =
                    route.match.nothing || (members.empty() && r.match().destination_size() == 0);
            }
        }
        rules_.routes.push_back(std::move(route));
    }
    constexpr int most_routes = 65535;  // counts by route tell so many apart
    if (config_.route_size() > most_routes)
        error(places_.of(config_.route(most_routes)), "more than " + std::to_string(most_routes) + " routes",
              "join some of them");
}

void Compiler::check_pool_holds(const v1::Route& r, const plan::Match& match, int pool) {
    auto& whole = joined_[pool];
    if (whole.empty()) whole = joined(pool_members_[static_cast<std::size_t>(pool)]);
    for (const auto& [from, to] : joined(match.destinations)) {
        auto after = std::upper_bound(whole.begin(), whole.end(), Numbers(from, plan::all_destinations));
        if (after != whole.begin() && std::prev(after)->second >= to) continue;
        const auto set = from == to ? std::to_string(from) : std::to_string(from) + '-' + std::to_string(to);
        error(places_.of(r, "pool"),
              "route \"" + r.name() + "\" sends destination " + set + " to pool \"" + r.pool() +
                  "\", which does not hold " + (from == to ? "it" : "all of it"),
              "add it to the pool, or narrow the route");
        return;
    }
}

void Compiler::unused() {
    std::set<int> used;
    for (const auto& route : rules_.routes) used.insert(route.pool);
    for (int i = 0; i < config_.pool_size(); ++i)
        if (used.count(i) == 0)
            findings_.warn(places_.of(config_.pool(i)),
                           "no route uses pool \"" + config_.pool(i).name() + '"',
                           "add a route to it, or remove it");
}

void Compiler::overlaps() {
    plan::Names names = names_in(rules_);
    if (const auto* const known = known_classes()) names.classes = *known;
    if (const auto* const known = known_tenants()) names.tenants = *known;
    if (names.classes.size() > plan::Index::most_classes)
        return error({}, "there are more than " + std::to_string(plan::Index::most_classes) + " classes",
                     "name fewer");
    try {
        const plan::Plan plan(rules_, names);
        const auto found = plan.route_index().analyse();
        for (const auto& [rule, other] : found.ambiguous) {
            const auto &a = config_.route(rule), &b = config_.route(other);
            error(places_.of(a),
                  "route \"" + a.name() + "\" and route \"" + b.name() + "\" at " + to_text(places_.of(b)) +
                      " match the same message equally exactly",
                  "give one of them a priority");
        }
        for (const auto& [rule, other] : found.hidden) {
            const auto &a = config_.route(rule), &b = config_.route(other);
            findings_.warn(places_.of(a),
                           "route \"" + a.name() + "\" never holds: route \"" + b.name() + "\" at " +
                               to_text(places_.of(b)) + " comes before it",
                           "raise its priority, or remove it");
        }
    } catch (const plan::TooManyCells& entry) {
        error({},
              std::string("\"") + entry.what() +
                  "\" matches too many combinations of destinations, tenants and classes",
              "match fewer values, or the beginning of a name");
    }
}

plan::Rules compile(const Document& document, const Platform* platform, Findings& findings) {
    // Where a file could not be read, what it would have defined is not missing.
    if (!document.whole) return {};
    return Compiler(document, platform, findings).run();
}

plan::Names names_in(const plan::Rules& rules) {
    std::set<std::string> classes, tenants;
    const auto add = [](std::set<std::string>& into, const std::vector<plan::Pattern>& patterns) {
        for (const auto& p : patterns) into.insert(p.prefix ? p.text + "..." : p.text);
    };
    const auto add_all = [&](const auto& entries) {
        for (const auto& entry : entries) {
            add(classes, entry.match.classes);
            add(tenants, entry.match.tenants);
        }
    };
    add_all(rules.routes);
    add_all(rules.limits);
    add_all(rules.policies);
    for (const auto& limit : rules.limits)
        for (const auto& g : limit.guarantees) {
            if (g.of == plan::Dimension::tenant) tenants.insert(g.name);
            if (g.of == plan::Dimension::message_class) classes.insert(g.name);
        }
    return {{classes.begin(), classes.end()}, {tenants.begin(), tenants.end()}};
}

}  // namespace brasslift::lang
