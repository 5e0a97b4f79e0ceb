// The axis of messages held for destinations that are down: those whose hosts refuse connections, and those
// whose hosts drain.
#include <algorithm>
#include <string>

#include "lab/world.hpp"
#include "runtime/scheduler.hpp"

namespace brasslift::lab {
namespace {

// The last is a fleet's 1.5 billion over 860 dispatchers.
const std::vector<double> own_sizes{2000, 10000, 50000, 200000, 1750000};
constexpr double fill_per_second = 4000;
constexpr double least_fill_ms = 60000, stuck_ms = 10000;  // then it is left at what it came to
constexpr double most_start_ms = 120000;
constexpr double fixed_bytes = 100e6, bytes_each = 3000;
constexpr int body_bytes = 200;
constexpr double disk_each = 2500;  // what is live may take less than half of the disk

WorldPlan plan_of(const ScaleOptions& options, double size, bool draining) {
    WorldPlan plan;
    plan.program = options.program;
    plan.seed = options.seed;
    plan.hosts = 200;
    plan.busy = 100;
    plan.is_draining = draining;
    plan.is_down = true;
    plan.deadline_ms = 20 * 3600 * 1000.0;
    plan.body_bytes = body_bytes;
    plan.site.workers = 256;
    plan.site.send_cap = 1000000;
    plan.site.most_held = static_cast<int>(size * 1.2) + 1000;
    plan.site.sockets = 4096;
    plan.site.disk_mb = 50 + size * disk_each / 1e6;
    return plan;
}

// Until so many are held, or it does not go on; why, where they are not.
std::string fill(World& world, double size) {
    auto& board = world.board();
    board.messages_per_second = fill_per_second;
    const double begun = runtime::steady_now();
    const double until = begun + std::max(least_fill_ms, 2 * size / fill_per_second * 1000);
    double held = 0, grew = begun;
    std::string why;
    while (held < size && why.empty()) {
        pause_ms(50);
        const double now = runtime::steady_now(), holds = world.held();
        if (holds > held) grew = now;
        held = std::max(held, holds);
        if (!world.dispatcher().running()) why = "the dispatcher ended: " + world.log();
        if (now - grew > stuck_ms) why = "it took nothing on for 10 s";
        if (now > until) why = "there was no time for more";
    }
    board.messages_per_second = 0;
    pause_ms(500);  // what is under way
    return why;
}

void run_variant(const ScaleOptions& options, double size, bool draining, Point& point) {
    const std::string kind = draining ? "draining_" : "down_";
    const auto add = [&](const char* name, double value) { point.measures.push_back({kind + name, value}); };
    World world(plan_of(options, size, draining));
    auto& board = world.board();
    const double ms = options.seconds * 1000;
    const auto give_up = [&](const std::string& why) {
        point.note += (point.note.empty() ? "" : "; ") + kind.substr(0, kind.size() - 1) + ": " + why;
    };
    world.start();
    if (world.await_up(most_start_ms) < 0 || world.await_listed(most_start_ms) < 0)
        return give_up("the dispatcher did not come up");
    world.await_settled(5000);
    const double empty = resident_bytes_of(world.dispatcher().id()), disk_empty = world.disk_bytes();
    const double began = runtime::steady_now();
    const auto why = fill(world, size);
    const double held = std::max(0.0, world.held());
    if (!why.empty()) give_up(std::to_string(static_cast<long long>(held)) + " were held: " + why);
    if (!world.dispatcher().running()) return;
    add("held", held);
    add("in_time_share", static_cast<double>(board.in_time) / std::max<double>(1, board.sent));
    add("fill_ms", runtime::steady_now() - began);
    world.await_settled(5000);
    add("resident_bytes", resident_bytes_of(world.dispatcher().id()));
    add("disk_bytes", world.disk_bytes());
    if (held > 0) {
        add("resident_bytes_each", (resident_bytes_of(world.dispatcher().id()) - empty) / held);
        add("disk_bytes_each", (world.disk_bytes() - disk_empty) / held);
    }
    add("tick_cpu_percent", cpu_rate(world, 0.5 * ms) / 10);
    const auto probes_from = board.probe_ms.size();
    board.probing = true;
    pause_ms(0.5 * ms);
    board.probing = false;
    const auto probes = board.probe_ms.sorted_from(probes_from);
    add("hold_ms", quantile_of(probes, 1) - quantile_of(probes, 0.5));
    world.dispatcher().kill();
    world.start();
    const double up = world.await_up(most_start_ms);
    if (up < 0) return give_up("it was not ready within 120 s of a kill");
    add("recovery_ms", up);
    add("recovered", world.owed_at_start());
    add("recovered_peak_resident_bytes", peak_resident_bytes_of(world.dispatcher().id()));
}

}  // namespace

AxisRun run_backlog(const ScaleOptions& options) {
    AxisRun run{"backlog", options.command, {}};
    const auto& sizes = options.sizes.empty() ? own_sizes : options.sizes;
    refuse_what_does_not_fit(run.axis, sizes, fixed_bytes, bytes_each, options.room);
    std::string ended;  // where one size is not reached, a larger one would not be
    for (const auto size : sizes) {
        Point point;
        point.size = size;
        point.note = ended;
        for (const bool draining : {false, true})
            if (ended.empty()) run_variant(options, size, draining, point);
        if (ended.empty() && !point.note.empty())
            ended = "not run: " + std::to_string(static_cast<long long>(size)) + " was not reached";
        run.points.push_back(std::move(point));
    }
    return run;
}

}  // namespace brasslift::lab
