#include <algorithm>
#include <functional>
#include <set>

#include "lang/load.hpp"
#include "lang/units.hpp"
#include "plan/plan.hpp"

namespace brasslift::lang {
namespace {

namespace v1 = config::v1;

Quantity quantity(Unit unit, const std::string& text) {
    const auto read = read_quantity(unit, text);
    return std::holds_alternative<Quantity>(read) ? std::get<Quantity>(read) : Quantity{};
}
double duration_ms(const std::string& text) { return quantity(Unit::duration, text).milliseconds(); }
double rate_per_s(const std::string& text) { return quantity(Unit::rate, text).per_second(); }
double part_of(const std::string& text) { return quantity(Unit::share, text).part(); }
std::size_t bytes_of(const std::string& text) {
    return static_cast<std::size_t>(quantity(Unit::size, text).value);
}
std::string shown_ms(double ms) {
    return write_quantity(Unit::duration, {static_cast<std::int64_t>(ms * 1000)});
}

bool is_digits(const std::string& text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

template <class Entry>
using Entries = google::protobuf::RepeatedPtrField<Entry>;

class Compiler {
public:
    Compiler(const Document& document, const Platform* platform, Findings& findings)
        : config_(document.config), places_(document.places), platform_(platform), findings_(findings) {}

    plan::Rules run() {
        destinations();
        unique(config_.pool(), "pool");
        unique(config_.route(), "route");
        unique(config_.limit(), "limit");
        unique(config_.policy(), "policy");
        pools();
        routes();
        limits();
        policies();
        bounds();
        if (findings_.any_errors())
            return std::move(rules_);  // what would be told now might follow from them
        unused();
        overlaps();
        return std::move(rules_);
    }

private:
    template <class Entry>
    void unique(const Entries<Entry>& entries, const std::string& what) {
        std::map<std::string, const Entry*> first;
        for (const auto& entry : entries) {
            if (entry.name().empty()) continue;
            const auto [it, fresh] = first.emplace(entry.name(), &entry);
            if (!fresh)
                error(places_.of(entry, "name"),
                      what + " \"" + entry.name() + "\" is defined twice; the first is at " +
                          to_text(places_.of(*it->second, "name")),
                      "rename one, or remove it");
        }
    }

    void error(Place at, std::string what, std::string fix) {
        findings_.error(std::move(at), std::move(what), std::move(fix));
    }

    void destinations() {
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
            if (!d.name().empty()) names_.emplace(d.name(), static_cast<std::uint16_t>(d.number()));
            for (const auto& label : d.label())
                labels_[label].push_back(static_cast<std::uint16_t>(d.number()));
        }
    }

    // Destinations as they are written, in any entry that has them.
    std::vector<plan::Span> spans(const google::protobuf::Message& holder,
                                  const Entries<std::string>& texts) {
        std::vector<plan::Span> found;
        for (int i = 0; i < texts.size(); ++i) {
            const auto& text = texts[i];
            if (const auto dash = text.find('-'); dash != std::string::npos &&
                                                  is_digits(text.substr(0, dash)) &&
                                                  is_digits(text.substr(dash + 1))) {
                const auto from = std::stoul(text.substr(0, dash)), to = std::stoul(text.substr(dash + 1));
                found.push_back({static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to),
                                 plan::exactness_of_range(static_cast<std::uint32_t>(to - from + 1))});
            } else if (is_digits(text)) {
                const auto number = static_cast<std::uint16_t>(std::stoul(text));
                found.push_back({number, number, plan::exact_number});
            } else if (text.ends_with('*')) {
                const auto stem = text.substr(0, text.size() - 1);
                bool any = false;
                for (auto it = names_.lower_bound(stem); it != names_.end() && it->first.starts_with(stem);
                     ++it, any = true)
                    found.push_back({it->second, it->second, plan::exactness_of_prefix(stem.size())});
                if (!any)
                    error(places_.of(holder, "destination", i),
                          "no destination's name begins with \"" + stem + '"',
                          "declare one: destination { number: ... name: \"" + stem + "...\" }");
            } else if (const auto named = names_.find(text); named != names_.end()) {
                found.push_back({named->second, named->second, plan::exact_number});
            } else {
                std::vector<std::string> known;
                for (const auto& [name, number] : names_) known.push_back(name);
                const auto near = nearest(text, known);
                error(places_.of(holder, "destination", i), "no destination is named \"" + text + '"',
                      near.empty() ? "declare it: destination { number: ... name: \"" + text + "\" }"
                                   : "write \"" + near + '"');
            }
        }
        return found;
    }

    std::vector<plan::Pattern> patterns(const google::protobuf::Message& holder, const char* field,
                                        const Entries<std::string>& texts,
                                        const std::vector<std::string>* known) {
        std::vector<plan::Pattern> found;
        for (int i = 0; i < texts.size(); ++i) {
            plan::Pattern p{texts[i], texts[i].ends_with('*')};
            if (p.prefix) p.text.pop_back();
            const bool any =
                known == nullptr ||
                std::any_of(known->begin(), known->end(), [&](const auto& name) { return p.matches(name); });
            if (!any) {
                const auto near = p.prefix ? std::string() : nearest(p.text, *known);
                error(places_.of(holder, field, i),
                      std::string("the platform has no ") + field +
                          (p.prefix ? " whose name begins with \"" : " \"") + p.text + '"',
                      near.empty() ? "remove it" : "write \"" + near + '"');
            }
            found.push_back(std::move(p));
        }
        return found;
    }

    plan::Match match(const v1::Match& m) {
        plan::Match out;
        out.classes = patterns(m, "class", m.class_(), platform_ == nullptr ? nullptr : &class_names());
        out.tenants =
            patterns(m, "tenant", m.tenant(),
                     platform_ == nullptr || platform_->tenants.empty() ? nullptr : &platform_->tenants);
        out.destinations = spans(m, m.destination());
        out.nothing = out.destinations.empty() && m.destination_size() > 0;
        return out;
    }

    const std::vector<std::string>& class_names() {
        if (class_names_.empty())
            for (const auto& c : platform_->classes) class_names_.push_back(c.name);
        return class_names_;
    }

    template <class Entry>
    int refer(const Entries<Entry>& entries, const google::protobuf::Message& by, const char* field,
              const std::string& name, const char* what) {
        auto& places = refers_[what];
        if (places.empty())
            for (int i = 0; i < entries.size(); ++i) places.emplace(entries[i].name(), i);
        if (const auto found = places.find(name); found != places.end()) return found->second;
        std::vector<std::string> known;
        for (const auto& entry : entries) known.push_back(entry.name());
        // One whose own name could not be read may be the one that is meant.
        if (std::find(known.begin(), known.end(), "") != known.end()) return plan::none;
        const auto near = nearest(name, known);
        error(places_.of(by, field), std::string("there is no ") + what + " \"" + name + '"',
              near.empty() ? std::string("define it: ") + what + " { name: \"" + name + "\" ... }"
                           : "write \"" + near + '"');
        return plan::none;
    }

    void pools() {
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
                      "pool \"" + p.name() + "\" allows " + std::to_string(*pool.calls_per_host) +
                          " calls on " + std::to_string(*pool.connections_per_host) +
                          " connections, and a connection carries one call",
                      "write " + std::to_string(*pool.connections_per_host) + " or less");
            if (platform_ != nullptr && platform_->dial_timeout_ms > 0 &&
                pool.dial_timeout_ms.value_or(0) > platform_->dial_timeout_ms)
                error(places_.of(p, "dial_timeout"),
                      "\"" + p.dial_timeout() + "\" is longer than the platform's " +
                          shown_ms(platform_->dial_timeout_ms),
                      "write \"" + shown_ms(platform_->dial_timeout_ms) + "\" or less");
            if (platform_ != nullptr && platform_->idle_ms > 0 &&
                pool.idle_ms.value_or(0) > platform_->idle_ms)
                error(
                    places_.of(p, "idle_time"),
                    "\"" + p.idle_time() + "\" is longer than the platform's " + shown_ms(platform_->idle_ms),
                    "write \"" + shown_ms(platform_->idle_ms) + "\" or less");
            auto members = spans(p, p.destination());
            for (int i = 0; i < p.label_size(); ++i) {
                const auto found = labels_.find(p.label(i));
                if (found == labels_.end()) {
                    std::vector<std::string> known;
                    for (const auto& [label, numbers] : labels_) known.push_back(label);
                    const auto near = nearest(p.label(i), known);
                    error(places_.of(p, "label", i), "no destination has the label \"" + p.label(i) + '"',
                          near.empty() ? "label one, or remove this" : "write \"" + near + '"');
                    continue;
                }
                for (const auto number : found->second)
                    members.push_back({number, number, plan::exact_number});
            }
            if (!places_.tried(p, "destination") && !places_.tried(p, "label") && !p.name().empty())
                error(places_.of(p), "pool \"" + p.name() + "\" is empty",
                      "give it destinations or labels, or remove it");
            pool_members_.push_back(std::move(members));
            rules_.pools.push_back(std::move(pool));
        }
    }

    // The destinations of a set as sorted ranges that do not touch.
    static std::vector<std::pair<int, int>> joined(const std::vector<plan::Span>& spans) {
        std::vector<std::pair<int, int>> all, out;
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

    void check_pool_holds(const v1::Route& r, const plan::Match& match, int pool) {
        auto& whole = joined_[pool];
        if (whole.empty()) whole = joined(pool_members_[static_cast<std::size_t>(pool)]);
        for (const auto& [from, to] : joined(match.destinations)) {
            auto after = std::upper_bound(whole.begin(), whole.end(), std::pair(from, 1 << 20));
            if (after != whole.begin() && std::prev(after)->second >= to) continue;
            const auto set =
                from == to ? std::to_string(from) : std::to_string(from) + '-' + std::to_string(to);
            error(places_.of(r, "pool"),
                  "route \"" + r.name() + "\" sends destination " + set + " to pool \"" + r.pool() +
                      "\", which does not hold " + (from == to ? "it" : "all of it"),
                  "add it to the pool, or narrow the route");
            return;
        }
    }

    void routes() {
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
            error(places_.of(config_.route(most_routes)),
                  "more than " + std::to_string(most_routes) + " routes", "join some of them");
    }

    // Clients may not know what to do with a longer pause than the platform has; operators may know better.
    void check_pause(const google::protobuf::Message& holder, const char* field, const std::string& text) {
        if (platform_ == nullptr || platform_->most_pause_ms <= 0 ||
            duration_ms(text) <= platform_->most_pause_ms)
            return;
        findings_.warn(
            places_.of(holder, field),
            '"' + text + "\" is longer than the pauses that the platform tells, " +
                shown_ms(platform_->most_pause_ms),
            "write \"" + shown_ms(platform_->most_pause_ms) + "\" or less, if its clients heed no more");
    }

    int route_of(const google::protobuf::Message& by, bool has, const std::string& name) {
        return has ? refer(config_.route(), by, "route", name, "route") : plan::none;
    }

    void limits() {
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
                error(places_.of(l), "limit \"" + l.name() + "\" limits nothing",
                      "add rate, held or held_bytes");
            if (l.has_burst() && !l.has_rate() && !places_.tried(l, "rate"))
                error(places_.of(l, "burst"), "limit \"" + l.name() + "\" has a burst and no rate",
                      "add a rate, or remove the burst");
            guarantees(l, limit);
            if (l.has_lend() && limit.guarantees.empty())
                error(places_.of(l, "lend"), "limit \"" + l.name() + "\" lends and guarantees nothing",
                      "add a guarantee, or remove lend");
            rules_.limits.push_back(std::move(limit));
        }
    }

    void guarantees(const v1::Limit& l, plan::LimitRule& limit) {
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
                          owners == 0 ? "this guarantee belongs to nobody"
                                      : "this guarantee belongs to several",
                          "name one tenant, class or route");
                continue;
            }
            plan::Guarantee out;
            out.of = g.has_tenant()   ? plan::Dimension::tenant
                     : g.has_class_() ? plan::Dimension::message_class
                                      : plan::Dimension::route;
            out.name = g.has_tenant() ? g.tenant() : g.has_class_() ? g.class_() : g.route();
            if (g.has_route() && refer(config_.route(), g, "route", g.route(), "route") == plan::none)
                continue;
            if (platform_ != nullptr && g.has_tenant() && !platform_->tenants.empty() &&
                std::find(platform_->tenants.begin(), platform_->tenants.end(), out.name) ==
                    platform_->tenants.end()) {
                const auto near = nearest(out.name, platform_->tenants);
                error(places_.of(g, "tenant"), "the platform has no tenant \"" + out.name + '"',
                      near.empty() ? "remove it" : "write \"" + near + '"');
            }
            if (platform_ != nullptr && g.has_class_() &&
                std::find(class_names().begin(), class_names().end(), out.name) == class_names().end()) {
                const auto near = nearest(out.name, class_names());
                error(places_.of(g, "class"), "the platform has no class \"" + out.name + '"',
                      near.empty() ? "remove it" : "write \"" + near + '"');
            }
            out.part = part_of(g.part());
            if (!limit.guarantees.empty() && limit.guarantees.front().of != out.of)
                error(places_.of(g),
                      "limit \"" + l.name() + "\" guarantees parts to different kinds of owners",
                      "use tenants, classes or routes alone");
            if (std::find(limit.by.begin(), limit.by.end(), out.of) != limit.by.end())
                error(places_.of(g),
                      "limit \"" + l.name() + "\" counts by the same that it guarantees parts of",
                      "remove it from `by`, or remove the guarantee");
            const auto [first, fresh] = seen.emplace(std::pair(out.of, out.name), &g);
            if (!fresh)
                error(
                    places_.of(g),
                    "\"" + out.name + "\" has a guarantee already, at " + to_text(places_.of(*first->second)),
                    "keep one of them");
            sum += quantity(Unit::share, g.part()).value;
            limit.guarantees.push_back(std::move(out));
        }
        if (sum > 100'000)
            error(places_.of(l, "guarantee"),
                  "the guarantees of limit \"" + l.name() + "\" come to " +
                      write_quantity(Unit::share, {sum}) + " of it",
                  "lower them to 100% together");
        if (l.guarantee_size() > most_guarantees)
            error(places_.of(l, "guarantee", most_guarantees),
                  "more than " + std::to_string(most_guarantees) + " guarantees",
                  "join some owners in a limit of their own");
    }

    void policies() {
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
            const bool tried = places_.tried(p, "deadline") || places_.tried(p, "attempts") ||
                               places_.tried(p, "retry_budget");
            if (!tried)
                error(own, "policy \"" + p.name() + "\" says nothing",
                      "add deadline, attempts or retry_budget");
            if (platform_ != nullptr) narrower(p, policy);
            rules_.policies.push_back(std::move(policy));
        }
    }

    // A policy may only take away from what the decision module was given.
    void narrower(const v1::Policy& p, const plan::PolicyRule& policy) {
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

    void bounds() {
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

    void unused() {
        std::set<int> used;
        for (const auto& route : rules_.routes) used.insert(route.pool);
        for (int i = 0; i < config_.pool_size(); ++i)
            if (used.count(i) == 0)
                findings_.warn(places_.of(config_.pool(i)),
                               "no route uses pool \"" + config_.pool(i).name() + '"',
                               "add a route to it, or remove it");
    }

    // Routes that never hold, and pairs of which neither comes first.
    void overlaps() {
        plan::Names names = names_in(rules_);
        if (platform_ != nullptr) {
            names.classes = class_names();
            if (!platform_->tenants.empty()) names.tenants = platform_->tenants;
        }
        try {
            const plan::Plan plan(rules_, names);
            const auto found = plan.route_index().analyse();
            for (const auto& [rule, other] : found.ambiguous) {
                const auto &a = config_.route(rule), &b = config_.route(other);
                error(places_.of(a),
                      "route \"" + a.name() + "\" and route \"" + b.name() + "\" at " +
                          to_text(places_.of(b)) + " match the same message equally exactly",
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

    const v1::Operator& config_;
    const Places& places_;
    const Platform* platform_;
    Findings& findings_;
    plan::Rules rules_;
    std::map<std::string, std::uint16_t> names_;
    std::map<std::string, std::vector<std::uint16_t>> labels_;
    std::vector<std::vector<plan::Span>> pool_members_;
    std::map<int, std::vector<std::pair<int, int>>> joined_;
    std::map<std::string, std::map<std::string, int>> refers_;
    std::vector<std::string> class_names_;
};

}  // namespace

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
