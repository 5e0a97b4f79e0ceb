// Outcome notices: each is sent until the platform has answered it. A post that gets no answer holds no other
// notice up: what has not been answered for a while goes out once more beside it, and whichever answer comes
// first counts. Threads: the loop's. Errors: a notice that the platform cannot read is logged and given up.
#pragma once

#include <deque>
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
    struct Pending {
        dispatch::Notice notice;
        runtime::Time next = 0;  // when it is sent (again), unless it is answered before
        int tries = 0;
        bool alone = false;  // a post with it and others could not be read
    };
    using Callers = std::vector<std::unique_ptr<client::Caller>>;

    std::vector<MessageId> due();
    runtime::Time next_due() const;
    void begin_post(const std::vector<MessageId>& ids);
    runtime::Task<void> post(std::unique_ptr<client::Caller> caller, std::vector<MessageId> ids,
                             std::string body, bool repeats);
    void answered(const std::vector<MessageId>& ids);
    void unreadable(const std::vector<MessageId>& ids, const std::string& body);
    void failed(const std::vector<MessageId>& ids, bool kept);
    void send_at(MessageId id, Pending& pending, runtime::Time at);

    runtime::Scheduler& scheduler_;
    runtime::Address discovery_;
    runtime::Waker waker_;
    runtime::Mailbox<dispatch::Notice> mailbox_;
    std::map<MessageId, Pending> pending_;                    // not answered yet
    std::set<std::pair<runtime::Time, MessageId>> schedule_;  // by Pending::next
    Callers idle_;                                            // with a connection that may be kept
    std::deque<MessageId> fresh_;                             // that may not have been sent yet
    std::size_t posts_ = 0, repeat_posts_ = 0;                // under way; those with notices sent before
    bool moved_ = false;
    Report report_;
};

}  // namespace brasslift::cluster
