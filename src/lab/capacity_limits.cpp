#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <tuple>

#include "brasslift/sender.hpp"
#include "lab/capacity.hpp"
#include "members/leases.hpp"
#include "members/lists.hpp"
#include "plan/rules.hpp"

namespace brasslift::lab {
namespace {

constexpr double day_ms = 24 * 3600 * 1000.0, day_s = 24 * 3600.0;
using Pair = std::optional<std::pair<double, double>>;

bool is_todays(const Result& result) { return result.label.empty() || result.label == "after"; }

Limit constant(const std::string& of, const std::string& what, double bound, double target,
               const std::string& carried_by) {
    Limit limit;
    limit.of = of, limit.what = what, limit.bound = bound, limit.unit = of, limit.target = target;
    limit.passes = Carried{bound, Basis::constant, false};
    limit.value = Carried{target, Basis::worked_out, false};
    limit.carried_by = carried_by;
    return limit;
}

class Limits {
public:
    Limits(const v1::Size& size, const Measured& measured) : size_(size), measured_(measured), load_(size) {
        of_destinations();
        of_dispatchers();
        of_changes();
        of_backlog();
        of_events();
    }
    std::vector<Limit> take() { return std::move(limits_); }

private:
    struct Asked {
        std::string axis, of, what, unit, carried_by;
        double bound = 0, target = 0;
    };
    Limit& add(const Asked& asked, const Curve::Get& get) {
        Limit limit;
        limit.of = asked.of, limit.what = asked.what, limit.unit = asked.unit, limit.bound = asked.bound;
        limit.target = asked.target, limit.carried_by = asked.carried_by;
        if (const auto curve = measured_.curve(asked.axis, get)) {
            limit.passes = curve->crossing(asked.bound);
            limit.value = curve->at(asked.target);
            limit.largest = curve->largest();
        }
        limits_.push_back(std::move(limit));
        return limits_.back();
    }
    Limit& add(const Asked& asked, const std::string& measure) {
        return add(asked, [measure](const Point& point) -> Pair {
            const auto value = measure_of(point, measure);
            if (!value) return std::nullopt;
            return std::pair{point.size, *value};
        });
    }
    // Of a run that has to come to an end: where a larger point did not, the limit lies before that point.
    void heed_failed(Limit& limit, const std::string& axis, const std::string& measure) {
        const auto* run = measured_.run(axis);
        if (run == nullptr) return;
        double came_off = 0, failed = std::numeric_limits<double>::infinity();
        for (const auto& point : run->points) {
            if (measure_of(point, measure))
                came_off = std::max(came_off, point.size);
            else if (!point.note.empty())
                failed = std::min(failed, point.size);
        }
        if (failed < came_off || !std::isfinite(failed)) return;
        if (limit.passes && limit.passes->value <= came_off) return;
        limit.passes = Carried{came_off, Basis::did_not_run, false};
        limit.largest = came_off;
        if (limit.target >= failed) limit.value.reset();
    }
    void of_destinations();
    void of_dispatchers();
    void of_changes();
    void of_backlog();
    void of_events();

    const v1::Size& size_;
    const Measured& measured_;
    Load load_;
    std::vector<Limit> limits_;
};

void Limits::of_destinations() {
    const auto& stated = size_.stated();
    const double n = load_.destinations;
    limits_.push_back(constant(
        "destinations", "numbers of destinations, as wide as the module's",
        static_cast<double>(std::numeric_limits<decltype(brasslift::Arrival::destination)>::max()) + 1, n,
        "`include/brasslift/sender.hpp`, `Arrival::destination`"));
    limits_.push_back(
        constant("destinations", "entries that the agreed lists may have together",
                 static_cast<double>(members::ListBounds{}.entries), n,
                 "`members/lists`, `ListBounds::entries`; only where lists name each destination"));
    const char *axis = "destinations", *of = "destinations";
    add({axis, of, "a dispatcher's resident memory, the whole process, against control's budget", "MB",
         "`cluster/`, the table of hosts", stated.control().memory_mb(), n},
        [](const Point& point) -> Pair {
            const auto bytes = measure_of(point, "resident_bytes");
            if (!bytes) return std::nullopt;
            return std::pair{point.size, *bytes / 1e6};
        });
    heed_failed(add({axis, of, "from a start until the last destination is served", "ms",
                     "`cluster/`, the watch", stated.bounds().ready_ms(), n},
                    "list_ready_ms"),
                axis, "list_ready_ms");
    add({axis, of, "longest hold of the loop while the list comes, on a free machine", "ms",
         "`cluster/`, one letter a list", stated.bounds().hold_ms(), n},
        "load_hold_ms");
    add({axis, of, "longest hold of the loop while the list comes, on a busy machine", "ms",
         "`cluster/`, one letter a list", stated.bounds().hold_busy_ms(), n},
        "load_hold_ms");
    add({axis, of, "longest hold of the loop beside messages and changes", "ms", "the core's tick",
         stated.bounds().hold_ms(), n},
        "hold_ms");
    // Changes of states grow with what can change, and so may the cost of each.
    const double each = load_.state_changes / n;
    add({axis, of, "processor time for destinations that go down and come back, against control's budget",
         "% of a core", "`cluster/`, `Cluster::apply`", stated.control().cpu_percent(), n},
        [each](const Point& point) -> Pair {
            const auto us = measure_of(point, "change_cpu_us");
            if (!us) return std::nullopt;
            return std::pair{point.size, *us * each * point.size / 1e4};
        });
    const double events = load_.events;
    add({axis, of, "processor time for a dispatcher's messages, against its one thread", "% of a core",
         "`dispatch/`, `src/choice.cpp`", 100, n},
        [events](const Point& point) -> Pair {
            const auto us = measure_of(point, "message_cpu_us");
            if (!us) return std::nullopt;
            return std::pair{point.size, *us * events / 1e4};
        });
}

void Limits::of_dispatchers() {
    const auto& stated = size_.stated();
    const double n = load_.dispatchers, peak = load_.peak_changes;
    limits_.push_back(constant("dispatchers", "members that an operators' file may name",
                               plan::MembersRule::most_members, n, "`lang/compile_members`"));
    const char *axis = "members", *of = "dispatchers";
    // At rest, and what the changes of a peak add.
    const auto with_changes = [peak](const std::string& role, const char* rest, const char* each,
                                     double unit) {
        return [=](const Point& point) -> Pair {
            const auto at_rest = measure_of(point, role + rest);
            const auto change = measure_of(point, "publish_" + role + each);
            if (!at_rest || !change) return std::nullopt;
            return std::pair{point.size, *at_rest + *change * peak * unit};
        };
    };
    constexpr double percent_of_ms = 0.1;
    add({axis, of, "the leader's processor time in a peak of changes, against its one thread", "% of a core",
         "`members/consensus`: the leader sends to every member itself", 100, n},
        with_changes("leader", "_cpu_percent", "_cpu_ms", percent_of_ms));
    add({axis, of, "a voter's processor time in a peak of changes, against its one thread", "% of a core",
         "`members/member`: every member renews at every voter", 100, n},
        with_changes("voter", "_cpu_percent", "_cpu_ms", percent_of_ms));
    add({axis, of, "control's processor time at a dispatcher in a peak of changes", "% of a core",
         "`members/node`", stated.control().cpu_percent(), n},
        with_changes("dispatcher", "_cpu_percent", "_cpu_ms", percent_of_ms));
    add({axis, of, "a dispatcher's resident memory, the whole process, against control's budget", "MB",
         "`members/`, the log and the peers", stated.control().memory_mb(), n},
        "dispatcher_resident_mb");
    add({axis, of, "control's bytes at a dispatcher in a peak of changes, in and out", "bytes/s",
         "`members/node`", stated.control().bytes_per_second(), n},
        with_changes("dispatcher", "_bytes_per_s", "_bytes", 1));
    heed_failed(add({axis, of, "a change in force everywhere, median", "ms", "`members/publishing`, leases",
                     stated.change_everywhere_ms(), n},
                    "publish_active_p50_ms"),
                axis, "publish_active_p50_ms");
    add({axis, of, "a burst of changes in force everywhere", "ms", "`members/publishing`, one after another",
         stated.change_everywhere_ms(), n},
        "burst_active_ms");
    add({axis, of, "changes of a burst that are refused", "%", "`members/publishing`, the leader's queue", 0,
         n},
        [](const Point& point) -> Pair {
            const auto agreed = measure_of(point, "burst_agreed_share");
            if (!agreed) return std::nullopt;
            return std::pair{point.size, (1 - *agreed) * 100};
        });
    heed_failed(add({axis, of, "all started at once, until all have a lease", "ms", "`members/leases`",
                     stated.bounds().ready_ms(), n},
                    "start_until_leases_ms"),
                axis, "start_until_leases_ms");
    // How long halves are without a lease is how long they are parted, which the run chooses.
    for (const auto& [fault, said, lasts] : {std::tuple{"voter_killed", "a voter is away", false},
                                             std::tuple{"leader_killed", "the leader is lost", false},
                                             std::tuple{"tenth_restarted", "a tenth restarts", false},
                                             std::tuple{"zone_gone", "a zone is away", false},
                                             std::tuple{"halves_parted", "halves are parted", true}}) {
        heed_failed(add({axis, of, std::string("a change in force at all that are reached while ") + said,
                         "ms", "`members/publishing`, leases", stated.change_everywhere_ms(), n},
                        std::string(fault) + "_publish_active_ms"),
                    axis, std::string(fault) + "_publish_active_ms");
        if (!lasts)
            add({axis, of, std::string("longest time without a lease while ") + said, "ms",
                 "`members/leases`; new work is refused or goes on by old rules meanwhile",
                 stated.change_everywhere_ms(), n},
                std::string(fault) + "_no_lease_longest_ms");
    }
}

void Limits::of_changes() {
    const auto& stated = size_.stated();
    const double target = stated.changes_per_day();
    const double peak = size_.assumed().peak_over_mean_changes();
    // One publish waits until the one before is settled: so many fit into a day, a peak's share less.
    Limit well;
    well.of = "changes", well.what = "changes of a peak one after another, while all are well";
    well.unit = "changes a day", well.target = target, well.value = Carried{target, Basis::worked_out, false};
    well.carried_by = "`members/publishing`: each waits until the one before is settled";
    if (const auto settled = measured_.at("members", "publish_settled_p50_ms", load_.dispatchers);
        settled && settled->value > 0) {
        well.bound = day_ms / settled->value / peak;
        well.passes = Carried{well.bound, settled->basis, false};
        well.largest = measured_.curve("members", "publish_settled_p50_ms")->largest();
    }
    limits_.push_back(well);
    const double gone_ms = members::terms_for(size_.assumed().contradiction_ms()).gone_ms;
    Limit away = well;
    away.what = "changes of a peak one after another, while a member is away";
    away.bound = day_ms / gone_ms / peak;
    away.passes = Carried{away.bound, Basis::worked_out, false};
    away.largest = 0;
    away.carried_by = "`members/leases`, `Terms::gone_ms`: each waits for the lost one's leases";
    limits_.push_back(away);

    Limit restarts;
    restarts.of = "restarts", restarts.what = "restarts after which somebody is away at any time";
    restarts.unit = "restarts a day", restarts.target = load_.restarts;
    restarts.value = Carried{load_.restarts, Basis::worked_out, false};
    restarts.carried_by = "`serve/`, `cluster/`: the list is had anew at each start";
    if (const auto ready = measured_.at("destinations", "list_ready_ms", load_.destinations);
        ready && ready->value > 0) {
        restarts.bound = day_ms / ready->value;
        restarts.passes = Carried{restarts.bound, ready->basis, false};
        restarts.largest = measured_.curve("destinations", "list_ready_ms")->largest();
    }
    limits_.push_back(restarts);
}

void Limits::of_backlog() {
    const auto& stated = size_.stated();
    const auto& assumed = size_.assumed();
    const double n = load_.backlog;
    for (const auto& [kind, said] : {std::pair<std::string, std::string>{"down_", ", destinations down"},
                                     {"draining_", ", hosts draining"}}) {
        const auto held = [kind = kind](const char* measure, double unit) {
            return by_held(kind, measure, unit);
        };
        const char *axis = "backlog", *of = "backlog";
        add({axis, of, "resident memory" + said, "MB", "`dispatch/ledger`, `store/index`: all in memory",
             assumed.dispatcher_memory_gb() * 1000, n},
            held("resident_bytes", 1e-6));
        add({axis, of, "bytes on disk" + said, "MB", "`store/`", assumed.dispatcher_disk_gb() * 1000, n},
            held("disk_bytes", 1e-6));
        add({axis, of, "recovery after a kill" + said, "ms", "`store/recover`, `Ledger::recover`",
             stated.bounds().recovery_ms(), n},
            held("recovery_ms", 1));
        add({axis, of, "processor time at rest" + said, "% of a core", "`src/choice.cpp`, timers", 100, n},
            held("tick_cpu_percent", 1));
        add({axis, of, "longest hold of the loop" + said, "ms", "the core's tick", stated.bounds().hold_ms(),
             n},
            held("hold_ms", 1));
        // Whether as many came to be held as the point wanted.
        if (const auto* run = measured_.run(axis)) {
            Limit most;
            most.of = of, most.what = "messages that come to be held" + said, most.unit = "messages";
            most.target = n, most.carried_by = "`dispatch/`, the holding room";
            double came = 0, wanted = 0;
            for (const auto& point : run->points)
                if (const auto got = measure_of(point, kind + "held"))
                    came = std::max(came, *got), wanted = std::max(wanted, point.size);
            if (came > 0 && came < 0.99 * wanted) {
                most.bound = came, most.largest = came;
                most.passes = Carried{came, Basis::did_not_run, false};
                limits_.push_back(most);
            }
        }
    }
}

void Limits::of_events() {
    const char *axis = "rate", *of = "events a second at a dispatcher";
    const double n = load_.events;
    add({axis, of, "processor time, against its one thread", "% of a core", "one thread, one loop", 100, n},
        "cpu_percent");
    add({axis, of, "messages turned away", "%", "`dispatch/`, the holding room",
         size_.assumed().turned_away_share() * 100, n},
        [](const Point& point) -> Pair {
            const auto share = measure_of(point, "turned_away_share");
            if (!share) return std::nullopt;
            return std::pair{point.size, *share * 100};
        });
}

}  // namespace

Curve::Get by_held(const std::string& kind, const std::string& measure, double unit) {
    return [=](const Point& point) -> Pair {
        const auto value = measure_of(point, kind + measure);
        if (!value) return std::nullopt;
        return std::pair{measure_of(point, kind + "held").value_or(point.size), *value * unit};
    };
}

Measured::Measured(const std::vector<Result>& results) : results_(results) {
    std::vector<std::string> seen;
    for (const auto& result : results) {
        if (!is_todays(result)) continue;
        if (std::find(seen.begin(), seen.end(), result.run.axis) != seen.end())
            throw std::runtime_error("two results of the axis " + result.run.axis +
                                     " are of today's program: give one of them a label, such as before");
        seen.push_back(result.run.axis);
    }
}

const AxisRun* Measured::run(const std::string& axis) const {
    for (const auto& result : results_)
        if (is_todays(result) && result.run.axis == axis) return &result.run;
    return nullptr;
}

std::optional<Curve> Measured::curve(const std::string& axis, const Curve::Get& get) const {
    const auto* one = run(axis);
    return one == nullptr ? std::nullopt : Curve::of(*one, get);
}

std::optional<Curve> Measured::curve(const std::string& axis, const std::string& measure) const {
    const auto* one = run(axis);
    return one == nullptr ? std::nullopt : Curve::of(*one, measure);
}

std::optional<Carried> Measured::at(const std::string& axis, const std::string& measure, double size) const {
    const auto one = curve(axis, measure);
    return one ? one->at(size) : std::nullopt;
}

Load::Load(const v1::Size& size) {
    const auto& stated = size.stated();
    const auto& assumed = size.assumed();
    dispatchers = static_cast<double>(stated.dispatchers());
    destinations = static_cast<double>(stated.destinations());
    restarts = stated.failures().restarts_per_day();
    zones_in_all =
        static_cast<double>(stated.zones()) *
        (assumed.zones() == v1::Assumed::IN_EACH_REGION ? static_cast<double>(stated.regions()) : 1);
    events = stated.events_per_second() / dispatchers;
    backlog = static_cast<double>(stated.backlog()) / dispatchers;
    changes = stated.changes_per_day() / day_s;
    peak_changes = changes * assumed.peak_over_mean_changes();
    // As many go down as come back.
    state_changes = 2 * destinations * stated.destinations_down_percent() / 100 /
                    (assumed.destination_outage_minutes() * 60);
    lost_machine = static_cast<double>(assumed.dispatchers_per_machine());
    lost_rack = lost_machine * static_cast<double>(assumed.machines_per_rack());
    lost_zone = dispatchers / zones_in_all;
}

std::vector<Limit> limits_of(const v1::Size& size, const Measured& measured) {
    auto limits = Limits(size, measured).take();
    std::stable_sort(limits.begin(), limits.end(), [](const Limit& a, const Limit& b) {
        if (a.is_known() != b.is_known()) return a.is_known();
        return a.share() < b.share();
    });
    return limits;
}

}  // namespace brasslift::lab
