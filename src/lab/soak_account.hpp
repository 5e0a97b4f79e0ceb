// The judge of a soak: what its clients, endpoints and discovery saw of each message, and which of the
// platform's rules that breaks. It knows nothing of the dispatcher's own state. No I/O: times are
// milliseconds, given by the caller. Errors: none.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace brasslift::lab {

// How a class may be repeated, as its settings say.
enum class SoakRepeat : std::uint8_t { safe, keyed, never };

struct SoakTerms {
    double slack_ms = 50;          // of every time limit
    double late_ms = 300;          // from a message's time to its loss
    double turn_gap_ms = 100;      // that a key rests
    double window_ms = 5000;       // for repeats of a keyed message
    double drain_grace_ms = 2000;  // after a dispatcher was notified
    double wait_grace_ms = 100;    // calls on their way to a host that has asked for a wait
    double scheduling_ms = 100;    // that the judge itself may be late, on a busy machine
};

class SoakAccount {
public:
    explicit SoakAccount(SoakTerms terms) : terms_(terms) {}

    struct Message {
        std::string id, dispatcher, message_class;
        std::string key;  // of a class that keeps order; empty: none
        int destination = 0;
        SoakRepeat repeat = SoakRepeat::safe;
        double deadline_ms = 0;
    };
    void submitted(const Message& message, double now);
    // Its client's view: a status, or no answer. `gone`: the process was ended meanwhile, or the client left.
    void answered(const std::string& id, int status, double now);
    void unanswered(const std::string& id, bool excused, double now);
    // Its connection was reset over it: it was never read, and its client may send it again.
    void unread(const std::string& id, double now);
    void handed_in_again(const std::string& id, double now);

    // An endpoint's view. A call is out until its answer was written or its connection ended; it returns the
    // call's number for the end.
    std::size_t called(const std::string& id, const std::string& endpoint, double now);
    enum class CallEnd : std::uint8_t { delivered, refused, failed, broken };
    // `wait_ms`: that the answer asked for.
    void call_ended(std::size_t call, CallEnd how, double wait_ms, double now);
    // Discovery's view: a notice that came, which ends its message, and that it was answered, which lets its
    // key go.
    void notice_came(const std::string& id, const std::string& status, double now);
    void notice_answered(const std::string& id, const std::string& status, double now);
    // A dispatcher was notified that an endpoint leaves.
    void notified_leaving(const std::string& dispatcher, const std::string& endpoint, double now);
    // From then on nothing is overdue until 1.5 s after it is ready again; waits are forgotten.
    void restarts(const std::string& dispatcher, double now);
    void ready(const std::string& dispatcher, double now);
    void broke(const std::string& rule, double now);  // that the rig itself saw
    void note(const std::string& what, double now);

    // Looks for messages whose time is up; called now and then, and at the end.
    void look(double now);
    std::size_t open() const;  // taken on and not over
    struct Figures {
        std::size_t submitted = 0, taken = 0, refused = 0, unanswered = 0, unread = 0, calls = 0,
                    delivered = 0, notices = 0, ordered_calls = 0;
    };
    const Figures& figures() const { return figures_; }
    // Each broken rule with the history of its message.
    const std::vector<std::string>& broken() const { return broken_; }

private:
    struct Kept : Message {
        double handed_at = 0, taken_at = 0, due = 0, first_risky = -1;
        bool taken = false, excused = false, over = false, delivered = false, lost = false, unread = false;
        int out = 0, calls = 0;
        std::string notice;
        std::vector<std::string> history;
    };
    struct Call {
        std::string id, endpoint;
        bool over = false;
    };
    struct Dispatcher {
        bool down = false;
        double excused_until = 0;
        std::map<std::string, double> leaving;                   // endpoints, since when it was notified
        std::map<std::string, std::pair<double, double>> waits;  // by endpoint: since, until
    };
    struct KeyState {
        std::vector<std::string> line;  // ids in the order of hand-in
        double rest_until = 0;
    };
    void say(Kept& message, const std::string& what, double now);
    void broke(Kept& message, const std::string& rule, double now);
    void check_order(Kept& message, double now);
    void check_repeat(Kept& message, double now);
    void check_host(Kept& message, const std::string& endpoint, double now);
    KeyState& key_of(const Message& message) { return keys_[message.dispatcher + '/' + message.key]; }

    SoakTerms terms_;
    std::map<std::string, Kept> messages_;
    std::set<std::string> waiting_;  // taken on, and neither over nor lost
    std::vector<Call> calls_;
    std::map<std::string, Dispatcher> dispatchers_;
    std::map<std::string, KeyState> keys_;
    std::vector<std::string> notes_, broken_;
    Figures figures_;
};

}  // namespace brasslift::lab
