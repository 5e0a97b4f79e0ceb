#include "plan/plan.hpp"

#include <algorithm>

namespace brasslift::plan {
namespace {

template <class Entry>
Index index_of(const std::vector<Entry>& entries, const Names& names) {
    std::vector<Index::Rule> rules;
    rules.reserve(entries.size());
    for (const auto& entry : entries) {
        int priority = 0;
        if constexpr (std::is_same_v<Entry, RouteRule>) priority = entry.priority;
        rules.push_back({&entry.match, priority});
    }
    try {
        return Index(rules, names);
    } catch (const TooManyCells& at) {
        throw TooManyCells(entries[std::stoul(at.what())].name);
    }
}

int place(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? none : static_cast<int>(found - names.begin());
}

// Of those that match, the ones for any route or for this one.
template <class Entry>
void keep_of_route(const std::vector<Entry>& entries, int route, std::vector<int>& found, std::size_t from) {
    found.erase(std::remove_if(found.begin() + static_cast<std::ptrdiff_t>(from), found.end(),
                               [&](int i) {
                                   const int only = entries[static_cast<std::size_t>(i)].route;
                                   return only != none && only != route;
                               }),
                found.end());
}

}  // namespace

Plan::Plan(Rules rules, const Names& names)
    : rules_(std::move(rules)),
      names_(names),
      routes_(index_of(rules_.routes, names)),
      limits_(index_of(rules_.limits, names)),
      policies_(index_of(rules_.policies, names)) {
    std::vector<std::string> routes;
    for (const auto& r : rules_.routes) routes.push_back(r.name);
    for (const auto& limit : rules_.limits) {
        auto& owners = owners_.emplace_back();
        for (const auto& g : limit.guarantees)
            owners.push_back({g.of, place(g.of == Dimension::tenant          ? names_.tenants
                                          : g.of == Dimension::message_class ? names_.classes
                                                                             : routes,
                                          g.name)});
    }
}

void Plan::limits(const Subject& subject, int route, std::vector<int>& into) const {
    const auto from = into.size();
    limits_.all(subject, into);
    keep_of_route(rules_.limits, route, into, from);
}

void Plan::policies(const Subject& subject, int route, std::vector<int>& into) const {
    const auto from = into.size();
    policies_.all(subject, into);
    keep_of_route(rules_.policies, route, into, from);
}

std::size_t Plan::lane(int limit, const Subject& s, int route) const {
    const auto& owners = owners_[static_cast<std::size_t>(limit)];
    for (std::size_t i = 0; i < owners.size(); ++i) {
        const int own = owners[i].of == Dimension::tenant          ? s.tenant
                        : owners[i].of == Dimension::message_class ? s.message_class
                                                                   : route;
        if (owners[i].place != none && owners[i].place == own) return i;
    }
    return owners.size();
}

CountKey Plan::key(int limit, const Subject& s, int route) const {
    CountKey key;
    for (const auto dimension : rules_.limits[static_cast<std::size_t>(limit)].by) {
        switch (dimension) {
            case Dimension::tenant: key.tenant = s.tenant; break;
            case Dimension::message_class: key.message_class = s.message_class; break;
            case Dimension::destination: key.destination = s.destination; break;
            case Dimension::route: key.route = static_cast<std::uint16_t>(route + 1); break;
        }
    }
    return key;
}

std::size_t Plan::bytes() const { return routes_.bytes() + limits_.bytes() + policies_.bytes(); }

}  // namespace brasslift::plan
