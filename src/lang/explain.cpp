#include <algorithm>

#include "lang/meaning.hpp"
#include "plan/plan.hpp"

namespace brasslift::lang {
namespace {

constexpr std::size_t most_shown = 20;

std::string listed(const std::vector<plan::Pattern>& patterns) {
    std::string all;
    for (std::size_t i = 0; i < patterns.size() && i < 4; ++i)
        all += (i == 0 ? "" : ", ") + patterns[i].text + (patterns[i].prefix ? "*" : "");
    return all + (patterns.size() > 4 ? ", ..." : "");
}

bool any_of(const std::vector<plan::Pattern>& patterns, const std::string& name) {
    return patterns.empty() ||
           std::any_of(patterns.begin(), patterns.end(), [&](const auto& p) { return p.matches(name); });
}

// Why a rule is not about a message; empty where it is.
std::string mismatch(const plan::Match& m, const Question& q) {
    if (!any_of(m.classes, q.message_class)) return "its class is " + listed(m.classes);
    if (!any_of(m.tenants, q.tenant)) return "its tenant is " + listed(m.tenants);
    const bool there = m.destinations.empty() ||
                       std::any_of(m.destinations.begin(), m.destinations.end(), [&](const auto& s) {
                           return s.from <= q.destination && q.destination <= s.to;
                       });
    if (!there || m.nothing) return "its destinations are others";
    return {};
}

class Explainer {
public:
    Explainer(const Document& d, const plan::Rules& rules, const plan::Names& names, const Question& q,
              bool all)
        : config_(d.config), places_(d.places), rules_(rules), names_(names), q_(q), all_(all) {}

    std::string run() {
        const auto at = [](const std::vector<std::string>& names, const std::string& name) {
            return static_cast<std::uint16_t>(std::find(names.begin(), names.end(), name) - names.begin());
        };
        const plan::Plan plan(rules_, names_);
        const plan::Subject subject{at(names_.classes, q_.message_class), at(names_.tenants, q_.tenant),
                                    q_.destination};
        const int route = plan.route(subject);
        routes(route);
        std::vector<int> found;
        plan.limits(subject, route, found);
        list("limit", rules_.limits, config_.limit(), found, route, [&](int i) {
            const auto& l = config_.limit(i);
            std::string text;
            if (l.has_rate()) text += " rate " + l.rate();
            if (l.has_held()) text += " held " + std::to_string(l.held());
            if (l.has_held_bytes()) text += " held_bytes " + l.held_bytes();
            const auto lane = plan.lane(i, subject, route);
            if (lane < rules_.limits[static_cast<std::size_t>(i)].guarantees.size())
                text += ", guaranteed " + l.guarantee(static_cast<int>(lane)).part() + " of it";
            return text;
        });
        found.clear();
        plan.policies(subject, route, found);
        list("policy", rules_.policies, config_.policy(), found, route, [&](int i) {
            const auto& p = config_.policy(i);
            std::string text;
            if (p.has_deadline()) text += " deadline " + p.deadline();
            if (p.has_attempts()) text += " attempts " + std::to_string(p.attempts());
            if (p.has_retry_budget()) text += " retry_budget " + p.retry_budget().part();
            return text;
        });
        return std::move(out_);
    }

private:
    template <class Message>
    std::string head(const char* what, const Message& entry) {
        return std::string(what) + " \"" + entry.name() + "\" (" + lang::to_text(places_.of(entry)) + ')';
    }

    void routes(int holds) {
        if (holds == plan::none) {
            out_ += "route: none; the dispatcher's own connection settings hold\n";
        } else {
            const auto& r = config_.route(holds);
            out_ +=
                head("route", r) + (r.has_refuse() ? ": refused, pause " + r.refuse().pause() : "") + '\n';
            if (r.has_pool())
                out_ +=
                    head("pool", config_.pool(rules_.routes[static_cast<std::size_t>(holds)].pool)) + '\n';
        }
        std::vector<std::string> lost, others;
        for (int i = 0; i < config_.route_size(); ++i) {
            if (i == holds) continue;
            const auto& rule = rules_.routes[static_cast<std::size_t>(i)];
            const auto why = mismatch(rule.match, q_);
            if (!why.empty()) {
                others.push_back("  not " + head("route", config_.route(i)) + ": " + why + '\n');
            } else {
                const int own = rule.priority,
                          other = rules_.routes[static_cast<std::size_t>(holds)].priority;
                lost.push_back("  not " + head("route", config_.route(i)) + ": it matches, but " +
                               (own < other ? "its priority " + std::to_string(own) + " is below " +
                                                  std::to_string(other)
                                            : std::string("less exactly")) +
                               '\n');
            }
        }
        tell(lost);
        tell(others);
    }

    template <class Rule, class Messages, class Say>
    void list(const char* what, const std::vector<Rule>& rules, const Messages& messages,
              const std::vector<int>& hold, int route, Say say) {
        if (hold.empty()) out_ += std::string(what) + ": none\n";
        for (const int i : hold) out_ += head(what, messages.Get(i)) + ':' + say(i) + '\n';
        std::vector<std::string> others;
        for (int i = 0; i < messages.size(); ++i) {
            if (std::find(hold.begin(), hold.end(), i) != hold.end()) continue;
            const auto& rule = rules[static_cast<std::size_t>(i)];
            auto why = mismatch(rule.match, q_);
            if (why.empty() && rule.route != route)
                why = "it is for route \"" + messages.Get(i).route() + '"';
            others.push_back("  not " + head(what, messages.Get(i)) + ": " + why + '\n');
        }
        tell(others);
    }

    void tell(const std::vector<std::string>& lines) {
        for (std::size_t i = 0; i < lines.size() && (all_ || i < most_shown); ++i) out_ += lines[i];
        if (!all_ && lines.size() > most_shown)
            out_ += "  and " + std::to_string(lines.size() - most_shown) + " more (--all shows them)\n";
    }

    const config::v1::Operator& config_;
    const Places& places_;
    const plan::Rules& rules_;
    const plan::Names& names_;
    const Question& q_;
    bool all_;
    std::string out_;
};

}  // namespace

std::string explain(const Document& document, const plan::Rules& rules, const plan::Names& names,
                    const Question& question, bool all) {
    return Explainer(document, rules, names, question, all).run();
}

}  // namespace brasslift::lang
