// Outcome notices: each is sent until the platform has answered it. A post that gets no answer holds no other
// notice up: what has not been answered for a while goes out once more beside it, and whichever answer comes
// first counts. Threads: the loop's. Errors: a notice that the platform cannot read is logged and given up.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "client/caller.hpp"
#include "dispatch/types.hpp"
#include "runtime/mailbox.hpp"

namespace brasslift::cluster {

class Notices : public dispatch::Outbox {
public:
    Notices(runtime::Scheduler& scheduler, runtime::Address discovery)
        : scheduler_(scheduler), discovery_(discovery), waker_(scheduler), mailbox_(waker_) {}

    using Report = std::function<void(dispatch::Told)>;
    void report_to(Report report) { report_ = std::move(report); }
    void tell(dispatch::Notice notice) override { mailbox_.put(std::move(notice)); }
    // From now on the platform takes them there; posts that are under way end where they were sent.
    void move_to(runtime::Address discovery);
    bool empty() const { return mailbox_.empty() && pending_.empty(); }
    runtime::Task<void> run();

private:
    // How often a notice was sent; those of a later round wait for those of the ones before.
    enum class Round : std::uint8_t { first, early, late };
    static constexpr std::size_t rounds = 3;
    struct Pending {
        dispatch::Notice notice;
        runtime::Time next = 0;  // when it is sent (again), unless it is answered before
        int tries = 0;
        bool alone = false;  // a post with it and others could not be read
        Round round = Round::first;
    };
    using Callers = std::vector<std::unique_ptr<client::Caller>>;

    using Schedule = std::set<std::pair<runtime::Time, MessageId>>;  // by Pending::next
    Schedule& schedule_of(const Pending& pending);
    bool has_post_for(Round round) const;
    std::vector<MessageId> due() const;
    std::vector<MessageId> due_in(const Schedule& schedule) const;
    runtime::Time next_due() const;
    void begin_post(const std::vector<MessageId>& ids);
    runtime::Task<void> post(std::unique_ptr<client::Caller> caller, std::vector<MessageId> ids,
                             std::string body, Round round);
    void answered(const std::vector<MessageId>& ids);
    void unreadable(const std::vector<MessageId>& ids, const std::string& body);
    void failed(const std::vector<MessageId>& ids, bool kept);
    void send_at(MessageId id, Pending& pending, runtime::Time at);

    runtime::Scheduler& scheduler_;
    runtime::Address discovery_;
    runtime::Waker waker_;
    runtime::Mailbox<dispatch::Notice> mailbox_;
    std::map<MessageId, Pending> pending_;    // not answered yet
    std::array<Schedule, rounds> schedules_;  // all of them, by Pending::round
    Callers idle_;                            // with a connection that may be kept
    std::size_t posts_ = 0, late_posts_ = 0;  // under way; those of the late round
    bool moved_ = false;
    Report report_;
};

}  // namespace brasslift::cluster
