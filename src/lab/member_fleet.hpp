// Members of any number for a scale run: real dispatchers for the voters and up to three others, hollow
// members in ten processes for the rest, spread over five zones. Real ones reach each other through links
// that can be parted; hollow ones lose what is said across a parting themselves. One thread. Errors: throws
// std::runtime_error where the fleet itself cannot work. Times are milliseconds by members::boot_now().
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/link.hpp"
#include "lab/peers.hpp"
#include "lab/proc_figures.hpp"
#include "lab/process.hpp"

namespace brasslift::lab {

// Members of a hollow process, or one that is real; milliseconds.
struct LeaseGaps {
    int members = 0, without_now = 0, without_ever = 0;
    double longest_ms = 0;
    void add(const LeaseGaps& more);
};

class MemberFleet {
public:
    struct Plan {
        std::string program;  // the dispatcher; brasslift-hollow lies beside it or beside this program
        int members = 5, voters = 5;
        std::uint64_t seed = 1;
    };
    static constexpr int zones = 5, dispatchers = 3, hollow_processes = 10, lists = 8;

    explicit MemberFleet(const Plan& plan);
    ~MemberFleet();
    MemberFleet(const MemberFleet&) = delete;
    MemberFleet& operator=(const MemberFleet&) = delete;

    // Real ones come first, the voters before the others.
    int real() const { return static_cast<int>(real_.size()); }
    int voters() const { return plan_.voters; }
    int groups() const { return static_cast<int>(groups_.size()); }
    int zone_of(int at) const { return at < voters() ? at % zones : (at - voters()) % zones; }
    int zone_of_group(int group) const { return group % zones; }
    bool real_runs(int at) { return one(at).process.running(); }
    bool group_runs(int group) { return of(group).process.running(); }
    pid_t id_of(int at) const { return real_[static_cast<std::size_t>(at)]->process.id(); }
    std::vector<pid_t> hollow_ids() const;
    std::string log_of(int at) const;

    // Forms the voters and starts all.
    void start_all();
    void start(int at);
    void kill(int at) { one(at).process.kill(); }
    // `down_since`: since when its members have had no lease.
    void start_group(int group, double down_since = 0);
    void kill_group(int group) { of(group).process.kill(); }
    // Nothing is said any more between these zones and the others; none: all hear each other again.
    void part(const std::set<int>& zones);

    void run_for(double ms);
    bool await(const std::function<bool()>& yes, double most_ms);
    // Whether everybody who runs has a lease now.
    bool all_leased();
    int leader();  // -1: none is known
    std::uint64_t term(int at);

    // An operators' call at a real one; status 0: nobody answered.
    http::Message call(int at, const std::string& method, const std::string& target,
                       const std::string& body = "", double patience_ms = 13000);
    // Rules that declare the lists, published at that one.
    http::Message publish(int at);
    // A change of each list at once, handed in at that one; how many came to be.
    int burst(int at);
    std::uint64_t agreed(int at);  // the latest version that this one knows; 0: none or nobody answers
    static std::uint64_t version_in(const http::Message& answer);

    // Looks at the real ones' leases and versions fifty times a second, or leaves them alone.
    void watch(bool on);
    // Leases count from here on; of all who run.
    void look_anew();
    LeaseGaps gaps();
    // When the last of these came to act on a version; 0: not all do.
    double active_at(std::uint64_t version, const std::set<int>& of_zones);
    // When that one was first seen to know a version as settled; 0: it was not.
    double settled_at(int at, std::uint64_t version) const;
    static std::set<int> all_zones();

private:
    struct One {
        std::string name, folder;
        std::uint16_t port = 0, admin = 0, member = 0;
        Process process;
        bool leased = false, without_ever = false;
        double without_since = 0, longest_ms = 0;
        std::map<std::uint64_t, double> active, settled;  // by version, when it was first seen
    };
    struct Group {
        std::string folder;
        std::vector<std::string> names;
        Process process;
        runtime::Address address;  // of what it tells; port 0: not known yet
        // What it told last.
        LeaseGaps gaps;
        std::map<std::uint64_t, std::pair<int, double>> active;
    };
    One& one(int at) { return *real_[static_cast<std::size_t>(at)]; }
    Group& of(int group) { return *groups_[static_cast<std::size_t>(group)]; }
    void write_files();
    std::string operators_file(int at) const;
    std::string config_of(const One& me) const;
    bool find_address(Group& group);
    bool ask_state(Group& group);
    http::Message call_address(runtime::Address to, const std::string& method, const std::string& target,
                               const std::string& body, double patience_ms);
    runtime::Task<void> ask(runtime::Address to, std::string request, double patience_ms,
                            std::shared_ptr<http::Message> into, std::shared_ptr<int> open);
    runtime::Task<void> watch_real(int at);
    void see(One& me, const std::string& figures);

    Plan plan_;
    std::string folder_, hollow_program_;
    runtime::Scheduler scheduler_;
    std::unique_ptr<Party> discovery_;
    std::vector<std::unique_ptr<One>> real_;
    std::vector<std::unique_ptr<Group>> groups_;
    std::vector<std::pair<std::string, std::uint16_t>> hollow_;  // names and ports
    std::map<std::pair<int, int>, std::unique_ptr<Link>> links_;
    bool watching_ = false;
    int published_ = 0, bursts_ = 0;
};

}  // namespace brasslift::lab
