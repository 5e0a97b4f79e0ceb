// The store's actor: syncs on a thread of its own, together for all that waits, and compacts between the
// loop's other work.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "runtime/scheduler.hpp"
#include "store/store.hpp"

namespace brasslift::store {

class Keeper {
public:
    // `interval_ms`: between two syncs, where the store's durability is that; its thread starts only where
    // there is anything to sync.
    // `wall`: the clock of the store's stamps, milliseconds of the Unix epoch.
    Keeper(runtime::Scheduler& scheduler, Store& store, Files& files, double interval_ms,
           std::function<double()> wall);
    ~Keeper();
    Keeper(const Keeper&) = delete;
    Keeper& operator=(const Keeper&) = delete;

    runtime::Task<void> run();
    // Called when a sync has ended, however it did.
    void tell_to(std::function<void()> synced) { synced_ = std::move(synced); }
    // Something was written that someone waits for.
    void want() { waker_.notify(); }
    bool reached(Version version) const { return !older(store_.durable(), version); }
    bool failed() const { return store_.broken(); }

private:
    void start();
    void hand_out();
    void take_back();
    bool slice();
    void work();

    runtime::Scheduler& scheduler_;
    runtime::Waker waker_;
    Store& store_;
    Files& files_;
    double interval_;
    std::function<double()> wall_;
    std::uint64_t slice_ = first_slice;  // bytes
    std::function<void()> synced_;
    runtime::Time last_sync_ = 0;

    struct Done {
        Job job;
        int result = 0;
        Job::Install install;
    };
    std::mutex mutex_;
    std::condition_variable wanted_;
    std::optional<Job> job_;
    std::optional<Done> done_;
    bool out_ = false, ending_ = false;
    runtime::Descriptor event_;
    std::uint64_t watch_ = 0;
    std::thread thread_;
};

}  // namespace brasslift::store
