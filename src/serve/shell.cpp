#include "serve/shell.hpp"

#include "admin/server.hpp"
#include "runtime/log.hpp"

namespace brasslift::serve {
namespace {

// Whoever replaces a process ends the old one within some seconds.
constexpr double shell_ms = 30000;

runtime::Task<void> until_signalled(runtime::Scheduler& scheduler, runtime::Waker& waker,
                                    const Signals& signals) {
    const runtime::Time until = scheduler.now() + shell_ms;
    for (int signal = 0; signal != SIGTERM && signal != SIGINT && scheduler.now() < until;) {
        signal = signals.next();
        if (signal == 0) co_await waker.wait(until);
    }
    scheduler.stop();
}

}  // namespace

void keep_shell(Remains remains) {
    runtime::Scheduler scheduler;
    runtime::Waker signalled(scheduler);
    const Signals signals(scheduler, signalled);
    // It sends clients away by itself, and takes none again.
    admin::Server admin(scheduler, {[] { return false; }, [] { return true; }, [] { return false; },
                                    [&] { return remains.figures; }});
    if (remains.admin && admin.adopt(std::move(remains.admin))) scheduler.spawn(admin.run());
    scheduler.spawn(until_signalled(scheduler, signalled, signals));
    scheduler.run();
    scheduler.drop_tasks();
    runtime::log("main", "ended; another process serves");
}

}  // namespace brasslift::serve
