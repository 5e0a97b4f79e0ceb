// Hollow members: many members in one process, each the real Node with its codec, sockets and journal, and
// without stores, clients or dispatch; rules are taken without a look. What they hold is told over HTTP
// (see port()). One thread. Errors: throws std::runtime_error where a member cannot begin.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/member_fleet.hpp"
#include "lab/peers.hpp"
#include "members/node.hpp"

namespace brasslift::lab {

class HollowMembers {
public:
    // The members of an operators' file with these names, each on a folder of its own below `folder`, which
    // outlasts the process. `down_since`: since when they have had no lease, by members::boot_now(); 0: now.
    HollowMembers(runtime::Scheduler& scheduler, const std::string& operators_file, const std::string& folder,
                  const std::vector<std::string>& names, double down_since = 0);
    ~HollowMembers();
    // Of what is told: GET /state; POST /watch looks at leases anew; POST /part?from=a,b loses what is said
    // to and by these names, and by nobody where none is named.
    std::uint16_t port() const { return party_.port(); }

private:
    struct One;
    struct Active {
        int members = 0;
        double last_at = 0;  // by members::boot_now()
    };
    Party::Reply answer(const http::Message& request);
    std::string state() const;
    void part(const std::string& names);
    void watch_anew();
    LeaseGaps gaps() const;
    runtime::Task<void> watch_leases();

    runtime::Scheduler& scheduler_;
    std::vector<std::unique_ptr<One>> all_;
    std::map<std::uint64_t, Active> active_;  // by version: who has come to act on it or a later one
    Party party_;
};

}  // namespace brasslift::lab
