#include <algorithm>
#include <cmath>
#include <cstdio>

#include "lab/capacity.hpp"
#include "members/leases.hpp"

namespace brasslift::lab {
namespace {

std::string two_digits(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

std::string stated_text(const v1::Size& size) {
    const auto& stated = size.stated();
    const auto& assumed = size.assumed();
    const auto whole = [](auto n) { return figure(static_cast<double>(n)); };
    std::string out = "## The size\n\nWhat the operators said:\n\n" + table_head({"what", "figure"});
    out += row({"dispatchers", whole(stated.dispatchers())});
    out += row({"events a second, all dispatchers", figure(stated.events_per_second())});
    out += row({"destinations", whole(stated.destinations())});
    out += row({"of these down, %", figure(stated.destinations_down_percent())});
    out += row({"messages held, all dispatchers", whole(stated.backlog())});
    out += row({"regions, zones", whole(stated.regions()) + ", " + whole(stated.zones())});
    out += row({"changes of configuration a day", figure(stated.changes_per_day())});
    out += row({"in force everywhere within, ms", figure(stated.change_everywhere_ms())});
    const auto& control = stated.control();
    out += row({"control at a dispatcher", figure(control.cpu_percent()) + " % of a core, " +
                                               figure(control.memory_mb()) + " MB, " +
                                               figure(control.bytes_per_second()) + " bytes a second"});
    out += row({"machines for control", whole(control.machines())});
    const auto& failures = stated.failures();
    out += row({"machines that fail a day", figure(failures.machines_per_day())});
    out += row({"restarts and replacements a day", figure(failures.restarts_per_day())});
    out += row({"days between losses of a rack or switch", figure(failures.rack_every_days())});
    out += row({"zones lost a year", figure(failures.zones_per_year())});
    out += row({"hours for which regions lose each other", figure(failures.regions_parted_hours())});
    const auto& bounds = stated.bounds();
    out += row({"a start until all destinations are served, ms", figure(bounds.ready_ms())});
    out += row({"longest hold of the loop, ms",
                figure(bounds.hold_ms()) + "; on a busy machine " + figure(bounds.hold_busy_ms())});
    out += row({"recovery of what was owed, ms", figure(bounds.recovery_ms())});

    const Load load(size);
    out += "\nWhat they did not say and we assume until they do, with what hangs on it:\n\n" +
           table_head({"what", "assumed", "what hangs on it"});
    const bool in_all = assumed.zones() == v1::Assumed::IN_ALL;
    out += row(
        {"are the zones all regions' or each region's", in_all ? "all regions' together" : "each region's",
         "a lost zone takes " + figure(load.lost_zone) + " dispatchers; the other way " +
             figure(load.dispatchers / (in_all ? load.zones_in_all * static_cast<double>(stated.regions())
                                               : static_cast<double>(stated.zones())))});
    out +=
        row({"peak over mean, events", figure(assumed.peak_over_mean_events()),
             "a dispatcher's " + figure(load.events * assumed.peak_over_mean_events()) + " events a second"});
    out += row({"peak over mean, changes", figure(assumed.peak_over_mean_changes()),
                "a change every " + figure(1 / load.peak_changes) + " s instead of " +
                    figure(1 / load.changes) + " s"});
    out += row({"voters", whole(assumed.voters()), "renewals and their answers grow with it"});
    out += row({"contradiction, ms", figure(assumed.contradiction_ms()),
                "renewals, and how long a lost member delays a change"});
    out += row({"dispatchers on a machine", whole(assumed.dispatchers_per_machine()),
                "a lost machine, a lost rack"});
    out += row({"machines on a rack", whole(assumed.machines_per_rack()), "a lost rack"});
    out += row(
        {"hosts of a destination", whole(assumed.hosts_per_destination()), "the lines of discovery's list"});
    out += row({"minutes for which a destination is down", figure(assumed.destination_outage_minutes()),
                figure(load.state_changes) + " changes of states a second, told to every dispatcher"});
    out += row({"share of events that cross regions", figure(assumed.events_across_regions_share()),
                "what is held while regions are parted"});
    out += row({"bytes of a message", figure(assumed.body_bytes()), "the backlog's memory and disk"});
    out += row({"memory and disk of a dispatcher, GB",
                figure(assumed.dispatcher_memory_gb()) + ", " + figure(assumed.dispatcher_disk_gb()),
                "how much backlog fits"});
    out += row({"share of messages that may be turned away", figure(assumed.turned_away_share()),
                "the events that a dispatcher carries"});

    out += "\nWhat follows for one dispatcher and for control:\n\n" + table_head({"what", "figure"});
    out += row({"events a second at a dispatcher, mean", figure(load.events)});
    out += row({"messages held by a dispatcher", figure(load.backlog)});
    out += row({"destinations down at any time",
                figure(load.destinations * stated.destinations_down_percent() / 100)});
    out += row({"seconds between changes, mean", figure(1 / load.changes)});
    out += row({"seconds between restarts", figure(24 * 3600 / load.restarts)});
    out += row({"dispatchers on a machine, a rack, in a zone",
                figure(load.lost_machine) + ", " + figure(load.lost_rack) + ", " + figure(load.lost_zone)});
    return out + '\n';
}

std::string ranking_text(const v1::Size& size, const Measured& measured) {
    std::string out =
        "## Ranking: what is missing first\n\nFor each limit the share of the size at which today's program "
        "passes it; below 1 it is passed before the size is reached. *By* says where that is from: a "
        "constant "
        "of the code, worked out of constants, measured between two runs, or carried on beyond the largest "
        "run "
        "(by a line, rough where a run misses it by over a tenth or there are two alone; by a curve, where "
        "growth was steeper); *beyond* says how many times beyond.\n\n" +
        table_head({"share", "", "of", "limit", "bound", "at the size", "passed from", "by", "beyond",
                    "carried by"});
    const auto limits = limits_of(size, measured);
    std::size_t passed = 0, unknown = 0;
    for (const auto& limit : limits) {
        passed += limit.is_passed() ? 1 : 0;
        unknown += limit.is_known() ? 0 : 1;
        const bool never = limit.passes && std::isinf(limit.passes->value);
        // How far what is said here lies beyond what was run.
        const double reached =
            limit.passes ? std::min(limit.passes->value, std::max(limit.target, limit.largest)) : 0;
        const bool is_run = limit.largest > 0;
        out += row({!limit.passes ? "?"
                    : never       ? "none"
                                  : (limit.passes->at_most ? "<= " : "") + figure(limit.share()),
                    limit.is_passed() ? "**PASSED**" : "", limit.of, limit.what,
                    limit.bound > 0 || limit.is_known() ? figure(limit.bound) + ' ' + limit.unit : "-",
                    limit.value ? figure(limit.value) : "-", figure(limit.passes),
                    limit.passes ? text_of(limit.passes->basis) : "-",
                    is_run && reached > limit.largest ? two_digits(reached / limit.largest) + " x" : "-",
                    limit.carried_by});
    }
    out += "\nOf " + figure(static_cast<double>(limits.size())) + " limits " +
           figure(static_cast<double>(passed)) + " are passed before the size is reached, and " +
           figure(static_cast<double>(unknown)) + " are not measured.\n\n";
    return out;
}

std::string failures_text(const v1::Size& size, const Measured& measured) {
    const auto& failures = size.stated().failures();
    const Load load(size);
    std::string out =
        "## Failures\n\nMembers without a lease turn new work away, or go on by the rules last known, as "
        "the operators chose; what was taken on goes on either way. The figures are of the scale run "
        "whose fault is named, carried on to " +
        figure(load.dispatchers) +
        " members. A run parts halves and keeps a zone away for seconds; how long those who are cut off are "
        "without a lease is how long it did.\n\n" +
        table_head({"failure", "how often", "dispatchers away", "events a second at each other one",
                    "the run's fault", "share of members without a lease", "longest, ms",
                    "a change in force at all that are reached, ms", "settled, ms",
                    "all have leases after its end, ms", "mechanism"});
    struct Failure {
        std::string what, often;
        double lost;
        const char* fault;
        const char* mechanism;
    };
    const std::string parted = figure(failures.regions_parted_hours()) + " h, now and then";
    for (const auto& one : std::initializer_list<Failure>{
             {"a restart", figure(failures.restarts_per_day()) + " a day", 1, "",
              "`Ledger::recover`, leases, `cluster/`"},
             {"restarts together, a tenth", "a roll-out", load.dispatchers / 10, "tenth_restarted",
              "leases; `cluster/pace` spreads the asks"},
             {"a machine", figure(failures.machines_per_day()) + " a day", load.lost_machine, "",
              "leases; its work in hand waits for it: taking over is none yet"},
             {"a voter's machine", "among these", load.lost_machine, "voter_killed",
              "leases by the majority"},
             {"the leader's machine", "among these", load.lost_machine, "leader_killed",
              "Raft's election; leases need no leader"},
             {"a rack or switch", "every " + figure(failures.rack_every_days()) + " days", load.lost_rack, "",
              "as for machines; voters have to stand on different racks, which nothing checks: none yet"},
             {"a zone", figure(failures.zones_per_year()) + " a year", load.lost_zone, "zone_gone",
              "leases by the majority, where voters stand in different zones; nothing checks that: none yet"},
             {"regions parted", parted, 0, "halves_parted",
              "the side without a majority of voters has no leases for all that time and no changes; a "
              "region that "
              "decides for itself: none yet"}}) {
        const std::string fault = one.fault;
        const auto named = [&](const char* measure) {
            return fault.empty() ? std::string("-")
                                 : figure(measured.at("members", fault + measure, load.dispatchers));
        };
        out += row({one.what, one.often, figure(one.lost), figure(load.events_without(one.lost)),
                    fault.empty() ? "-" : "`" + fault + "`", named("_no_lease_share"),
                    named("_no_lease_longest_ms"), named("_publish_active_ms"), named("_publish_settled_ms"),
                    named("_back_ms"), one.mechanism});
    }
    return out + '\n';
}

std::string words_text(const v1::Size& size) {
    const auto terms = members::terms_for(size.assumed().contradiction_ms());
    const Load load(size);
    return "## What no slope says\n\n"
           "- **Where lines bend.** A line is carried on from sizes that fit one machine, where everybody "
           "shares its "
           "cores and loopback has neither distance nor loss. Figures in time (a change everywhere, leases, "
           "elections) "
           "bend first: once the leader has no processor time left, times grow without bound and not along a "
           "line. The row of the leader's processor time tells from which size on no row of times may be "
           "believed.\n"
           "- **Distance.** Between regions each agreement takes a round trip or two that no run here has. "
           "With voters "
           "in both regions it comes on top of every change; renewals bear it, since a lease runs " +
           figure(terms.lease_ms) + " ms and is asked for every " + figure(terms.renew_ms) +
           " ms.\n"
           "- **Regions parted.** With " +
           figure(static_cast<double>(size.assumed().voters())) +
           " voters one region has no majority. Its dispatchers lose their leases within " +
           figure(terms.gone_ms) +
           " ms and have no change in force for as long as it lasts, whatever the size: that limit is not "
           "one "
           "of slope.\n"
           "- **A member that is away delays every change** by up to " +
           figure(terms.gone_ms) +
           " ms, until its leases have certainly ended, and for as long as it is away. With " +
           figure(size.stated().failures().machines_per_day()) + " machines lost a day and " +
           figure(load.restarts) + " restarts (one every " + figure(24 * 3600 / load.restarts) +
           " s) hardly any time of a day is without one, unless a lost machine leaves the members' list "
           "soon: by itself, none yet. So the ranking's row of changes while a member is away is the "
           "ordinary one, and not the row while all are well.\n"
           "- **The mean hides the peak.** " +
           figure(size.stated().changes_per_day()) + " changes a day are one every " +
           figure(1 / load.changes) + " s as a mean. Nobody said how they come; " +
           figure(size.assumed().peak_over_mean_changes()) +
           " times the mean is assumed, and a roll-out by programs may bring far more at once.\n"
           "- **Hollow members.** In runs along the axis of members most members speak for themselves "
           "without a "
           "dispatcher behind them. What a whole dispatcher pays for control beside its work is measured at "
           "the few "
           "that are whole.\n"
           "- **Destinations that are known and those that are used.** A run keeps a few hundred busy. Where "
           "far more "
           "are in use at a time, connections, windows and pacing grow with those, and the slope of known "
           "destinations says nothing of it.\n"
           "- **Descriptors** are bounded by the config and not by a slope.\n"
           "- **Sizes of structures** in the tables of state are as the compiler here lays them out, with "
           "the nodes of "
           "ordered maps; what the allocator adds, and texts, are in the measured figures alone.\n\n";
}

std::string measured_text(const std::vector<Result>& results) {
    std::string out = "## The runs\n\n";
    if (results.empty()) return out + "None yet: all that would come from them is not measured.\n";
    out += table_head({"axis", "label", "commit", "machine", "command"});
    for (const auto& result : results)
        out += row({result.run.axis, result.label.empty() ? "-" : result.label, result.commit,
                    figure(result.machine.cores) + " cores, " + figure(result.machine.memory_gb) + " GB, " +
                        result.machine.processor,
                    "`" + result.run.command + "`"});
    out +=
        "\nA dash: the run does not have it. *Fit*: intercept + slope x size; *residual*: the largest miss "
        "of a "
        "point, as a share of the largest value; *exponent*: the power by which it grows between the two "
        "largest "
        "sizes.\n\n";
    for (const auto& result : results) {
        out += "```\n";
        if (!result.label.empty()) out += result.label + ":\n";
        out += as_text(result.run) + "```\n\n";
    }
    return out;
}

// One axis in runs of several labels, side by side.
std::string before_and_after_text(const std::vector<Result>& results) {
    std::string out;
    for (const std::string axis : {"destinations", "members", "backlog", "rate"}) {
        std::vector<const Result*> runs;
        for (const auto& result : results)
            if (result.run.axis == axis) runs.push_back(&result);
        if (runs.size() < 2) continue;
        std::vector<std::string> names;
        for (const auto* run : runs)
            for (const auto& point : run->run.points)
                for (const auto& one : point.measures)
                    if (std::find(names.begin(), names.end(), one.name) == names.end())
                        names.push_back(one.name);
        std::vector<double> sizes;
        for (const auto* run : runs)
            for (const auto& point : run->run.points)
                if (std::find(sizes.begin(), sizes.end(), point.size) == sizes.end())
                    sizes.push_back(point.size);
        std::sort(sizes.begin(), sizes.end());
        out += "## Before and after: " + axis + "\n\n";
        std::vector<std::string> head{"measure", "run"};
        for (const double size : sizes) head.push_back(figure(size));
        out += table_head(head);
        for (const auto& name : names)
            for (const auto* run : runs) {
                std::vector<std::string> cells{name, run->label.empty() ? "today" : run->label};
                for (const double size : sizes) {
                    std::string cell = "not run";
                    for (const auto& point : run->run.points)
                        if (point.size == size) {
                            const auto value = measure_of(point, name);
                            cell = value ? figure(*value) : point.note.empty() ? "-" : "did not come off";
                        }
                    cells.push_back(cell);
                }
                out += row(cells);
            }
        out += '\n';
    }
    return out;
}

}  // namespace

std::string figure(double value) {
    if (!std::isfinite(value)) return "never";
    char text[64];
    const double size = std::abs(value);
    if (value == std::round(value) && size < 1e15)
        std::snprintf(text, sizeof text, "%.0f", value);
    else if (size >= 100)
        std::snprintf(text, sizeof text, "%.0f", value);
    else
        std::snprintf(text, sizeof text, "%.3g", value);
    std::string out = text;
    if (out.find('e') != std::string::npos || size < 1000) return out;
    for (auto at = static_cast<int>(out.size()) - 3; at > (value < 0 ? 1 : 0); at -= 3)
        out.insert(static_cast<std::size_t>(at), ",");
    return out;
}

std::string figure(const std::optional<Carried>& value) {
    return value ? figure(value->value) : "not measured";
}

std::string row(const std::vector<std::string>& cells) {
    std::string out = "|";
    for (const auto& cell : cells) out += ' ' + cell + (cell.empty() ? "|" : " |");
    return out + '\n';
}

std::string table_head(const std::vector<std::string>& cells) {
    std::string out = row(cells) + "|";
    for (std::size_t i = 0; i < cells.size(); ++i) out += " --- |";
    return out + '\n';
}

std::string capacity_page(const v1::Size& size, const std::vector<Result>& results) {
    const Measured measured(results);
    return "# Capacity\n\n"
           "What the operators' size comes to by today's program. Written by `make capacity` out of "
           "`deploy/size.textproto`, the results in `docs/capacity/` and constants of the code; a test fails "
           "where "
           "this page is not what that prints. No figure here is typed by hand. How runs are made stands at "
           "the end.\n\n" +
           stated_text(size) + ranking_text(size, measured) + "## Roles\n\n" + roles_text(size, measured) +
           '\n' + failures_text(size, measured) + words_text(size) + before_and_after_text(results) +
           measured_text(results) +
           "\n## Making the runs\n\n"
           "    brasslift-lab scale AXIS --record docs/capacity --commit COMMIT    # members, destinations, "
           "backlog, "
           "rate\n"
           "    make capacity                                                      # writes this page "
           "anew\n\n"
           "Each run ends by itself and leaves nothing but its result. A size that does not fit the machine "
           "is "
           "refused with the largest that would. `--label before` keeps a result beside today's.\n";
}

}  // namespace brasslift::lab
