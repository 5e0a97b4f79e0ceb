// What the rig's own parties saw, and which rules that breaks. No I/O: times are milliseconds and told.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace brasslift::lab {

class Account {
public:
    // A client's request, and its answer. `payment`: it may never be sent twice where it may have run.
    void handed_in(const std::string& id, const std::string& at, bool payment, double now);
    void answered(const std::string& id, int status, double now);
    // A partner's call, and how it ended there: 0, its connection was gone.
    void called(const std::string& id, double now);
    void call_ended(const std::string& id, int status, double now);
    void told(const std::string& id, const std::string& ending, double now);
    // A dispatcher's answer by a version of the rules, to a request that went out at `sent`.
    void acted(const std::string& dispatcher, std::uint64_t version, double sent, double now);
    void turned_away(const std::string& dispatcher, double now);
    void note(const std::string& what, double now);

    // Messages that were taken on and have no end yet.
    std::size_t open() const;
    // From each message's hand-in to its first call at a partner, ms.
    const std::vector<double>& delivery_ms() const { return delivery_ms_; }
    std::size_t calls() const { return calls_; }
    std::size_t delivered() const;
    std::size_t taken() const { return taken_; }
    std::size_t turned_away() const { return turned_away_; }
    std::size_t acts() const { return acts_.size(); }
    std::uint64_t newest() const;  // version that anybody acted on

    // The longest time for which two dispatchers surely acted on different versions, in ms: an act lies
    // between its request and its answer, so this is never more than what was.
    double longest_contradiction(std::string* how = nullptr) const;
    // Each broken rule with the message's whole history; `contradiction_ms`: the stated time.
    std::vector<std::string> broken(double contradiction_ms) const;

private:
    struct Message {
        std::string dispatcher;
        bool payment = false;
        double handed_at = 0;
        int status = 0, calls = 0, done = 0, unknown = 0;
        std::set<std::string> endings;
        std::vector<std::string> history;
        bool over() const { return done > 0 || !endings.empty(); }
    };
    struct Act {
        std::string dispatcher;
        std::uint64_t version = 0;
        double sent = 0, now = 0;
    };
    void say(Message& message, const std::string& what, double now);
    std::map<std::string, Message> messages_;
    std::vector<Act> acts_;
    std::vector<std::string> notes_;
    std::vector<double> delivery_ms_;
    std::size_t taken_ = 0, turned_away_ = 0, calls_ = 0;
};

}  // namespace brasslift::lab
