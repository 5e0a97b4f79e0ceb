// Messages' lives as spans and measurements: the core's observer. While the core works it only notes what it
// is told; spans are made of that later, when the calls have gone. It does no I/O; times are told, and become
// the wall clock's by one offset for each message, so that no span ends before it begins whatever the clock
// does.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "dispatch/observer.hpp"
#include "telemetry/meters.hpp"
#include "telemetry/queue.hpp"
#include "telemetry/sampling.hpp"

namespace brasslift::telemetry {

struct RecorderSettings {
    bool traces = true;
    double ratio = 1;
    KeepRule keep;
    std::size_t pending_bytes = 2 << 20;  // of messages of which it is not known yet whether they are kept
    double shortest_queue_ms = 10;        // a wait for its turn that is shorter has no span
};

class Recorder : public dispatch::Observer {
public:
    Recorder(Labels labels, const RecorderSettings& settings, std::uint64_t seed, Meters& meters,
             Queue& spans);

    void change(const RecorderSettings& settings);
    // Wall clock less steady clock, in milliseconds, for messages that begin from now on.
    void set_offset(double offset) { offset_ = offset; }
    // Makes spans of what was noted, so many notes at most; false: there are more.
    bool settle(std::size_t most = ~std::size_t{0});
    // Called when there is something to settle; it may settle later, not from within.
    void tell_to(std::function<void()> news) { news_ = std::move(news); }
    // Nothing is told any more; messages under way have no trace when it begins again.
    void forget();
    // The process ends: what is known of messages that are still owed is kept, for the next life goes on with
    // their traces.
    void interrupt(Time now);
    // Called for log lines about a message: its trace and span, and the text.
    using Say = std::function<void(const TraceId&, const SpanId&, const std::string& text)>;
    void say_to(Say say) { say_ = std::move(say); }

    void refused(Time now, const dispatch::Seen& seen, dispatch::Refusal by, std::string_view rule,
                 double pause_ms) override;
    std::string begins(Time now, MessageId id, const dispatch::Seen& seen) override;
    void taken(Time now, const dispatch::Owed& message) override;
    void abandoned(Time now, MessageId id, dispatch::Refusal why) override;
    void restored(Time now, const dispatch::Owed& message) override;
    dispatch::Trace sends(Time now, const dispatch::Owed& message, const plan::PoolRule* pool) override;
    void parked(Time now, MessageId id) override;
    void landed(Time now, const dispatch::Owed& message, const dispatch::Verdict& verdict) override;
    void sleeps(Time now, MessageId id, Time until, bool told) override;
    void ended(Time now, const dispatch::Owed& message, dispatch::Ending ending, double again_ms) override;

    std::size_t lives() const { return lives_.size(); }
    std::uint64_t dropped() const { return pending_.dropped(); }

private:
    struct Life {
        TraceId trace{};
        SpanId span{}, parent{};
        bool sampled = false;  // by the client or the ratio: what is told on
        bool chosen = false;   // its spans need not wait for its end
        bool kept = false;     // where it has ended
        bool ended = false, taken = false, parked = false, told = false;
        std::uint16_t message_class = 0;
        DestinationId destination = 0;
        std::string state;
        double offset = 0;
        Time came = 0;
        Time free_since = 0;  // since when it could be sent
        Time sleep_from = 0, sleep_until = 0;
        int out = 0;  // the attempt that is out; 0: none
        Time out_since = 0;
        std::string pool;
        std::vector<Link> links;
        std::vector<SpanEvent> events;
    };
    struct Facts {  // of a message, as they stand when something is told of it
        explicit Facts(const dispatch::Owed& m)
            : name(m.name),
              message_class(m.message_class),
              tenant(m.tenant),
              destination(m.destination),
              bytes(m.body->size()),
              attempts(m.attempts),
              may_have_run(m.may_have_run) {}
        std::string name;
        std::uint16_t message_class, tenant;
        DestinationId destination;
        std::size_t bytes;
        int attempts;
        bool may_have_run;
    };
    struct Stream {  // that was refused
        std::string name, rule;
        dispatch::Trace trace;
        std::uint16_t message_class, tenant;
        DestinationId destination;
        std::size_t bytes;
        Time came;
        bool again;
        std::size_t by_key, by_print;
        dispatch::Refusal by;
        double pause_ms;
    };
    struct Earlier {  // of a message that was handed in of late
        TraceId trace{};
        SpanId span{};
        MessageId id = 0;  // 0: it was refused
    };

    static std::uint64_t wall(const Life& life, Time at);
    static SpanId attempt_id(const SpanId& message, int attempt);
    Life fresh(Time now, const dispatch::Trace& client);
    template <class Note>
    void later(Note note) {
        notes_.emplace_back(std::move(note));
        if (notes_.size() == 1 && news_) news_();
    }
    void note_refused(Time now, const Stream& stream);
    void note_sent(Time now, MessageId id, const Facts& facts, const std::string& pool);
    void note_landed(Time now, MessageId id, DestinationId destination, const dispatch::Verdict& verdict);
    void note_ended(Time now, MessageId id, const Facts& facts, dispatch::Ending ending, double again_ms);
    void note_abandoned(Time now, MessageId id, dispatch::Refusal why);
    void link(Life& life, std::size_t by_key, std::size_t by_print, bool again, MessageId id);
    void remember(std::uint64_t mark, const Earlier& earlier);
    Span child(const Life& life, std::string_view name, Time from, Time to);
    void emit(Time now, MessageId id, const Life& life, const Span& span);
    void rest(Time now, MessageId id, Life& life);
    void close(Time now, MessageId id, Life& life, Span root, const Ended& how);
    void forget_if_over(MessageId id);
    const std::string& address_of(const runtime::Address& address);
    void describe(Span& span, std::string_view name, std::uint16_t message_class, std::uint16_t tenant,
                  DestinationId destination, std::size_t bytes) const;

    Labels labels_;
    RecorderSettings settings_;
    Ids ids_;
    Meters& meters_;
    Queue& spans_;
    Pending pending_;
    double offset_ = 0;
    std::unordered_map<MessageId, Life> lives_;
    std::unordered_map<std::uint64_t, Earlier> earlier_;
    std::deque<std::uint64_t> order_;  // of the earlier ones
    std::map<runtime::Address, std::string> addresses_;
    Say say_;
    std::deque<std::function<void()>> notes_;
    std::function<void()> news_;
};

}  // namespace brasslift::telemetry
