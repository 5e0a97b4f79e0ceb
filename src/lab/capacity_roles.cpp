// The roles: state, messages and cost of each, beside the budget, with the mechanism that carries it.
#include <google/protobuf/message.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include "cluster/pace.hpp"
#include "dispatch/records.hpp"
#include "lab/capacity.hpp"
#include "members/agreed.hpp"
#include "members/consensus.hpp"
#include "members/leases.hpp"
#include "members/member.hpp"
#include "members/node.hpp"
#include "store/index.hpp"
#include "upstream/pool.hpp"

namespace brasslift::lab {
namespace {

const std::string unmeasured = "not measured";
// A node of an ordered map beside what it holds, as the library here has it: colour and three pointers.
constexpr double map_node = 4 * sizeof(void*);
constexpr double kilobyte = 1000, megabyte = 1e6;

// Bytes of what it renews with, as it travels; names and numbers are as long as in a fleet of some years.
double renewal_bytes() {
    members::v1::Frame frame;
    auto& renew = *frame.mutable_renew();
    constexpr std::uint64_t years = 100'000'000'000, publishes = 2'000'000;
    renew.set_version(publishes);
    renew.set_asked(years);
    renew.set_acting(publishes);
    renew.set_applied(publishes);
    renew.set_nonce(years);
    renew.set_knows(2);
    renew.set_list_rev(publishes);
    renew.set_folder(years);
    renew.set_goals(10);
    renew.set_formed(true);
    members::v1::Envelope envelope;
    *envelope.add_frame() = frame;
    return static_cast<double>(envelope.ByteSizeLong());
}
double renewed_bytes() {
    members::v1::Frame frame;
    auto& renewed = *frame.mutable_renewed();
    renewed.set_version(2'000'000);
    renewed.set_asked(100'000'000'000);
    renewed.set_granted(true);
    renewed.set_latest(2'000'000);
    renewed.set_nonce(100'000'000'000);
    renewed.set_list_rev(2'000'000);
    members::v1::Envelope envelope;
    *envelope.add_frame() = frame;
    return static_cast<double>(envelope.ByteSizeLong());
}
// One line of discovery's list, as it comes.
double list_line_bytes() {
    return static_cast<double>(std::string(R"({"uid":"s-5be2a07c","endpoint":"10.120.130.140:8080",)"
                                           R"("az":"zone-a","model":"many","pod_group":419999,)"
                                           R"("state":"Ready","capacity_hint":1000},)")
                                   .size());
}

// A state: what, keyed by what, bytes each, how many.
std::string state_head() {
    return table_head({"state", "keyed by", "bytes each", "how many", "together", "mechanism"});
}
std::string state(const std::string& what, const std::string& key, std::optional<double> each, double count,
                  const std::string& mechanism) {
    return row({what, key, each ? figure(*each) : unmeasured, figure(count),
                each ? figure(*each * count / megabyte) + " MB" : unmeasured, mechanism});
}
std::string message_head() {
    return table_head({"message", "a second", "bytes each", "bytes a second", "mechanism"});
}
std::string message(const std::string& what, double rate, std::optional<double> each,
                    const std::string& mechanism) {
    return row({what, figure(rate), each ? figure(*each) : unmeasured,
                each ? figure(rate * *each) : unmeasured, mechanism});
}

// What a role costs by condition. The same columns for each role.
struct Condition {
    std::string said;
    double members;  // that reach each other
    double changes;  // of configuration, a second
    double events;   // a second, at one dispatcher
};

class Roles {
public:
    Roles(const v1::Size& size, const Measured& measured) : size_(size), measured_(measured), load_(size) {
        const double all = load_.dispatchers, mean = load_.events, changes = load_.changes;
        const auto lost = [&](const std::string& said, double count) {
            return Condition{said, load_.remain(count), changes, load_.events_without(count)};
        };
        conditions_ = {{"at rest", all, 0, 0},
                       {"ordinary day", all, changes, mean},
                       {"peak", all, load_.peak_changes, mean * size.assumed().peak_over_mean_events()},
                       lost("one restarts", 1),
                       lost("a machine lost", load_.lost_machine),
                       lost("a rack lost", load_.lost_rack),
                       lost("a zone lost", load_.lost_zone),
                       {"regions parted, the side with a majority",
                        all / static_cast<double>(size.stated().regions()), changes, mean}};
    }
    std::string text() {
        return data_path() + control() + voter() + leader() + machines() + discovery() + store() + tools();
    }

private:
    std::optional<double> slope(const std::string& axis, const std::string& measure) const {
        const auto curve = measured_.curve(axis, measure);
        if (!curve || curve->fit().points < 2) return std::nullopt;
        return std::max(0.0, curve->fit().slope);
    }
    std::string cost_head() const {
        std::vector<std::string> cells{"cost"};
        for (const auto& one : conditions_) cells.push_back(one.said);
        cells.push_back("budget");
        return table_head(cells);
    }
    // `value` at a condition; nothing: not measured.
    std::string cost(const std::string& what,
                     const std::function<std::optional<Carried>(const Condition&)>& value,
                     const std::string& budget) const {
        std::vector<std::string> cells{what};
        for (const auto& one : conditions_) cells.push_back(figure(value(one)));
        cells.push_back(budget);
        return row(cells);
    }
    // Of control: at rest by the members that are there, and what the changes add.
    std::string control_cost(const std::string& role, const std::string& budget_cpu,
                             const std::string& budget_bytes, const std::string& budget_memory) const {
        const auto sum = [&, role](const char* rest, const char* each, double unit) {
            return [=, this](const Condition& at) -> std::optional<Carried> {
                auto value = measured_.at("members", role + rest, at.members);
                if (!value || at.changes == 0) return value;
                const auto change = measured_.at("members", "publish_" + role + each, at.members);
                if (!change) return std::nullopt;
                value->value += change->value * at.changes * unit;
                return value;
            };
        };
        const auto plain = [&, role](const char* measure) {
            return [=, this](const Condition& at) {
                return measured_.at("members", role + measure, at.members);
            };
        };
        return cost_head() + cost("processor, % of a core", sum("_cpu_percent", "_cpu_ms", 0.1), budget_cpu) +
               cost("bytes a second, in and out", sum("_bytes_per_s", "_bytes", 1), budget_bytes) +
               cost("resident memory, MB", plain("_resident_mb"), budget_memory) +
               cost("descriptors", plain("_descriptors"), "none stated");
    }
    std::string data_path() const;
    std::string control() const;
    std::string voter() const;
    std::string leader() const;
    std::string machines() const;
    std::string discovery() const;
    std::string store() const;
    std::string tools() const;

    const v1::Size& size_;
    const Measured& measured_;
    Load load_;
    std::vector<Condition> conditions_;
};

std::string Roles::data_path() const {
    const double hosts = load_.destinations * static_cast<double>(size_.assumed().hosts_per_destination());
    std::string out = "### A dispatcher on the data path\n\n" + state_head();
    out += state("destinations and their hosts", "uid; destination", slope("destinations", "resident_bytes"),
                 load_.destinations, "`cluster/`, `upstream/pool`, `src/choice.cpp`");
    out += state("connections and calls under way", "host; destination", std::nullopt, hosts,
                 "`upstream/pool`, for hosts that are called");
    out += state("ids that came of late", "the client's id",
                 static_cast<double>(sizeof(std::string) + sizeof(std::uint64_t)) + map_node,
                 static_cast<double>(dispatch::most_remembered), "`dispatch/records`, `most_remembered`");
    out += "\nThe messages that it holds are the store's, below.\n\n" + message_head();
    const double events = load_.events, body = size_.assumed().body_bytes();
    out += message("events taken on, mean", events, body, "`downstream/`; heads are not counted");
    out += message("events delivered, mean", events, body, "`upstream/`; heads are not counted");
    out += message("destinations that change state", load_.state_changes, list_line_bytes(),
                   "`cluster/`, the watch: each dispatcher is told of each");
    out += '\n' + cost_head();
    out += cost(
        "events a second",
        [&](const Condition& at) {
            return std::optional(Carried{at.events, Basis::worked_out, false});
        },
        "-");
    out += cost(
        "processor, % of a core",
        [&](const Condition& at) { return measured_.at("rate", "cpu_percent", at.events); }, "100");
    out += cost(
        "99th percentile of the answer, ms",
        [&](const Condition& at) { return measured_.at("rate", "answer_p99_ms", at.events); }, "none stated");
    out += cost(
        "99th percentile of the delivery, ms",
        [&](const Condition& at) { return measured_.at("rate", "delivery_p99_ms", at.events); },
        "the class's deadline");
    out += cost(
        "resident memory with all destinations, MB",
        [&](const Condition&) {
            auto value = measured_.at("destinations", "resident_bytes", load_.destinations);
            if (value) value->value /= megabyte;
            return value;
        },
        "none stated");
    return out +
           "\nEvents of dispatchers that are lost are taken by the others where clients turn to them; that "
           "is "
           "the clients' to do. Descriptors: not measured on this axis; half of them are clients', a quarter "
           "idle "
           "connections (README, Bounds).\n\n";
}

std::string Roles::control() const {
    const auto& stated = size_.stated();
    const auto terms = members::terms_for(size_.assumed().contradiction_ms());
    const auto voters = static_cast<double>(size_.assumed().voters());
    const double renewals = voters * 1000 / terms.renew_ms;
    const members::ListBounds lists;
    std::string out = "### A dispatcher's part in control\n\n" + state_head();
    out += state("rule sets kept", "number of the publish",
                 static_cast<double>(members::Agreed::most_bytes) / members::Agreed::most_versions,
                 members::Agreed::most_versions, "`members/agreed`, `most_versions`, `most_bytes`: at most");
    out += state("changes of lists kept", "number of the publish",
                 static_cast<double>(members::Agreed::most_change_bytes) / members::Agreed::most_changes,
                 members::Agreed::most_changes, "`members/agreed`, `most_changes`: at most");
    out += state("entries of lists", "list and key",
                 static_cast<double>(sizeof(std::string) + sizeof(std::uint64_t)) + map_node +
                     static_cast<double>(lists.entry_bytes),
                 static_cast<double>(lists.entries),
                 "`members/lists`, `ListBounds`: at most, texts of full length");
    out += state("members", "id of the name", static_cast<double>(sizeof(members::Peer)) + map_node,
                 load_.dispatchers, "`members/member`, `Table::peers`; names beside");
    out += state("links to members", "id of the name",
                 static_cast<double>(sizeof(members::PeerLink)) + map_node, load_.dispatchers,
                 "`members/node`: an actor for each member, also where nothing is ever said to it");
    out += state("grants of its own leases", "number and voter",
                 static_cast<double>(sizeof(members::Id) + sizeof(double)) + map_node, 2 * voters,
                 "`members/leases`, `Holder`: of two numbers at a time");
    out += state("discovery's list as members share it", "uid",
                 static_cast<double>(sizeof(members::v1::Host) + sizeof(std::string)) + map_node,
                 load_.destinations * static_cast<double>(size_.assumed().hosts_per_destination()),
                 "`members/word`: only with `discovery: STATES` or `WHOLE`; texts beside");
    out += '\n' + message_head();
    out += message("renewals to the voters", renewals, renewal_bytes(),
                   "`members/member`; without HTTP's heads");
    out += message("their answers", renewals, renewed_bytes(), "`members/member`; without HTTP's heads");
    const double beats = 1000.0 / members::RaftTimes{}.heartbeat_ms;
    out += message("the leader's heartbeats", beats, std::nullopt,
                   "`members/consensus`, `RaftTimes::heartbeat_ms`");
    out += message("changes, ordinary day", load_.changes, std::nullopt, "`members/publishing`");
    out += message("changes, peak", load_.peak_changes, std::nullopt, "`members/publishing`");
    out += '\n' + control_cost("dispatcher", figure(stated.control().cpu_percent()),
                               figure(stated.control().bytes_per_second()),
                               figure(stated.control().memory_mb()));
    return out +
           "\nResident memory is the whole process's, its data path at rest included. What a restart itself "
           "costs (the "
           "log, the list and what is owed, read again), and what the side without a majority spends on "
           "asking: not measured.\n\n";
}

std::string Roles::voter() const {
    const auto terms = members::terms_for(size_.assumed().contradiction_ms());
    const double renewals = load_.dispatchers * 1000 / terms.renew_ms;
    std::string out = "### A voter\n\nBeside a dispatcher's part:\n\n" + state_head();
    out += state("what it has heard of each member", "id of the name",
                 static_cast<double>(sizeof(members::Member::Sight)) + map_node, load_.dispatchers,
                 "`members/member`, `sights`");
    out += state("the log since its last snapshot", "index", static_cast<double>(members::least_log_bytes), 1,
                 "`members/consensus`, `least_log_bytes`: at least, and as much as the state");
    out += '\n' + message_head();
    out += message("renewals from members", renewals, renewal_bytes(), "`members/member`: from every member");
    out += message("its answers", renewals, renewed_bytes(), "`members/member`");
    return out + '\n' + control_cost("voter", "100, its one thread", "none stated", "none stated") + '\n';
}

std::string Roles::leader() const {
    const double beats = load_.dispatchers * 1000.0 / members::RaftTimes{}.heartbeat_ms;
    std::string out = "### The leader\n\nBeside a voter's part:\n\n" + state_head();
    out += state("who acts on what", "member",
                 static_cast<double>(sizeof(members::Id) + sizeof(std::uint64_t)) + map_node,
                 load_.dispatchers, "`members/leases`, `Settling`");
    out += "\n" + message_head();
    out += message("heartbeats to members", beats, std::nullopt,
                   "`members/consensus`: to each member itself; fan-out by others: none yet");
    out += message("entries of changes, ordinary day", load_.changes * load_.dispatchers, std::nullopt,
                   "`members/consensus`: to each member itself");
    out +=
        message("entries of changes, peak", load_.peak_changes * load_.dispatchers, std::nullopt, "the same");
    out += message("asks whether a member could work with it, peak", load_.peak_changes * load_.dispatchers,
                   std::nullopt, "`members/publishing`: each member that lives is asked before each change");
    return out + '\n' + control_cost("leader", "100, its one thread", "none stated", "none stated") + '\n';
}

std::string Roles::machines() const {
    const auto machines = static_cast<double>(size_.stated().control().machines());
    const auto voters = static_cast<double>(size_.assumed().voters());
    return "### What the " + figure(machines) + " set-aside machines do\n\n" +
           table_head({"what", "on how many", "mechanism"}) +
           row({"a vote", figure(voters) + " of " + figure(machines),
                "`members/`: any member may be a voter; a member is a whole dispatcher"}) +
           row({"standing by for a voter that is lost", figure(std::max(0.0, machines - voters)),
                "`members voters NAMES`, by hand; by itself: none yet"}) +
           row({"a member that only votes and serves nobody", "-", "none yet"}) +
           row({"passing the leader's word on to a part of the fleet", "-", "none yet"}) +
           row({"publishing discovery's list", "-", "none yet; it is the platform's"}) +
           "\nWhat a vote costs such a machine stands under the voter and the leader.\n\n";
}

std::string Roles::discovery() const {
    using cluster::WatchPace;
    const double hosts = load_.destinations * static_cast<double>(size_.assumed().hosts_per_destination());
    const double line = list_line_bytes();
    std::string out =
        "### Discovery's agent and publisher\n\nBoth are the platform's; here is what dispatchers ask "
        "of them.\n\n" +
        state_head();
    out += state("lines of the list", "uid", line, hosts, "outside; as bytes that travel");
    out += '\n' + message_head();
    out += message("asks, where discovery has to be asked", load_.dispatchers * 1000 / WatchPace::poll_ms,
                   std::nullopt, "`cluster/pace`, `poll_ms`: the whole fleet's, at its quickest mean");
    out += message("changes of states, to all dispatchers", load_.state_changes * load_.dispatchers, line,
                   "`cluster/`: each dispatcher has each from its agent; passing on among members: "
                   "`members/word`");
    const double restarts_s = load_.restarts / (24 * 3600.0);
    out += message("whole lists after restarts", restarts_s, line * hosts,
                   "`cluster/`: a start asks for all; the list kept over a restart: none yet");
    out += '\n' + table_head({"at once", "dispatchers", "bytes", "mechanism"});
    for (const auto& [what, lost] :
         {std::pair{"a rack comes back", load_.lost_rack}, std::pair{"a zone comes back", load_.lost_zone}})
        out += row({what, figure(lost), figure(lost * line * hosts / megabyte) + " MB",
                    "`cluster/pace` spreads the asks; whole lists each"});
    return out + '\n';
}

std::string Roles::store() const {
    const auto& assumed = size_.assumed();
    std::string out = "### The store with its backlog\n\n" + state_head();
    const double key = sizeof(MessageId);
    const auto held_at = [&](const char* measure) {
        const auto curve = measured_.curve("backlog", by_held("down_", measure));
        const auto value = curve ? curve->at(load_.backlog) : std::nullopt;
        return value ? std::optional(value->value) : std::nullopt;
    };
    out += state(
        "messages owed", "message id",
        static_cast<double>(sizeof(dispatch::Owed) + sizeof(MessageId)) + map_node + assumed.body_bytes(),
        load_.backlog, "`dispatch/ledger`: all in memory, bodies too; names beside");
    out += state("where each record is", "keyspace and key",
                 static_cast<double>(sizeof(store::Entry) + sizeof(std::string)) + key + map_node,
                 load_.backlog, "`store/index`: of one record a message");
    out += state("all of it as measured, destinations down", "-", held_at("resident_bytes_each"),
                 load_.backlog, "the whole process");
    out += state("on disk, destinations down", "-", held_at("disk_bytes_each"), load_.backlog, "`store/`");
    out += "\n" + table_head({"cost", "destinations down", "hosts draining", "bound"});
    const auto both = [&](const char* what, const char* measure, double unit, const std::string& bound) {
        std::vector<std::string> cells{what};
        for (const char* kind : {"down_", "draining_"}) {
            const auto curve = measured_.curve("backlog", by_held(kind, measure, unit));
            const auto value = curve ? curve->at(load_.backlog) : std::nullopt;
            cells.push_back(figure(value));
        }
        cells.push_back(bound);
        return row(cells);
    };
    out += both("resident memory, MB", "resident_bytes", 1e-6,
                figure(assumed.dispatcher_memory_gb() * kilobyte) + ", assumed");
    out += both("on disk, MB", "disk_bytes", 1e-6,
                figure(assumed.dispatcher_disk_gb() * kilobyte) + ", assumed");
    out += both("recovery after a kill, ms", "recovery_ms", 1, figure(size_.stated().bounds().recovery_ms()));
    out += both("processor at rest, % of a core", "tick_cpu_percent", 1, "100, its one thread");
    out += both("longest hold of the loop, ms", "hold_ms", 1, figure(size_.stated().bounds().hold_ms()));
    const double parted = load_.events * assumed.events_across_regions_share() * 3600 *
                          size_.stated().failures().regions_parted_hours();
    out += "\n" + table_head({"while", "messages more at a dispatcher", "mechanism"});
    out += row({"regions are parted for " + figure(size_.stated().failures().regions_parted_hours()) + " h",
                figure(parted), "the ledger and the store, as far as they have room; then 503"});
    out += row({"a machine, a rack or a zone is lost", "what the lost ones held stays on their disks",
                "work in hand taken over from a lost dispatcher: none yet"});
    out += row(
        {"a dispatcher is restarted", "none: its own are recovered", "`store/recover`, `Ledger::recover`"});
    return out + '\n';
}

std::string Roles::tools() const {
    const auto& lists = members::ListBounds{};
    std::string out = "### The operators' tools\n\n" + state_head();
    out += state("a list's file while it is compared", "line",
                 static_cast<double>(sizeof(std::string) + sizeof(std::uint64_t)) + map_node +
                     static_cast<double>(lists.entry_bytes),
                 static_cast<double>(lists.entries),
                 "`commands/lists_command`: at most; gone after the command");
    out += '\n' + message_head();
    out += message("publishes, ordinary day", load_.changes, std::nullopt,
                   "`commands/`, `admin/`: one call each");
    out += message("publishes, peak", load_.peak_changes, std::nullopt,
                   "one after another; gathering by programs: asked of them, none yet here");
    return out +
           "\n`members status` asks one voter; a view over regions: none yet. Processor time and memory of "
           "the tools: not measured; they run beside the dispatchers and end "
           "with their command.\n";
}

}  // namespace

std::string roles_text(const v1::Size& size, const Measured& measured) {
    return Roles(size, measured).text();
}

}  // namespace brasslift::lab
