// A soak: a few dozen real dispatchers, each alone, with endpoints, clients and discovery of this rig's own
// on loopback, under random faults that overlap, by a seed: endpoints that hang, reset, refuse, tell waits
// and spoil answers or answer twice; kills, restarts, stops and reloads; drains; discovery that is silent;
// system calls that fail, disks that are full, steps of the wall clock and holds (fault_shim). SoakAccount
// judges. One thread. Errors: throws std::runtime_error where the rig itself cannot work; what dispatchers do
// wrong is in the end.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/fault_board.hpp"
#include "lab/peers.hpp"
#include "lab/process.hpp"
#include "lab/soak_account.hpp"
#include "lab/soak_client.hpp"
#include "lab/soak_endpoint.hpp"

namespace brasslift::lab {

struct SoakPlan {
    std::string program, shim;  // the dispatcher, and the shared library of faults; empty: no such faults
    std::uint64_t seed = 1;
    int dispatchers = 24, destinations = 6;
    double faults_ms = 8000;      // faults come for so long, then all is healed
    double settle_ms = 14000;     // at most, until every message has its end
    double fault_every_ms = 120;  // in the mean
    double client_every_ms = 60;  // of each dispatcher, in the mean
    double deadline_ms = 6000;    // of the longest-lived messages
    SoakTerms terms;
    std::string only;    // the one kind of fault that comes; empty: all
    bool crowd = false;  // idle clients hold all connections of some dispatchers
    bool keep_folder = false;
};

struct SoakEnd {
    std::vector<std::string> broken;
    SoakAccount::Figures figures;
    std::map<std::string, int> faults;   // by kind
    std::size_t violations_counted = 0;  // that dispatchers counted themselves
    // Told to stop and still running 3.7 s later, when half of them are killed.
    std::size_t killed_at_the_limit = 0;
    std::string folder;
};

class Soak {
public:
    explicit Soak(const SoakPlan& plan);
    ~Soak();
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;
    SoakEnd play();

private:
    struct One;  // a dispatcher with its folder, board and agents of discovery
    struct Entry {
        std::uint32_t rev;
        int endpoint;
        std::string state;
    };
    using Act = void (Soak::*)();
    struct Kind {
        const char* name;
        int weight;
        Act act;
    };
    static const std::vector<Kind>& kinds();

    void write_config(One& one);
    void start(One& one);
    runtime::Task<void> await_ready(One& one);
    runtime::Task<void> client(One& one);
    runtime::Task<void> resting_client(One& one);
    runtime::Task<void> crowd_of(One& one);
    runtime::Task<void> hand_in(One& one, SoakClient& client, const char* keys, double pause_ms);
    runtime::Task<void> hand_in_message(One& one, SoakClient& client, SoakAccount::Message message,
                                        double pause_ms);
    SoakAccount::Message next_message(const One& one, const char* keys);
    static std::string request_of(const SoakAccount::Message& message);
    bool welcomes(One& one);
    runtime::Task<void> kill_and_start(One& one);
    runtime::Task<void> term_and_start(One& one);
    runtime::Task<void> stop_for(One& one, double ms);
    runtime::Task<void> after(double ms, std::function<void()> act);
    runtime::Task<void> watch_processes();
    Party::Reply discovery(One& one, const http::Message& request);
    void list(int endpoint, const std::string& state);
    std::string entry_of(const Entry& entry) const;
    std::uint64_t violations_of(One& one);
    void report_log_of(const One& one, const std::string& rule);
    void heal();

    void trouble_an_endpoint();
    void kill_one();
    void term_one();
    void stop_one();
    void reload_one();
    void drain_one();
    void silence_discovery();
    void delay_notices();
    void double_answers();
    void double_notices();
    void fail_a_disk();
    void fail_connections();
    void fail_streams();
    void step_a_clock();
    void hold_one();

    One& any();
    double between(double low, double high);
    double now() const { return runtime::steady_now() - begun_; }

    SoakPlan plan_;
    std::mt19937_64 random_;
    std::string folder_;
    runtime::Scheduler scheduler_;
    double begun_ = 0;
    SoakAccount account_;
    std::deque<SoakEndpoint> endpoints_;
    std::vector<Entry> entries_;  // of the list, in the order of versions
    std::uint32_t rev_ = 1;
    std::vector<std::unique_ptr<One>> all_;
    SoakEnd end_;
    bool clients_on_ = true, ending_ = false;
    int busy_destination_ = 0;  // that all messages go to until busy_until_
    double busy_until_ = 0;
    int next_message_ = 0;
    int handing_in_ = 0;  // requests that have not ended for their clients
};

}  // namespace brasslift::lab
