// One thread, one epoll loop: wakes coroutines when descriptors, mailboxes or the clock have news.
#pragma once

#include <coroutine>
#include <cstdint>
#include <deque>
#include <limits>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "runtime/descriptor.hpp"
#include "runtime/task.hpp"

namespace brasslift::runtime {

using Time = double;  // milliseconds of the steady clock
constexpr Time never = std::numeric_limits<double>::infinity();

class Scheduler;

// What one actor waits on. Descriptors, mailboxes and timers notify it; a wake may be spurious, so the actor
// looks at its state again. A notice that comes while nobody waits is kept for the next wait.
class Waker {
public:
    explicit Waker(Scheduler& scheduler) : scheduler_(scheduler) {}
    ~Waker();
    Waker(const Waker&) = delete;
    Waker& operator=(const Waker&) = delete;

    void notify();

    struct Awaiter {
        Waker& waker;
        Time until;
        bool await_ready() const noexcept { return std::exchange(waker.latched_, false); }
        void await_suspend(std::coroutine_handle<> waiting) { waker.park(waiting, until); }
        void await_resume() const noexcept {}
    };
    Awaiter wait(Time until = never) { return {*this, until}; }

private:
    friend class Scheduler;
    void park(std::coroutine_handle<> waiting, Time until);
    void resume();

    Scheduler& scheduler_;
    std::coroutine_handle<> waiting_;
    Time until_ = never;
    bool latched_ = false, queued_ = false;
};

class Scheduler {
public:
    Scheduler();
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    Time now() const { return now_; }
    // For how long everyone in this turn of the loop has run by now.
    double turn_ms() const;

    // Runs a task that nobody awaits; an exception ends that task only.
    void spawn(Task<void> task);

    void run();  // until stop()
    void stop() { stopped_ = true; }
    void go_on() { stopped_ = false; }  // after stop(): run() may be called again
    void settle() { run_ready(); }      // all that needs neither descriptors nor the clock
    void drop_tasks();                  // while what they refer to is still there
    void run_until(Time at);

    // Descriptors are told of by number, so that an event for a closed one finds nobody.
    std::uint64_t watch(int fd, Waker& waker);
    void rebind(std::uint64_t watch, Waker& waker) { watches_[watch] = &waker; }
    void unwatch(std::uint64_t watch) { watches_.erase(watch); }
    // Tells whoever watches it in a moment, though the descriptor has no news: a call on it failed in
    // passing.
    void nudge(std::uint64_t watch);

private:
    friend class Waker;
    struct Root;
    static Root host(Scheduler& scheduler, Task<void> task);
    void turn(Time until);
    void run_ready();
    void fire_timers();

    Descriptor epoll_;
    Time now_ = 0;
    bool stopped_ = false;
    std::uint64_t last_watch_ = 0;
    std::unordered_map<std::uint64_t, Waker*> watches_;
    std::deque<Waker*> ready_;
    std::set<std::pair<Time, Waker*>> timers_;
    std::deque<std::pair<Time, std::uint64_t>> nudges_;  // in the order of their times
    std::unordered_set<void*> roots_;
};

Time steady_now();
double wall_now();  // milliseconds of the Unix epoch

// Goes on after descriptors and timers that wait by now have been served: for long work in slices.
Task<void> next_turn(Scheduler& scheduler);

// A pause that nothing but the clock ends.
Task<void> sleep_until(Scheduler& scheduler, Time at);

}  // namespace brasslift::runtime
