// Judges a bound configuration and turns it into rules; used by compile() alone. compile.cpp has
// destinations, pools and routes, compile_limits.cpp limits, policies and bounds, compile_telemetry.cpp
// telemetry.
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
    std::vector<plan::Span> spans(const google::protobuf::Message& holder, const Entries<std::string>& texts);

    std::vector<plan::Pattern> patterns(const google::protobuf::Message& holder, const char* field,
                                        const Entries<std::string>& texts,
                                        const std::vector<std::string>* known);
    // Tells of a name or beginning of one that the platform does not know.
    void check_known(const google::protobuf::Message& holder, const char* field, int index,
                     const plan::Pattern& pattern, const std::vector<std::string>* known);

    plan::Match match(const v1::Match& m);

    // Of the platform; nullptr where any may come.
    const std::vector<std::string>* known_classes();
    const std::vector<std::string>* known_tenants() const;

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
        error(places_.of(by, field), std::string("there is no ") + what + " \"" + name + '"',
              nearest_or(name, known, std::string("define it: ") + what + " { name: \"" + name + "\" ... }"));
        return plan::none;
    }

    void pools();

    void check_pool_holds(const v1::Route& r, const plan::Match& match, int pool);

    void routes();

    // Clients may not know what to do with a longer pause than the platform has; operators may know better.
    void check_pause(const google::protobuf::Message& holder, const char* field, const std::string& text);

    int route_of(const google::protobuf::Message& by, bool has, const std::string& name) {
        return has ? refer(config_.route(), by, "route", name, "route") : plan::none;
    }

    void limits();

    void guarantees(const v1::Limit& l, plan::LimitRule& limit);

    void policies();

    // A policy may only take away from what the decision module was given.
    void narrower(const v1::Policy& p, const plan::PolicyRule& policy);

    void bounds();

    void telemetry();
    void store();
    void members();
    void lists();
    void headers(const v1::Telemetry& t, plan::TelemetryRule& rule);

    void unused();

    // Routes that never hold, and pairs of which neither comes first.
    void overlaps();

    const v1::Operator& config_;
    const Places& places_;
    const Platform* platform_;
    Findings& findings_;
    plan::Rules rules_;
    std::map<std::string, DestinationId> names_;
    std::map<std::string, std::vector<DestinationId>> labels_;
    std::vector<std::vector<plan::Span>> pool_members_;
    std::map<int, std::vector<std::pair<std::uint64_t, std::uint64_t>>> joined_;
    std::map<std::string, std::map<std::string, int>> refers_;
    std::vector<std::string> class_names_;
};

}  // namespace brasslift::lang
