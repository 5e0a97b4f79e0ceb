// The axis of events a second at one dispatcher, whose endpoints all answer.
#include "lab/world.hpp"

namespace brasslift::lab {
namespace {

// The last is a fleet's 1.7 million over 860 dispatchers.
const std::vector<double> own_sizes{100, 300, 1000, 2000};
constexpr double most_start_ms = 60000, warm_up_ms = 2000;
constexpr double fixed_bytes = 200e6, bytes_each = 50e3;

Point run_point(const ScaleOptions& options, double size) {
    Point point;
    point.size = size;
    WorldPlan plan;
    plan.program = options.program;
    plan.seed = options.seed;
    plan.hosts = 220;
    plan.capacity_hint = 1000;
    plan.site.workers = 256;
    plan.site.send_cap = 64;
    plan.site.most_held = 20000;
    plan.site.sockets = 4096;
    plan.site.disk_mb = 400;
    World world(plan);
    world.start();
    if (world.await_up(most_start_ms) < 0 || world.await_listed(most_start_ms) < 0) {
        point.note = "the dispatcher did not come up: " + world.log();
        return point;
    }
    world.await_settled(5000);
    const double idle = cpu_rate(world, 0.1 * options.seconds * 1000);
    measure_messages(world, size, warm_up_ms, options.seconds * 1000, idle, point);
    point.measures.push_back({"resident_bytes", resident_bytes_of(world.dispatcher().id())});
    if (!world.dispatcher().running()) point.note = "the dispatcher ended: " + world.log();
    return point;
}

}  // namespace

AxisRun run_rate(const ScaleOptions& options) {
    AxisRun run{"rate", options.command, {}};
    const auto& sizes = options.sizes.empty() ? own_sizes : options.sizes;
    refuse_what_does_not_fit(run.axis, sizes, fixed_bytes, bytes_each, options.room);
    for (const auto size : sizes) run.points.push_back(run_point(options, size));
    return run;
}

}  // namespace brasslift::lab
