#include "store/keeper.hpp"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "runtime/log.hpp"

namespace brasslift::store {
namespace {

constexpr double between_slices_ms = 1;  // others have their turn
constexpr double idle_ms = 250;          // retention, and what failed before

}  // namespace

Keeper::Keeper(runtime::Scheduler& scheduler, Store& store, Files& files, double interval_ms,
               std::function<double()> wall)
    : scheduler_(scheduler),
      waker_(scheduler),
      store_(store),
      files_(files),
      interval_(interval_ms),
      wall_(std::move(wall)) {
    store_.work_apart();
    if (store_.options().durability != Durability::none) start();
}

void Keeper::start() {
    event_ = runtime::Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (event_) watch_ = scheduler_.watch(event_.get(), waker_);
    if (watch_ == 0) throw std::runtime_error("no descriptor for the store's syncs");
    // Signals are the loop's.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { work(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Keeper::~Keeper() {
    if (watch_ != 0) scheduler_.unwatch(watch_);
    if (!thread_.joinable()) return;
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    wanted_.notify_one();
    thread_.join();
}

void Keeper::work() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wanted_.wait(lock, [this] { return ending_ || job_; });
        if (!job_) return;
        Done done{std::move(*job_), 0, {}};
        job_.reset();
        lock.unlock();
        done.result = done.job.run(files_, &done.install);
        lock.lock();
        done_ = std::move(done);
        const std::uint64_t one = 1;
        // The counter never fills: it is read with each result.
        if (::write(event_.get(), &one, sizeof one) < 0) continue;
    }
}

void Keeper::hand_out() {
    const auto durability = store_.options().durability;
    if (out_) return;
    if (durability == Durability::interval && scheduler_.now() < last_sync_ + interval_) return;
    auto job = store_.next_job();
    if (!job) return;
    if (!thread_.joinable()) start();
    last_sync_ = scheduler_.now();
    out_ = true;
    {
        const std::lock_guard lock(mutex_);
        job_ = std::move(job);
    }
    wanted_.notify_one();
}

void Keeper::take_back() {
    if (!out_) return;
    std::optional<Done> done;
    {
        const std::lock_guard lock(mutex_);
        std::swap(done, done_);
    }
    if (!done) return;
    std::uint64_t count = 0;
    while (::read(event_.get(), &count, sizeof count) > 0) {}
    out_ = false;
    store_.finish(done->job, done->result, done->install.done);
    if (store_.broken())
        runtime::log("store", "%s: new work is refused until the next start", store_.why().c_str());
    if (synced_) synced_();
}

bool Keeper::slice() {
    const auto begun = runtime::steady_now();
    const bool more = store_.step(static_cast<Stamp>(wall_()), slice_);
    slice_ = next_slice(slice_, runtime::steady_now() - begun);
    return more;
}

runtime::Task<void> Keeper::run() {
    runtime::Time slice_due = scheduler_.now() + idle_ms;
    for (;;) {
        take_back();
        hand_out();
        if (scheduler_.now() >= slice_due)
            slice_due = scheduler_.now() + (slice() ? between_slices_ms : idle_ms);
        auto until = slice_due;
        if (store_.options().durability == Durability::interval && !out_)
            until = std::min(until, std::max(scheduler_.now() + 0.5, last_sync_ + interval_));
        co_await waker_.wait(until);
    }
}

}  // namespace brasslift::store
