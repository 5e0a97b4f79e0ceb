// The hollow world round one real dispatcher of a scale run: discovery with as many hosts as asked, endpoints
// for the few that are busy, clients, and a prober. Discovery and endpoints, clients and the prober run in a
// process each, so that none of them waits for another; what they see is on a board in shared memory. Times
// are milliseconds of the steady clock, which all processes share. Errors: throws std::runtime_error where
// the world itself cannot work; what the dispatcher does not do is on the board.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "lab/child.hpp"
#include "lab/process.hpp"
#include "lab/scale.hpp"
#include "lab/site.hpp"

namespace brasslift::lab {

// Destinations that a hollow list numbers, from 1 on; each further host is a second one of such a
// destination.
// Each host is its own destination. Programs of before the 32 bits leave out what is beyond 65,535.
constexpr std::uint32_t listed_numbers = 1'000'000;

struct WorldPlan {
    std::uint64_t seed = 1;     // of the clients' times
    std::string program;        // the dispatcher
    std::uint32_t hosts = 100;  // known by the list
    std::uint32_t busy = 200;   // destinations that messages go to, as far as there are hosts
    std::uint32_t numbers = listed_numbers;
    double away_share = 0.048;  // of the hosts, not ready
    int capacity_hint = 50;     // calls a second, of each host
    double answer_ms = 5;       // an endpoint takes so long
    bool is_down = false;       // nobody listens where the busy hosts are
    bool is_draining = false;   // the busy hosts are listed as draining
    double deadline_ms = 8000;  // of each message
    int body_bytes = 0;         // of each message, beside its id
    Site site;                  // bounds of the dispatcher; its discovery and hosts are set here
};

// The list as a rule: what host i is, without keeping it. One address is one host.
class HollowList {
public:
    explicit HollowList(const WorldPlan& plan);
    std::uint32_t size() const { return hosts_; }
    int destination_of(std::uint32_t host) const { return static_cast<int>(1 + host % numbers_); }
    bool is_busy(std::uint32_t host) const { return busy_[host % numbers_]; }
    bool is_away(std::uint32_t host) const;  // at the start
    // Those that are busy; the last host's is the last one.
    const std::vector<int>& busy_destinations() const { return busy_destinations_; }
    std::vector<std::uint32_t> busy_hosts() const;
    // In the network's order; apart from that of other runs beside this one.
    std::uint32_t address_of(std::uint32_t host) const;
    std::string entry(std::uint32_t host, const char* state, std::uint16_t port) const;

private:
    bool drawn_away(std::uint32_t host) const;
    std::uint32_t hosts_, numbers_;
    double away_share_;
    int capacity_hint_;
    std::uint32_t first_address_;
    std::vector<bool> busy_;  // by number
    std::vector<int> busy_destinations_;
};

// What the processes of the world tell each other.
struct Board {
    // Told to them.
    std::atomic<double> changes_per_second{0}, messages_per_second{0};
    std::atomic<bool> probing{false};
    // By discovery and the endpoints.
    std::atomic<std::uint16_t> discovery_port{0}, endpoint_port{0};
    std::atomic<std::uint32_t> lists{0}, whole_lists{0};  // that were begun, and written to their end
    std::atomic<std::uint64_t> changes{0}, outcomes{0};
    Tape delivery_ms;  // from hand-in to the first call for a message
    // By the clients.
    std::atomic<std::uint64_t> sent{0}, taken{0}, turned_away{0}, in_time{0}, unanswered{0};
    Tape answer_ms;  // of each 202
    // By the prober.
    Tape probe_ms;
};

class World {
public:
    explicit World(const WorldPlan& plan);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    Board& board() { return *board_; }
    const HollowList& list() const { return list_; }
    Process& dispatcher() { return dispatcher_; }
    const std::string& folder() const { return folder_; }
    void start();  // the dispatcher, anew on the same folder where it ran before
    // From its start to a 200 at /up, ms; below 0: not within that time.
    double await_up(double most_ms);
    // From its start to the first 202 for the last host of the list; below 0: not within that time.
    double await_listed(double most_ms);
    // Until its processor time and memory have been still for 600 ms.
    void await_settled(double most_ms);
    double cpu_ms() { return cpu_ms_of(dispatcher_.id()); }
    double disk_bytes() const;  // of its folder
    std::string log() const;    // the last line
    // Messages that it has taken on and not ended, as its operators' address says; below 0: nobody answered.
    double held();
    // Messages that it said it owed as it came up last; below 0: it has not said within 2 s.
    double owed_at_start() const;

private:
    http::Message ask(std::uint16_t port, const std::string& request, double patience_ms);

    WorldPlan plan_;
    HollowList list_;
    std::string folder_;
    std::uint32_t host_ = 0;
    std::uint16_t port_ = 0, admin_ = 0;
    int starts_ = 0;
    Shared<Board> board_;
    std::vector<std::unique_ptr<Child>> children_;
    Process dispatcher_;
    double started_ = 0;
};

// Processor time over a span in which the world does what its board says, ms a second.
double cpu_rate(World& world, double ms);
// Hands in so many a second, first for the warm-up and then for the span, and no more behind it. What came of
// the span's: shares, latencies, and processor time of each beside `idle` (ms a second).
void measure_messages(World& world, double rate, double warm_up_ms, double ms, double idle, Point& point);

// Waits in this process.
void pause_ms(double ms);

// Throws where some size would take more memory than the room has, and says which would fit. A room without
// memory is not looked at. `fixed`: bytes of a run of size 0.
void refuse_what_does_not_fit(const std::string& axis, const std::vector<double>& sizes, double fixed,
                              double bytes_each, const Room& room);

}  // namespace brasslift::lab
