// The member of a dispatcher, tied to its parts: rules that come from the agreement become plans, new work
// is judged by leases, operators' calls are answered. Decides nothing.
#pragma once

#include <memory>
#include <string>

#include "admin/server.hpp"
#include "config/config.hpp"
#include "dispatch/dispatcher.hpp"
#include "members/node.hpp"
#include "plan/rules.hpp"

namespace brasslift::serve {

class Membership : public dispatch::Authority {
public:
    // Throws where the member cannot be had.
    Membership(runtime::Scheduler& scheduler, const config::Config& config, const plan::MembersRule& rule,
               dispatch::Dispatcher& dispatcher);
    void begin();
    bool may(std::uint64_t version) const override;
    // What /ready says of it; empty where all is well.
    std::string note() const;
    std::string figures() const;
    runtime::Task<admin::Reply> answer(const http::Message& request);
    void pass_on();

private:
    runtime::Task<admin::Reply> publish(members::v1::Version version);
    bool refuses() const;
    std::string members_json() const;
    std::string rules_json() const;
    void follow(const members::v1::Version& version);

    runtime::Scheduler& scheduler_;
    const config::Config& config_;
    plan::MembersRule rule_;
    dispatch::Dispatcher& dispatcher_;
    std::unique_ptr<members::StoreJournal> journal_;
    std::unique_ptr<members::Node> node_;
    // Of the version that is acted on: whether it has what must not be acted on without a lease.
    bool has_routes_ = false, has_limits_ = false, has_policies_ = false;
    mutable std::uint64_t turned_away_ = 0;
};

}  // namespace brasslift::serve
