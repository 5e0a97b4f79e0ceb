// What a plan lets through: the state of its limits and retry budgets, apart from the plan, so that it
// outlives a reload. Pure: the time is told. It narrows what the decision module is offered and decides
// nothing else.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "plan/count.hpp"
#include "plan/plan.hpp"

namespace brasslift::plan {

class Gate {
public:
    Gate(std::shared_ptr<const Plan> plan, Time now);

    struct Admission {
        bool admitted = true;
        double pause_ms = 0;              // where it is not: after which to come again
        double deadline_ms = 0;           // the policies' narrowest, from now; 0: none
        const std::string* by = nullptr;  // the route or limit that refuses
    };
    // A message that is handed in. `print` tells one client's message from another's; `again`: its client
    // says that it was refused before. Where it is admitted it is counted under `id` until release or undo.
    Admission admit(Time now, MessageId id, const Subject& subject, std::size_t bytes, std::uint64_t print,
                    bool again);
    void undo(MessageId id);
    void release(Time now, MessageId id);
    // A message that was taken on by an earlier life: counted, room or none.
    void restore(MessageId id, const Subject& subject, std::size_t bytes);

    struct Path {
        std::size_t pool = 0;  // 0: the dispatcher's own settings; else a place in the plan's pools, from 1
        int attempts = 0;      // at most; 0: no limit
    };
    Path path(const Subject& subject) const;
    // A first attempt earns its budgets' parts; one more is permitted only if all have a whole retry left.
    // The pause that is due where it is not, 0 where it is.
    void first_attempt(Time now, const Subject& subject);
    double retry(Time now, const Subject& subject);

    struct Held {
        MessageId id = 0;
        Subject subject;
        std::size_t bytes = 0;
    };
    // Another plan from now on. Counts of limits that stay are kept: tokens and turns as they are; what is
    // held is counted anew under the new limits.
    void change(std::shared_ptr<const Plan> plan, Time now, const std::vector<Held>& held);

    const Plan& plan() const { return *plan_; }
    // The pool of a path; none for the dispatcher's own settings.
    std::shared_ptr<const PoolRule> pool(std::size_t place) const;
    std::size_t counts() const { return total_; }
    std::uint64_t held(const std::string& limit) const;

private:
    using Counts = std::unordered_map<std::uint64_t, Count>;
    struct Charge {
        int limit = none;
        std::uint64_t key = 0;
        std::uint32_t lane = 0;
    };
    struct Charged {
        std::vector<Charge> charges;
        std::size_t bytes = 0;
    };
    struct Budget {
        double left = 0;
        Time at = 0;
    };
    Count* count_of(Time now, int limit, std::uint64_t key);
    bool make_room(Time now);
    Budget& refilled(Time now, int policy);

    std::shared_ptr<const Plan> plan_;
    std::vector<Counts> counts_;   // by limit
    std::vector<Budget> budgets_;  // by policy
    std::unordered_map<MessageId, Charged> charged_;
    std::size_t total_ = 0;
    Time next_sweep_ = 0;
    mutable std::vector<int> found_;  // scratch
    std::vector<Charge> charges_;
    std::vector<Count::Look> looks_;
};

}  // namespace brasslift::plan
