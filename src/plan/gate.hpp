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
#include "plan/lists.hpp"
#include "plan/plan.hpp"

namespace brasslift::plan {

class Gate {
public:
    Gate(std::shared_ptr<const Plan> plan, Time now);

    struct Admission {
        bool admitted = true;
        double pause_ms = 0;              // where it is not: after which to come again
        double deadline_ms = 0;           // the policies' narrowest, from now; 0: none
        const std::string* by = nullptr;  // the route or limit that refused it; lives as long as the plan
    };
    // A message that is handed in. `print` tells one client's message from another's; `again`: its client
    // says that it was refused before. Where it is admitted it is counted under `id` until release or undo.
    Admission admit(Time now, MessageId id, const Subject& subject, std::size_t bytes, std::uint64_t print,
                    bool again);
    void undo(MessageId id);
    // Entries of named lists, beside the plan that is there or comes next.
    void change(const std::vector<ListChange>& changes, Time now);
    // Which part of each shared limit is this dispatcher's, by name; one that is not named is as it was.
    void share(const std::map<std::string, double>& parts, Time now);
    // Messages that each shared limit was asked to admit so far, and its rate.
    struct Asked {
        std::string limit;
        std::uint64_t messages = 0;
        double rate = 0;
    };
    std::vector<Asked> asked() const;
    void release(Time now, MessageId id);
    // A message that was taken on by an earlier life: counted, room or none.
    void restore(MessageId id, const Subject& subject, std::size_t bytes);

    struct Permit {
        double pause_ms = 0;  // where the message may have no attempt more: after which to come again; else 0
        std::shared_ptr<const PoolRule>
            pool;  // whose connections it uses; none: the dispatcher's own settings
    };
    // Of a message that has had so many attempts. A first one earns its budgets' parts, each further one
    // needs a whole retry in all of them.
    Permit permit(Time now, const Subject& subject, int made);
    // Whether its policies allow it no attempt more; permit() would say the same.
    bool spent(const Subject& subject, int made) const;
    // When to come again with a message that is spent.
    static constexpr double spent_pause_ms = 1000;
    // The pool of a message that has a permit, by the present plan.
    std::shared_ptr<const PoolRule> pool(const Subject& subject) const;

    struct Held {
        MessageId id = 0;
        Subject subject;
        std::size_t bytes = 0;
    };
    // Another plan from now on. Counts of limits that stay are kept: tokens and turns as they are; what is
    // held is counted anew under the new limits.
    void change(std::shared_ptr<const Plan> plan, Time now, const std::vector<Held>& held);

    const Plan& plan() const { return *plan_; }
    std::size_t counts() const { return total_; }
    std::uint64_t held(const std::string& limit) const;

private:
    using Counts = std::unordered_map<CountKey, Count, CountKeyHash>;
    struct Charge {
        int limit = none;
        CountKey key;
        std::uint32_t lane = 0;
    };
    struct Charged {
        std::vector<Charge> charges;
        std::size_t bytes = 0;
        int capped = none;  // the tenant, by a list
    };
    struct Budget {
        double left = 0;
        Time at = 0;
    };
    Count* count_of(Time now, int limit, const CountKey& key);
    bool make_room(Time now);
    Budget& refilled(Time now, int policy);
    bool spent_by(const std::vector<int>& policies, int made) const;
    std::shared_ptr<const PoolRule> pool_of(int route) const;

    std::shared_ptr<const Plan> plan_;
    Lists lists_;
    LimitRule own_part(std::size_t limit) const;
    std::map<std::string, double> shares_;        // of shared limits
    std::map<std::string, std::uint64_t> asked_;  // the same
    std::vector<Counts> counts_;                  // by limit
    std::vector<Budget> budgets_;                 // by policy
    std::unordered_map<MessageId, Charged> charged_;
    std::size_t total_ = 0;
    Time next_sweep_ = 0;
    mutable std::vector<int> found_;  // scratch
    std::vector<Charge> charges_;
    std::vector<Count::Look> looks_;
};

}  // namespace brasslift::plan
