// What a size comes to by the results of scale runs: its limits in the order in which today's program passes
// them, and the page docs/CAPACITY.md. Pure: the same size and results give the same text. Where a measure is
// not in the results, "not measured" stands in its place.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/curve.hpp"
#include "lab/record.hpp"
#include "lab/size.hpp"

namespace brasslift::lab {

// Results by axis, and what is derived from them. Throws std::runtime_error where two of today's results are
// of one axis.
class Measured {
public:
    explicit Measured(const std::vector<Result>& results);
    // Of today's program; nullptr: the axis was not run.
    const AxisRun* run(const std::string& axis) const;
    const std::vector<Result>& all() const { return results_; }
    std::optional<Curve> curve(const std::string& axis, const std::string& measure) const;
    std::optional<Curve> curve(const std::string& axis, const Curve::Get& get) const;
    std::optional<Carried> at(const std::string& axis, const std::string& measure, double size) const;

private:
    const std::vector<Result>& results_;
};

// What the size file comes to.
struct Load {
    explicit Load(const v1::Size& size);
    double dispatchers, destinations, restarts;
    double zones_in_all;
    double events;                              // a second, at one dispatcher
    double backlog;                             // messages, at one dispatcher
    double changes, peak_changes;               // of configuration, a second
    double state_changes;                       // of destinations, a second
    double lost_machine, lost_rack, lost_zone;  // dispatchers
    double remain(double lost) const { return dispatchers - lost; }
    // Events a second at one dispatcher while so many are away, the others taking theirs.
    double events_without(double lost) const { return events * dispatchers / remain(lost); }
};

struct Limit {
    std::string of;    // destinations, dispatchers, backlog, changes, restarts, events
    std::string what;  // the cost that is bounded
    double bound = 0;
    std::string unit;
    double target = 0;              // the size's
    std::optional<Carried> passes;  // the size from which it is passed; nothing: not measured
    std::optional<Carried> value;   // of the cost, at the size
    double largest = 0;             // that was run; 0: it needs no run
    std::string carried_by;         // the mechanism
    bool is_known() const { return passes.has_value(); }
    double share() const { return passes ? passes->value / target : 0; }
    bool is_passed() const { return passes && passes->value < target; }
};
// Of the backlog's axis: a measure of a kind (down_, draining_) by the messages that came to be held, which
// may be fewer than the point wanted.
Curve::Get by_held(const std::string& kind, const std::string& measure, double unit = 1);
// The smallest share first; what is not measured is last.
std::vector<Limit> limits_of(const v1::Size& size, const Measured& measured);

// Of the roles: their tables, as Markdown.
std::string roles_text(const v1::Size& size, const Measured& measured);
std::string capacity_page(const v1::Size& size, const std::vector<Result>& results);

// ---- for the page's parts

// With thousands parted; three digits count where it is no whole number.
std::string figure(double value);
std::string figure(const std::optional<Carried>& value);  // "not measured", "never"
// A row of a Markdown table.
std::string row(const std::vector<std::string>& cells);
std::string table_head(const std::vector<std::string>& cells);

}  // namespace brasslift::lab
