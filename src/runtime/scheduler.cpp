#include "runtime/scheduler.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <exception>
#include <stdexcept>

#include "runtime/log.hpp"

namespace brasslift::runtime {

namespace {

constexpr double nudge_ms = 5;

}  // namespace

Time steady_now() {
    using namespace std::chrono;
    return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}

double wall_now() {
    using namespace std::chrono;
    return duration<double, std::milli>(system_clock::now().time_since_epoch()).count();
}

Waker::~Waker() {
    if (until_ != never) scheduler_.timers_.erase({until_, this});
    if (queued_) std::erase(scheduler_.ready_, this);
}

void Waker::notify() {
    if (!waiting_) {
        latched_ = true;
    } else if (!queued_) {
        queued_ = true;
        scheduler_.ready_.push_back(this);
    }
}

void Waker::park(std::coroutine_handle<> waiting, Time until) {
    waiting_ = waiting;
    until_ = until;
    if (until != never) scheduler_.timers_.insert({until, this});
}

void Waker::resume() {
    queued_ = false;
    if (until_ != never) scheduler_.timers_.erase({until_, this});
    until_ = never;
    if (const auto waiting = std::exchange(waiting_, nullptr)) waiting.resume();
}

// The frame that owns a spawned task; it leaves the scheduler's set when it ends, however it ends.
struct Scheduler::Root {
    struct promise_type {
        Scheduler& scheduler;
        promise_type(Scheduler& s, Task<void>&) : scheduler(s) {
            scheduler.roots_.insert(std::coroutine_handle<promise_type>::from_promise(*this).address());
        }
        ~promise_type() {
            scheduler.roots_.erase(std::coroutine_handle<promise_type>::from_promise(*this).address());
        }
        Root get_return_object() { return {}; }
        std::suspend_never initial_suspend() noexcept { return {}; }
        std::suspend_never final_suspend() noexcept { return {}; }
        void return_void() {}
        void unhandled_exception() { std::terminate(); }
    };
};

Scheduler::Root Scheduler::host(Scheduler&, Task<void> task) {
    try {
        co_await task;
    } catch (const std::exception& fault) {
        // An exception stops at the peer it came from; the loop and all other peers go on.
        log("task", "ended by an exception: %s", fault.what());
    }
}

Scheduler::Scheduler() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), now_(steady_now()) {
    if (!epoll_) throw std::runtime_error("epoll_create1 failed");
}

Scheduler::~Scheduler() { drop_tasks(); }

void Scheduler::drop_tasks() {
    while (!roots_.empty()) std::coroutine_handle<>::from_address(*roots_.begin()).destroy();
}

double Scheduler::turn_ms() const { return steady_now() - now_; }

void Scheduler::spawn(Task<void> task) { host(*this, std::move(task)); }

std::uint64_t Scheduler::watch(int fd, Waker& waker) {
    const auto id = ++last_watch_;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = id;
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) return 0;
    watches_[id] = &waker;
    return id;
}

void Scheduler::nudge(std::uint64_t watch) { nudges_.emplace_back(steady_now() + nudge_ms, watch); }

void Scheduler::run_ready() {
    while (!ready_.empty()) {
        Waker* const next = ready_.front();
        ready_.pop_front();
        next->resume();
    }
}

void Scheduler::fire_timers() {
    for (; !nudges_.empty() && nudges_.front().first <= now_; nudges_.pop_front())
        if (const auto found = watches_.find(nudges_.front().second); found != watches_.end())
            found->second->notify();
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        Waker* const due = timers_.begin()->second;
        timers_.erase(timers_.begin());
        due->until_ = never;
        due->notify();
    }
}

void Scheduler::turn(Time until) {
    run_ready();
    if (stopped_) return;
    now_ = steady_now();
    const Time next = std::min({until, timers_.empty() ? never : timers_.begin()->first,
                                nudges_.empty() ? never : nudges_.front().first});
    const int timeout = next == never ? -1 : static_cast<int>(std::clamp(std::ceil(next - now_), 0.0, 6e4));
    std::array<epoll_event, 128> events;
    const int count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), timeout);
    now_ = steady_now();
    for (int i = 0; i < count; ++i) {
        const auto found = watches_.find(events[static_cast<std::size_t>(i)].data.u64);
        if (found != watches_.end()) found->second->notify();
    }
    fire_timers();
}

void Scheduler::run() {
    while (!stopped_) turn(never);
}

void Scheduler::run_until(Time at) {
    while (!stopped_ && steady_now() < at) turn(at);
    run_ready();
}

Task<void> next_turn(Scheduler& scheduler) {
    Waker waker(scheduler);
    co_await waker.wait(steady_now());  // timers are served in their order, after descriptors
}

Task<void> sleep_until(Scheduler& scheduler, Time at) {
    Waker waker(scheduler);
    while (scheduler.now() < at) co_await waker.wait(at);
}

}  // namespace brasslift::runtime
