// Who may act on a version, and when the one before it has certainly gone (docs/design/members.md). Pure:
// times are told, in milliseconds of one process's own clock, which also runs while its machine sleeps.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <vector>

namespace brasslift::members {

using Id = std::uint64_t;  // of a member, by its name; never 0
constexpr double ages_ago = -std::numeric_limits<double>::infinity();

// What two processes' clocks may differ by in their rate, and what one turn of the loop and one slow write
// may take beside a lease.
constexpr double clock_error = 0.01, turn_ms = 200;

struct Terms {
    double lease_ms = 0;  // from the instant at which it was asked for, by the holder's clock
    double renew_ms = 0;  // between two asks
    double gone_ms = 0;   // after which no lease is left that was given before, by anybody's clock
};
// The longest that two members may act on rules that contradict each other, in ms; at least 1000.
Terms terms_for(double contradiction_ms);

// A member's own leases.
class Holder {
public:
    explicit Holder(const Terms& terms) : terms_(terms) {}

    // Whose yes counts for a version.
    void voters(std::uint64_t version, std::set<Id> voters) { voters_[version] = std::move(voters); }

    // The voter has renewed that version for an ask at that time.
    void granted(Id voter, std::uint64_t version, double asked_at);
    // Until when this member may act on the version; ages_ago: it never might.
    double until(std::uint64_t version) const;
    bool may(std::uint64_t version, double now) const { return now < until(version); }
    // Versions before that one are never acted on again.
    void forget_before(std::uint64_t version);

private:
    Terms terms_;
    std::map<std::uint64_t, std::set<Id>> voters_;
    std::map<std::uint64_t, std::map<Id, double>> asked_;  // by version and voter: the latest ask
};

// When nobody acts on the version before this one any more; kept by whoever leads.
class Settling {
public:
    Settling(std::set<Id> members, const Terms& terms) : members_(std::move(members)), terms_(terms) {}

    // This process has learned that the version is agreed.
    void learned(std::uint64_t version, double now);
    // The member says that it acts on that version, and so on none before it.
    void acts(Id member, std::uint64_t version);
    bool settled(double now) const;
    std::uint64_t version() const { return version_; }
    std::vector<Id> missing() const;  // members that have not said so

private:
    std::set<Id> members_;
    Terms terms_;
    std::uint64_t version_ = 0;
    double learned_at_ = 0;
    std::map<Id, std::uint64_t> acting_;
};

}  // namespace brasslift::members
