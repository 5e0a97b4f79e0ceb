// The member of a dispatcher, tied to its parts: rules that come from the agreement become plans, new work
// is judged by leases, operators' calls are answered. Decides nothing.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "admin/server.hpp"
#include "cluster/cluster.hpp"
#include "commands/list_entries.hpp"
#include "config/config.hpp"
#include "dispatch/dispatcher.hpp"
#include "members/node.hpp"
#include "plan/rules.hpp"
#include "serve/list_share.hpp"

namespace brasslift::serve {

// The endpoints that lists keep out, by the hashes of their uids.
class KeptOut {
public:
    // The uids whose listing has to be looked at again.
    std::vector<std::string> change(const members::v1::ListChange& change);
    // Lists of these names hold; the others' entries lie there without effect.
    // Whether these are others than before.
    bool declare(std::set<std::string> names);
    bool holds(const std::string& uid) const;

private:
    std::map<std::string, std::unordered_set<std::uint64_t>> lists_;
    std::set<std::string> declared_;
};

class Membership : public dispatch::Authority, private members::Judge {
public:
    // Throws where the member cannot be had.
    Membership(runtime::Scheduler& scheduler, const config::Config& config, const plan::MembersRule& rule,
               dispatch::Dispatcher& dispatcher, cluster::Cluster& cluster);
    void begin();
    bool may(std::uint64_t version) const override;
    // What /ready says of it; empty where all is well.
    std::string note() const;
    std::string figures() const;
    runtime::Task<admin::Reply> answer(const http::Message& request);
    void pass_on();

private:
    std::string rules(const members::v1::RuleSet& rules, const members::Lists& lists) override;
    std::string change(const members::v1::ListChange& change, const members::v1::RuleSet* rules) override;
    const commands::Declared& declared(const members::v1::RuleSet* rules);
    runtime::Task<admin::Reply> publish(members::v1::Version version);
    runtime::Task<admin::Reply> answer_lists(const http::Message& request);
    // What a file, or lines of + and - entries, make of a list; a refusal instead where they cannot be read.
    std::optional<admin::Reply> read_change(const http::Message& request, members::v1::ListChange& into);
    bool refuses() const;
    std::string lists_json() const;
    std::string parts_json() const;
    std::string members_json() const;
    std::string rules_json() const;
    void follow(std::uint64_t from, std::uint64_t to);
    std::map<std::string, double> parts() const;
    runtime::Task<void> ask_around();
    void keep_out(const std::vector<members::v1::ListChange>& changes);

    runtime::Scheduler& scheduler_;
    const config::Config& config_;
    plan::MembersRule rule_;
    dispatch::Dispatcher& dispatcher_;
    cluster::Cluster& cluster_;
    std::unique_ptr<members::StoreJournal> journal_;
    std::unique_ptr<members::Node> node_;
    std::unique_ptr<ListShare> list_share_;  // none: discovery's list is not shared
    // Of the version that is acted on: whether it has what must not be acted on without a lease.
    bool has_routes_ = false, has_limits_ = false, has_policies_ = false, has_lists_ = false;
    std::uint64_t acting_number_ = 0;
    std::vector<std::string> shared_;    // limits
    std::uint64_t acting_rules_ = 0;     // the number under which the plan that is acted by was published
    std::vector<plan::ListRule> lists_;  // that it declares
    std::string declared_digest_;        // of the rules that were read last for what they declare
    commands::Declared declared_;
    KeptOut kept_out_;
    std::map<std::string, std::pair<std::uint64_t, double>>
        asked_;  // by limit: messages so far, and a second of late
    mutable std::uint64_t turned_away_ = 0;
};

}  // namespace brasslift::serve
