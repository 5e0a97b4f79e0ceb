// The fleet rig: real dispatchers, every link between them and to the other parties through a proxy, faults
// by a seed, and an account of both ends. One thread. Errors: throws std::runtime_error where the rig itself
// cannot work; what the dispatchers do wrong is in the verdict.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/account.hpp"
#include "lab/link.hpp"
#include "lab/peers.hpp"
#include "lab/process.hpp"

namespace brasslift::lab {

struct FleetPlan {
    std::string program;  // of the dispatchers
    int dispatchers = 5, voters = 3;
    std::uint64_t seed = 1;
    double faults_ms = 8000;  // publishes and faults come for so long, then all is healed
    double settle_ms = 14000;
    double contradiction_ms = 3000;
    double client_every_ms = 25;  // for each dispatcher
    double publish_every_ms = 900;
    double fault_every_ms = 900;  // 0: none
    bool leases = true;  // false: without a lease the last rules known are kept, so that nothing ends them
    bool wipes = false;
    double disk_mb = 40;
    bool keep_folder = false;
    std::string discovery;  // how members share it (ALONE, STATES, WHOLE); empty: not said
    bool members = true;    // false: each acts alone, without rules
    int without_coop = -1;  // this one's platform has a tenant fewer than the others'
};

struct FleetEnd {
    std::vector<std::string> broken;
    double longest_contradiction_ms = 0;
    std::size_t taken = 0, delivered = 0, turned_away = 0, acts = 0;
    int published = 0, refused = 0, no_majority = 0, kills = 0, stops = 0, cuts = 0, terms = 0;
    std::vector<double> publish_ms;
    std::string folder;  // where it was kept
};

// Destinations; the rig's rules refuse the second with a pause that tells them apart.
constexpr int served = 1, probed = 2;

// The digits behind a key in a JSON answer.
std::string number_after(const std::string& text, const std::string& key);

class Fleet {
public:
    explicit Fleet(const FleetPlan& plan);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // What the seed says, from the start to the verdict. `watch` is called twice a second.
    FleetEnd play(const std::function<void(Fleet&)>& watch = {});

    // For scripts: each takes effect at once.
    // `most_file_bytes`: a disk that is full sooner; 0: none.
    void start(int at, std::uint64_t most_file_bytes = 0);
    // A second process of that name, on a folder and addresses of its own; what it logged until now.
    void start_double(int at);
    std::string log_of_double() const;
    void form_all();
    void kill(int at);
    void kill_after(int at, double ms);  // while the rig waits for something else
    void term(int at);
    void stop(int at);
    void go_on(int at);
    void wipe(int at);
    void cut(int from, int to, bool is_cut);  // what one says is not heard by the other
    void isolate(int at, bool is_cut);        // in both directions, from all members
    void heal();
    void run_for(double ms);
    // Asks until it says yes.
    bool await(const std::function<bool()>& yes, double most_ms);
    // What the agent of one dispatcher says from now on, as the lines of its list: the state of the served
    // partner's endpoint, at that revision.
    void list_at(int at, std::uint32_t rev, const std::string& state);
    // An operators' call; status 0: nobody answered.
    http::Message call(int at, const std::string& method, const std::string& target,
                       const std::string& body = "", double patience_ms = 13000);
    // A call at the address for members.
    http::Message call_member(int at, const std::string& target, const std::string& body);
    http::Message publish(int at, const std::string& rules);
    // Who is to have a vote, asked at one dispatcher.
    http::Message set_voters(int at, const std::string& names);
    bool voters_settled(int at);
    int exit_code(int at) const { return one(at).process.exit_code(); }
    // A list's file as a whole, or lines of + and - entries.
    http::Message publish_list(int at, const std::string& name, const std::string& entries);
    http::Message change_list(int at, const std::string& name, const std::string& lines);
    // Of a list, as that member has agreed to it; 0: none.
    std::uint64_t list_version(int at, const std::string& name);
    std::string list_digest(int at, const std::string& name);
    // What a message to a destination is answered by that dispatcher, and with which pause; 0: nothing.
    // `id`: of a message that was handed in before; empty: a new one.
    std::pair<int, int> hand_in(int at, int destination, std::string id = "");
    std::string next_id() { return "h" + std::to_string(next_message_++); }
    // Rules by which a client of the rig sees which version it was answered by.
    static std::string rules_of(int number);
    std::uint64_t acting(int at);  // 0: none or unknown
    std::uint64_t settled(int at);
    int leader();  // -1: none is known
    std::string ready(int at);
    int size() const { return plan_.dispatchers; }
    bool running(int at) { return all_[static_cast<std::size_t>(at)]->process.running(); }
    const std::string& folder() const { return folder_; }
    std::string log_of(int at) const;
    Account& account() { return account_; }
    std::size_t calls() const { return account_.calls(); }  // of partners, so far
    void start_clients();
    void clients(bool on) { clients_on_ = on; }
    // What a message to the probed destination is answered by that dispatcher; -1: nothing.
    int probe(int at);
    FleetEnd verdict();
    const FleetEnd& so_far() const { return end_; }
    // Processor time used so far and memory resident, of one dispatcher; bytes between members of all links.
    double cpu_ms(int at);
    long resident_kb(int at);
    std::uint64_t member_bytes() const;
    double now() const { return runtime::steady_now() - begun_; }

private:
    struct One {
        std::string name, folder;
        std::uint16_t port = 0, admin = 0, member = 0;
        Process process;
        // An address is one endpoint's: each partner has a link of its own.
        std::unique_ptr<Link> to_partner, to_probed, to_discovery;
        std::unique_ptr<Party> agent;  // of discovery
        std::uint32_t rev = 0;         // that it stands at; 0: it has nothing to say
        std::string state;
        bool stopped = false;
        double down_until = 0, stopped_until = 0;
    };
    One& one(int at) { return *all_[static_cast<std::size_t>(at)]; }
    const One& one(int at) const { return *all_[static_cast<std::size_t>(at)]; }
    Link& link(int from, int to) { return *links_.at({from, to}); }
    const Link& link(int from, int to) const { return *links_.at({from, to}); }
    std::map<std::string, std::string> environment(const One& one) const;
    void write_files(int at);
    std::string operators_file(int at, std::uint16_t own_port) const;
    http::Message call_address(std::uint16_t port, std::string request, double patience_ms);
    Party::Reply partner(const http::Message& request);
    Party::Reply discovery(int at, const http::Message& request);
    runtime::Task<void> client(int at);
    runtime::Task<void> publisher();
    runtime::Task<void> kill_later(int at, double ms);
    runtime::Task<void> ask(std::uint16_t port, std::string request, double patience_ms,
                            std::shared_ptr<http::Message> into, std::shared_ptr<bool> done);
    std::string message(int destination, const char* kind, const std::string& id) const;
    void fault();
    bool alike();  // whether all act on one version
    void say(const std::string& what);

    FleetPlan plan_;
    std::mt19937_64 random_;
    std::string folder_;
    runtime::Scheduler scheduler_;
    double begun_ = 0;
    Account account_;
    std::unique_ptr<Party> partner_;
    std::vector<std::unique_ptr<One>> all_;
    std::map<std::pair<int, int>, std::unique_ptr<Link>> links_;
    FleetEnd end_;
    bool clients_on_ = true, publishing_ = false;
    int next_message_ = 0, next_rules_ = 1;
    std::unique_ptr<Process> double_;
};

}  // namespace brasslift::lab
