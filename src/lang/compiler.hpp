// Judges a bound configuration and turns it into rules; used by compile() alone. compile.cpp has
// destinations, pools and routes, compile_limits.cpp limits, policies and bounds.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lang/load.hpp"
#include "lang/units.hpp"

namespace brasslift::lang {

namespace v1 = config::v1;

inline Quantity quantity(Unit unit, const std::string& text) {
    const auto read = read_quantity(unit, text);
    return std::holds_alternative<Quantity>(read) ? std::get<Quantity>(read) : Quantity{};
}
inline double duration_ms(const std::string& text) { return quantity(Unit::duration, text).milliseconds(); }
inline double rate_per_s(const std::string& text) { return quantity(Unit::rate, text).per_second(); }
inline double part_of(const std::string& text) { return quantity(Unit::share, text).part(); }
inline std::size_t bytes_of(const std::string& text) {
    return static_cast<std::size_t>(quantity(Unit::size, text).value);
}
inline std::string shown_ms(double ms) {
    return write_quantity(Unit::duration, {static_cast<std::int64_t>(ms * 1000)});
}

inline bool is_digits(const std::string& text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

template <class Entry>
using Entries = google::protobuf::RepeatedPtrField<Entry>;

class Compiler {
public:
    Compiler(const Document& document, const Platform* platform, Findings& findings)
        : config_(document.config), places_(document.places), platform_(platform), findings_(findings) {}

    plan::Rules run();

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

    void destinations();

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

    void pools();

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

    void check_pool_holds(const v1::Route& r, const plan::Match& match, int pool);

    void routes();

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

    void limits();

    void guarantees(const v1::Limit& l, plan::LimitRule& limit);

    void policies();

    // A policy may only take away from what the decision module was given.
    void narrower(const v1::Policy& p, const plan::PolicyRule& policy);

    void bounds();

    void unused();

    // Routes that never hold, and pairs of which neither comes first.
    void overlaps();

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

}  // namespace brasslift::lang
