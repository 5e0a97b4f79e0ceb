// What the named lists of the installation keep out (docs/design/lists.md): entries as they are told, and
// what of them holds by the rules' declarations. Pure: the time is told. Endpoints are not judged here but
// where hosts are listed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "plan/lane.hpp"
#include "plan/rules.hpp"

namespace brasslift::plan {

// From one version of a list to another.
struct ListChange {
    std::string name;
    ListKind kind = ListKind::none;
    bool whole = false;  // all entries that there are, whatever was there before
    std::vector<std::pair<std::string, std::uint64_t>> put;
    std::vector<std::string> drop;
};

class Lists {
public:
    void change(const ListChange& change);
    // What holds from now on; called again after every change of entries, rules or names. Tokens of caps that
    // stay are kept.
    void hold(const std::vector<ListRule>& rules, const Names& names, Time now);

    struct Look {
        const std::string* by = nullptr;  // the list that refuses; lives as long as the rules
        double pause_ms = 0;
        bool capped = false;
        Lane::Grant grant = Lane::Grant::none;
    };
    Look look(Time now, const Subject& subject, std::uint64_t print);
    // A message that is taken on after such a look, and one that its cap has refused: its pause.
    void take(const Look& look, const Subject& subject, std::uint64_t print);
    double refuse(Time now, const Subject& subject, std::uint64_t print, bool again);
    void undo(std::uint16_t tenant);

private:
    struct Contents {
        ListKind kind = ListKind::none;
        std::map<std::string, std::uint64_t> entries;
    };
    struct Bar {
        const std::string* by = nullptr;
        double pause_ms = 0;
    };
    struct Cap {
        const std::string* by = nullptr;
        double rate = 0;  // a second
        Lane lane;
    };
    std::map<std::string, Contents> contents_;
    std::unordered_map<DestinationId, Bar> shut_;    // by destination
    std::unordered_map<std::uint16_t, Bar> barred_;  // by tenant, as caps
    std::unordered_map<std::uint16_t, Cap> caps_;
};

}  // namespace brasslift::plan
