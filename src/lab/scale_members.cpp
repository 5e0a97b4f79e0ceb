// The members' axis: what a size costs at rest, under publishes and under faults.
//
// At rest, the leader's, a voter's (the median of the others) and a dispatcher's figures are the kernel's,
// over the stated seconds; nobody asks them anything meanwhile. Bytes are TCP payload, in and out. What a
// publish every 28 s costs is computed: at rest, and a 28th part of what one publish was measured to cost.
//
// Of each fault: which share of those that run was without a lease at some time and for how long at most,
// when a publish handed in with the fault's first instant is active with all who can hear of it and when it
// is settled, and how long after the fault's end all have a lease again. A process that was killed counts as
// one that does not run, but for those of the tenth. The zone that goes has a voter that does not lead. The
// halves are two zones of five, with as many voters as leave the others a majority, and the rest with the
// leader.
#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "lab/member_fleet.hpp"
#include "lab/scale.hpp"
#include "members/node.hpp"
#include "plan/rules.hpp"

namespace brasslift::lab {
namespace {

constexpr double publish_every_s = 28;
constexpr int publishes = 5;
// What a hollow member takes for each member that it knows, and a process by itself; as measured, rounded up.
constexpr double pair_bytes = 2700, process_bytes = 14e6;

double median(std::vector<double> values) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double memory_of(double members) { return members * members * pair_bytes + 20 * process_bytes; }

// Throws where the size does not fit, with what would.
void judge(double size, const ScaleOptions& options) {
    if (options.voters != 3 && options.voters != 5)
        throw std::runtime_error(std::to_string(options.voters) +
                                 " voters: the operators' file has 3 or 5; 5 would fit");
    if (size < options.voters)
        throw std::runtime_error(std::to_string(static_cast<int>(size)) +
                                 " members: the voters are among them; " + std::to_string(options.voters) +
                                 " would fit");
    double most = plan::MembersRule::most_members;
    if (options.room.memory_bytes > 0) {
        const auto left = static_cast<double>(options.room.memory_bytes) - memory_of(0);
        most = std::min(most, std::floor(std::sqrt(std::max(0.0, left) / pair_bytes)));
    }
    const int processes = options.voters + MemberFleet::dispatchers + MemberFleet::hollow_processes + 1;
    if (options.room.processes < processes)
        throw std::runtime_error("the members' axis takes " + std::to_string(processes) + " processes, and " +
                                 std::to_string(options.room.processes) + " may run");
    if (size > most)
        throw std::runtime_error(std::to_string(static_cast<int>(size)) + " members do not fit; " +
                                 std::to_string(static_cast<int>(most)) + " would");
}

class MembersRun {
public:
    MembersRun(const ScaleOptions& options, double size)
        : options_(options), fleet_({options.program, static_cast<int>(size), options.voters, options.seed}) {
        point_.size = size;
    }
    Point play();

private:
    // What one role used, and what of it lasts.
    struct Used {
        double cpu_ms = 0, bytes = 0;
        ProcFigures now;
    };
    struct Window {
        double from = 0;
        std::vector<ProcFigures> before;
        std::map<pid_t, TcpBytes> bytes;
        double hollow_cpu_ms = 0;
    };
    double fault_ms() const { return std::clamp(options_.seconds * 600, 1500.0, 6000.0); }
    void put(const std::string& name, double value) { point_.measures.push_back({name, value}); }
    void miss(const std::string& what) { point_.note += (point_.note.empty() ? "" : "; ") + what; }
    bool ready(double most_ms, const std::string& when);
    std::vector<pid_t> ids() const;
    double hollow_cpu();
    Window open();
    void breathe() { fleet_.run_for(1); }
    std::map<std::string, Used> close(const Window& window);
    bool same_leader(const std::string& when);
    // What measures while one member leads; measured anew where another one does by the end.
    void measure_led(const std::string& when, const std::function<void()>& measure);
    void rest();
    void cost_of_publishes();
    void publish_times();
    void burst();
    struct Fault {
        std::string name;
        double ms = 0;                     // from its beginning to its end, at least
        std::function<void()> begin, end;  // no end: it ends by itself
        bool bursts = false;               // meanwhile
        bool counts_return = false;        // leases are looked at until all have one again
        std::set<int> hearing;             // the zones that can hear of a publish
        int publisher = 0;
    };
    void suffer(const Fault& fault);
    void kill_one(const std::string& name, int at);
    void restart_tenth();
    void lose_zone();
    void part_halves();
    int last_follower() const;  // of the voters that do not lead
    std::optional<std::pair<double, double>> publish_once(int at, const std::set<int>& zones, double most_ms,
                                                          bool again);

    ScaleOptions options_;
    MemberFleet fleet_;
    Point point_;
    int leader_ = -1;
    std::uint64_t term_ = 0;                               // in which it leads
    std::map<std::string, double> rest_cpu_, rest_bytes_;  // a second
};

std::vector<pid_t> MembersRun::ids() const {
    std::vector<pid_t> ids;
    for (int i = 0; i < fleet_.real(); ++i) ids.push_back(fleet_.id_of(i));
    return ids;
}

double MembersRun::hollow_cpu() {
    double ms = 0;
    for (const auto id : fleet_.hollow_ids()) {
        ms += proc_figures(id).cpu_ms;
        breathe();
    }
    return ms;
}

MembersRun::Window MembersRun::open() {
    Window window;
    window.hollow_cpu_ms = hollow_cpu();
    window.from = members::boot_now();
    for (const auto id : ids()) window.before.push_back(proc_figures(id));
    window.bytes = tcp_bytes(ids(), [this] { breathe(); });
    return window;
}

// By role; of the voters that do not lead and of the dispatchers, the medians.
std::map<std::string, MembersRun::Used> MembersRun::close(const Window& window) {
    std::map<std::string, std::vector<Used>> all;
    std::vector<ProcFigures> figures;
    for (const auto id : ids()) figures.push_back(proc_figures(id));
    const auto bytes = tcp_bytes(ids(), [this] { breathe(); });
    const auto of = [](const auto& by_id, pid_t id) {
        const auto found = by_id.find(id);
        return found == by_id.end() ? TcpBytes() : found->second;
    };
    for (int i = 0; i < fleet_.real(); ++i) {
        const auto id = fleet_.id_of(i);
        Used used;
        used.now = figures[static_cast<std::size_t>(i)];
        used.cpu_ms = used.now.cpu_ms - window.before[static_cast<std::size_t>(i)].cpu_ms;
        used.bytes = static_cast<double>(bytes_between(of(window.bytes, id), of(bytes, id)));
        all[i == leader_ ? "leader" : i < fleet_.voters() ? "voter" : "dispatcher"].push_back(used);
    }
    std::map<std::string, Used> roles;
    for (auto& [role, each] : all) {
        const auto middle = [&each = each](const std::function<double(const Used&)>& get) {
            std::vector<double> values;
            for (const auto& used : each) values.push_back(get(used));
            return median(values);
        };
        auto& into = roles[role];
        into.cpu_ms = middle([](const Used& u) { return u.cpu_ms; });
        into.bytes = middle([](const Used& u) { return u.bytes; });
        into.now.resident_mb = middle([](const Used& u) { return u.now.resident_mb; });
        into.now.descriptors = static_cast<int>(middle([](const Used& u) { return u.now.descriptors; }));
    }
    return roles;
}

bool MembersRun::ready(double most_ms, const std::string& when) {
    const double until = members::boot_now() + most_ms;
    // Leases on no version at all need no leader.
    if (!fleet_.await([&] { return (leader_ = fleet_.leader()) >= 0; }, most_ms))
        miss("nobody leads " + when);
    const bool all = fleet_.await([&] { return fleet_.all_leased(); }, until - members::boot_now());
    if (!all) miss("not all have a lease " + when);
    if (leader_ >= 0) term_ = fleet_.term(leader_);
    return all && leader_ >= 0;
}

bool MembersRun::same_leader(const std::string& when) {
    const int before = leader_;
    fleet_.await([&] { return (leader_ = fleet_.leader()) >= 0; }, 10000);
    const auto term = std::exchange(term_, leader_ < 0 ? 0 : fleet_.term(leader_));
    if (leader_ == before && term_ == term) return true;
    miss("the leader changed " + when);
    return false;
}

void MembersRun::measure_led(const std::string& when, const std::function<void()>& measure) {
    constexpr int most_tries = 3;
    const auto had = point_.measures.size();
    for (int i = 0; i < most_tries && leader_ >= 0; ++i) {
        measure();
        if (same_leader(when)) return;
        point_.measures.resize(had);
    }
}

void MembersRun::rest() {
    const auto window = open();
    fleet_.run_for(options_.seconds * 1000);
    const double ms = members::boot_now() - window.from;
    const auto roles = close(window);
    const auto hollow_ms = hollow_cpu() - window.hollow_cpu_ms;
    for (const auto& [role, used] : roles) {
        rest_cpu_[role] = used.cpu_ms / ms * 1000;
        rest_bytes_[role] = used.bytes / ms * 1000;
        put(role + "_cpu_percent", used.cpu_ms / ms * 100);
        put(role + "_resident_mb", used.now.resident_mb);
        put(role + "_bytes_per_s", rest_bytes_[role]);
        put(role + "_descriptors", used.now.descriptors);
    }
    double resident = 0;
    for (const auto id : fleet_.hollow_ids()) resident += proc_figures(id).resident_mb;
    put("hollow_all_cpu_percent", hollow_ms / ms * 100);
    put("hollow_all_resident_mb", resident);
}

// What one publish costs beside the rest; nobody is asked anything but that.
void MembersRun::cost_of_publishes() {
    constexpr int count = 4;
    const double apart_ms = std::min(2500.0, options_.seconds * 250);
    const auto window = open();
    int done = 0;
    for (int i = 0; i < count; ++i) {
        const double next = members::boot_now() + apart_ms;
        done += fleet_.publish(leader_).status == 200 ? 1 : 0;
        fleet_.run_for(next - members::boot_now());
    }
    const double seconds = (members::boot_now() - window.from) / 1000;
    const auto roles = close(window);
    if (done == 0) return miss("no publish was agreed");
    for (const auto& [role, used] : roles) {
        const double cpu = std::max(0.0, used.cpu_ms - rest_cpu_[role] * seconds) / done;
        const double bytes = std::max(0.0, used.bytes - rest_bytes_[role] * seconds) / done;
        put("publish_" + role + "_cpu_ms", cpu);
        put("publish_" + role + "_bytes", bytes);
        put("publish_every_28_s_" + role + "_cpu_percent", (rest_cpu_[role] + cpu / publish_every_s) / 10);
        put("publish_every_28_s_" + role + "_bytes_per_s", rest_bytes_[role] + bytes / publish_every_s);
    }
}

// One publish; when all in these zones act on it and when it is settled, in ms from when it was handed in.
// `again`: a publish that is not agreed is handed in again, in the same time.
std::optional<std::pair<double, double>> MembersRun::publish_once(int at, const std::set<int>& zones,
                                                                  double most_ms, bool again) {
    const double from = members::boot_now();
    const auto left = [&] { return from + most_ms - members::boot_now(); };
    std::uint64_t version = 0;
    do {
        version = MemberFleet::version_in(fleet_.publish(at));
        if (version == 0) fleet_.run_for(50);
    } while (version == 0 && again && left() > 0);
    if (version == 0) return std::nullopt;
    if (!fleet_.await([&] { return fleet_.active_at(version, zones) > 0; }, std::max(0.0, left())))
        return std::nullopt;
    const double active = fleet_.active_at(version, zones) - from;
    if (!fleet_.await([&] { return fleet_.settled_at(at, version) > 0; }, std::max(0.0, left())))
        return std::nullopt;
    return std::pair{active, fleet_.settled_at(at, version) - from};
}

void MembersRun::publish_times() {
    std::vector<double> active, settled;
    for (int i = 0; i < publishes; ++i)
        if (const auto came = publish_once(leader_, MemberFleet::all_zones(), 10000, false)) {
            active.push_back(came->first);
            settled.push_back(came->second);
        }
    if (active.size() < publishes)
        miss(std::to_string(publishes - static_cast<int>(active.size())) + " of " +
             std::to_string(publishes) + " publishes were not settled in 10 s");
    if (active.empty()) return;
    put("publish_active_p50_ms", median(active));
    put("publish_settled_p50_ms", median(settled));
}

void MembersRun::burst() {
    const double from = members::boot_now();
    const int done = fleet_.burst(leader_);
    put("burst_agreed_share", static_cast<double>(done) / MemberFleet::lists);
    if (done < MemberFleet::lists)
        miss(std::to_string(MemberFleet::lists - done) + " of a burst of " +
             std::to_string(MemberFleet::lists) + " publishes were refused");
    if (done == 0) return;
    const auto last = fleet_.agreed(leader_);
    if (!fleet_.await([&] { return fleet_.active_at(last, MemberFleet::all_zones()) > 0; }, 10000))
        return miss("the burst was not active everywhere in 10 s");
    put("burst_active_ms", fleet_.active_at(last, MemberFleet::all_zones()) - from);
    put("burst_active_each_ms", (fleet_.active_at(last, MemberFleet::all_zones()) - from) / done);
}

int MembersRun::last_follower() const {
    const int last = fleet_.voters() - 1;
    return last == leader_ ? last - 1 : last;
}

void MembersRun::suffer(const Fault& fault) {
    const auto name = fault.name + '_';
    fleet_.look_anew();
    const double from = members::boot_now();
    fault.begin();
    if (const auto came = publish_once(fault.publisher, fault.hearing, 15000, true)) {
        put(name + "publish_active_ms", came->first);
        put(name + "publish_settled_ms", came->second);
    } else {
        miss(fault.name + ": a publish was not settled in 15 s");
    }
    if (fault.bursts)
        put(name + "burst_agreed_share",
            static_cast<double>(fleet_.burst(fault.publisher)) / MemberFleet::lists);
    fleet_.run_for(from + fault.ms - members::boot_now());
    auto gaps = fleet_.gaps();
    const double ended = members::boot_now();
    if (fault.end) fault.end();
    if (!ready(40000, "40 s after " + fault.name)) return;
    put(name + "back_ms", members::boot_now() - (fault.end ? ended : from));
    if (fault.counts_return) gaps = fleet_.gaps();
    put(name + "no_lease_share", static_cast<double>(gaps.without_ever) / gaps.members);
    put(name + "no_lease_longest_ms", gaps.longest_ms);
}

void MembersRun::kill_one(const std::string& name, int at) {
    Fault fault;
    fault.name = name;
    fault.ms = fault_ms();
    fault.begin = [this, at] { fleet_.kill(at); };
    fault.end = [this, at] { fleet_.start(at); };
    fault.bursts = at != leader_;
    fault.hearing = MemberFleet::all_zones();
    fault.publisher = at == leader_ ? last_follower() : leader_;
    suffer(fault);
}

void MembersRun::restart_tenth() {
    if (fleet_.groups() == 0) return miss("no hollow members, of which a tenth could be restarted");
    Fault fault;
    fault.name = "tenth_restarted";
    fault.begin = [this] {
        const double since = members::boot_now();
        fleet_.kill_group(0);
        fleet_.start_group(0, since);
    };
    fault.counts_return = true;
    fault.hearing = MemberFleet::all_zones();
    fault.publisher = leader_;
    suffer(fault);
}

void MembersRun::lose_zone() {
    const int zone = fleet_.zone_of(last_follower());
    Fault fault;
    fault.name = "zone_gone";
    fault.ms = fault_ms();
    fault.begin = [this, zone] {
        for (int i = 0; i < fleet_.real(); ++i)
            if (fleet_.zone_of(i) == zone) fleet_.kill(i);
        for (int i = 0; i < fleet_.groups(); ++i)
            if (fleet_.zone_of_group(i) == zone) fleet_.kill_group(i);
    };
    fault.end = [this] {
        for (int i = 0; i < fleet_.real(); ++i) fleet_.start(i);
        for (int i = 0; i < fleet_.groups(); ++i) fleet_.start_group(i);
    };
    fault.hearing = MemberFleet::all_zones();
    fault.publisher = leader_;
    suffer(fault);
}

void MembersRun::part_halves() {
    std::set<int> away;
    for (int zone = std::min(fleet_.voters(), MemberFleet::zones) - 1; zone >= 0; --zone)
        if (zone != fleet_.zone_of(leader_) && static_cast<int>(away.size()) < fleet_.voters() / 2)
            away.insert(zone);
    for (int zone = MemberFleet::zones - 1; zone >= fleet_.voters() && away.size() < 2; --zone)
        away.insert(zone);
    constexpr double least_ms = 5000;  // a lease ends meanwhile
    Fault fault;
    fault.name = "halves_parted";
    fault.ms = std::max(least_ms, fault_ms());
    fault.begin = [this, away] { fleet_.part(away); };
    fault.end = [this] { fleet_.part({}); };
    fault.counts_return = true;
    for (const int zone : MemberFleet::all_zones())
        if (away.count(zone) == 0) fault.hearing.insert(zone);
    fault.publisher = leader_;
    suffer(fault);
}

Point MembersRun::play() {
    const double begun = members::boot_now();
    fleet_.start_all();
    if (!ready(60000, "60 s after the start")) return point_;
    put("start_until_leases_ms", members::boot_now() - begun);
    measure_led("after the start", [this] { fleet_.run_for(std::min(3000.0, options_.seconds * 1000)); });
    measure_led("at rest", [this] { rest(); });
    measure_led("under publishes", [this] { cost_of_publishes(); });
    if (leader_ < 0) return point_;
    fleet_.watch(true);
    publish_times();
    burst();
    same_leader("in a burst");
    if (ready(20000, "before the faults")) kill_one("voter_killed", last_follower());
    if (leader_ >= 0) kill_one("leader_killed", leader_);
    if (leader_ >= 0) restart_tenth();
    if (leader_ >= 0) lose_zone();
    if (leader_ >= 0) part_halves();
    return point_;
}

}  // namespace

AxisRun run_members(const ScaleOptions& options) {
    AxisRun run;
    run.axis = "members";
    run.command = options.command;
    const auto sizes = options.sizes.empty() ? std::vector<double>{5, 25, 100, 300, 860} : options.sizes;
    for (const auto size : sizes) judge(size, options);
    for (const auto size : sizes) run.points.push_back(MembersRun(options, size).play());
    return run;
}

}  // namespace brasslift::lab
