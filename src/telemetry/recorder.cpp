#include "telemetry/recorder.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

#include "dispatch/names.hpp"

namespace brasslift::telemetry {
namespace {

using dispatch::Ending;
using dispatch::Progress;
using dispatch::Refusal;

constexpr std::size_t most_earlier = 8192, most_addresses = 16384, most_links = 32;

using dispatch::name_of;

std::string text(std::string_view view) { return std::string(view); }

// The mark in the journal: the message's own context, its parent, when it came, and the state that is passed
// on.
std::string write_mark(const TraceId& trace, const SpanId& span, bool sampled, const SpanId& parent,
                       std::uint64_t came, const std::string& state) {
    return write_traceparent({trace, span, sampled, {}}) + ' ' + hex_of(parent) + ' ' + std::to_string(came) +
           ' ' + state;
}

struct Mark {
    Context own;
    SpanId parent{};
    std::uint64_t came = 0;
};

std::optional<Mark> read_mark(std::string_view mark) {
    const auto word = [&] {
        const auto space = mark.find(' ');
        const auto found = mark.substr(0, space);
        mark = space == std::string_view::npos ? std::string_view() : mark.substr(space + 1);
        return found;
    };
    const auto own = read_traceparent(word());
    if (!own) return std::nullopt;
    Mark read{*own, {}, 0};
    // As the parent of some context, so that one reader knows hexadecimal.
    const auto parent = read_traceparent("00-" + std::string(31, '0') + "1-" + text(word()) + "-00");
    if (parent) read.parent = parent->span;
    const auto came = word();
    std::from_chars(came.data(), came.data() + came.size(), read.came);
    read.own.state = read_tracestate(mark);
    return read;
}

}  // namespace

Recorder::Recorder(Labels labels, const RecorderSettings& settings, std::uint64_t seed, Meters& meters,
                   Queue& spans)
    : labels_(std::move(labels)),
      settings_(settings),
      ids_(seed),
      meters_(meters),
      spans_(spans),
      pending_(settings.pending_bytes) {}

void Recorder::change(const RecorderSettings& settings) {
    settle();
    settings_ = settings;
    pending_.limit(settings.pending_bytes);
}

std::uint64_t Recorder::wall(const Life& life, Time at) {
    return static_cast<std::uint64_t>(std::max(0.0, std::round((at + life.offset) * 1e3))) * 1000;
}

// Derived, not drawn: after a restart the attempt that was out has the id that its host was told.
SpanId Recorder::attempt_id(const SpanId& message, int attempt) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, message.data(), sizeof bits);
    bits += static_cast<std::uint64_t>(attempt) * 0x9e3779b97f4a7c15U;
    bits = (bits ^ bits >> 30) * 0xbf58476d1ce4e5b9U;
    bits = (bits ^ bits >> 27) * 0x94d049bb133111ebU;
    bits ^= bits >> 31;
    SpanId id{};
    if (bits == 0) bits = 1;
    std::memcpy(id.data(), &bits, sizeof bits);
    return id;
}

Recorder::Life Recorder::fresh(Time now, const dispatch::Trace& client) {
    Life life;
    const auto parent = read_traceparent(client.parent);
    life.trace = parent ? parent->trace : ids_.trace();
    if (parent) {
        life.parent = parent->span;
        life.state = read_tracestate(client.state);
    }
    life.span = ids_.span();
    life.sampled = sampled(parent, life.trace, settings_.ratio);
    life.chosen = life.sampled;
    life.offset = offset_;
    life.came = life.free_since = now;
    return life;
}

void Recorder::remember(std::uint64_t mark, const Earlier& earlier) {
    if (mark == 0) return;
    if (!earlier_.insert_or_assign(mark, earlier).second) return;
    order_.push_back(mark);
    if (order_.size() <= most_earlier) return;
    earlier_.erase(order_.front());
    order_.pop_front();
}

// A message that was handed in before, under the same key or, as its client says, refused: both are linked,
// the earlier one as long as it has not ended.
void Recorder::link(Life& life, std::size_t by_key, std::size_t by_print, bool again, MessageId id) {
    const auto join = [&](std::uint64_t mark, const char* by) {
        const auto found = mark == 0 ? earlier_.end() : earlier_.find(mark);
        if (found == earlier_.end() || found->second.span == life.span) return false;
        const auto& earlier = found->second;
        life.links.push_back(
            {earlier.trace,
             earlier.span,
             {{"brasslift.link", std::string("handed in before")}, {"brasslift.link.by", std::string(by)}}});
        const auto other = lives_.find(earlier.id);
        if (other != lives_.end() && !other->second.ended && other->second.links.size() < most_links)
            other->second.links.push_back({life.trace,
                                           life.span,
                                           {{"brasslift.link", std::string("handed in again")},
                                            {"brasslift.link.by", std::string(by)}}});
        return true;
    };
    const bool joined = join(by_key, "key");
    if (!joined && again) join(by_print, "content");
    const Earlier self{life.trace, life.span, id};
    remember(by_key, self);
    if (id == 0) remember(by_print, self);  // one that was taken on does not come again as refused
}

Span Recorder::child(const Life& life, std::string_view name, Time from, Time to) {
    Span span;
    span.trace = life.trace;
    span.id = ids_.span();
    span.parent = life.span;
    span.state = life.state;
    span.name = name;
    span.start = wall(life, from);
    span.end = wall(life, std::max(from, to));
    return span;
}

void Recorder::emit(Time now, MessageId id, const Life& life, const Span& span) {
    if (!settings_.traces) return;
    if (life.chosen || (life.ended && life.kept))
        spans_.put(now, encode_item(span), life.chosen);
    else if (!life.ended)
        pending_.add(id, encode_item(span));
}

const std::string& Recorder::address_of(const runtime::Address& address) {
    if (addresses_.size() > most_addresses) addresses_.clear();
    auto& known = addresses_[address];
    if (known.empty()) known = runtime::to_text(address);
    return known;
}

void Recorder::describe(Span& span, std::string_view name, std::uint16_t message_class, std::uint16_t tenant,
                        DestinationId destination, std::size_t bytes) const {
    span.attributes.reserve(12);
    span.attributes.push_back({"messaging.system", std::string("brasslift")});
    span.attributes.push_back({"messaging.message.id", text(name)});
    span.attributes.push_back({"messaging.destination.name", std::to_string(destination)});
    span.attributes.push_back({"messaging.message.body.size", static_cast<std::int64_t>(bytes)});
    span.attributes.push_back({"brasslift.class", labels_.class_of(message_class)});
    span.attributes.push_back({"brasslift.tenant", labels_.tenant_of(tenant)});
}

void Recorder::refused(Time now, const dispatch::Seen& seen, Refusal by, std::string_view rule,
                       double pause_ms) {
    later([this, now,
           stream = Stream{text(seen.name), text(rule), seen.trace, seen.message_class, seen.tenant,
                           seen.destination, seen.bytes, seen.came, seen.again, seen.by_key, seen.by_print,
                           by, pause_ms}] { note_refused(now, stream); });
}

void Recorder::note_refused(Time now, const Stream& seen) {
    const auto by = seen.by;
    const auto& rule = seen.rule;
    meters_.refused(seen.message_class, name_of(by));
    if (!settings_.traces) return;
    auto life = fresh(seen.came, seen.trace);
    link(life, seen.by_key, seen.by_print, seen.again, 0);
    if (!life.sampled) return;
    Span span = child(life, "refuse", seen.came, now);
    span.id = life.span;
    span.parent = life.parent;
    span.kind = SpanKind::consumer;
    span.links = std::move(life.links);
    span.status = Status::error;
    span.message = name_of(by);
    describe(span, seen.name, seen.message_class, seen.tenant, seen.destination, seen.bytes);
    span.attributes.push_back({"messaging.operation.name", std::string("refuse")});
    span.attributes.push_back({"brasslift.reason", text(name_of(by))});
    span.attributes.push_back({"error.type", text(name_of(by))});
    if (!rule.empty()) span.attributes.push_back({"brasslift.rule", rule});
    if (seen.pause_ms > 0)
        span.attributes.push_back(
            {"brasslift.pause_ms", static_cast<std::int64_t>(std::ceil(seen.pause_ms))});
    spans_.put(now, encode_item(span), true);
}

std::string Recorder::begins(Time now, MessageId id, const dispatch::Seen& seen) {
    auto life = fresh(std::min(seen.came, now), seen.trace);
    life.message_class = seen.message_class;
    life.destination = seen.destination;
    if (settings_.traces)
        later([this, id, chosen = life.chosen, by_key = seen.by_key, by_print = seen.by_print,
               again = seen.again] {
            const auto found = lives_.find(id);
            if (found == lives_.end()) return;
            link(found->second, by_key, by_print, again, id);
            if (!chosen) pending_.open(id, false);
        });
    auto mark =
        write_mark(life.trace, life.span, life.sampled, life.parent, wall(life, life.came), life.state);
    lives_.insert_or_assign(id, std::move(life));
    return settings_.traces ? mark : std::string();
}

void Recorder::taken(Time, const dispatch::Owed& m) {
    later([this, id = m.id, message_class = m.message_class, tenant = m.tenant] {
        meters_.taken(message_class, tenant);
        if (const auto found = lives_.find(id); found != lives_.end()) found->second.taken = true;
    });
}

void Recorder::restored(Time now, const dispatch::Owed& m) {
    settle();
    const auto mark = read_mark(m.mark);
    auto life = fresh(now, {});
    if (mark) {
        life.trace = mark->own.trace;
        life.span = mark->own.span;
        life.parent = mark->parent;
        life.sampled = mark->own.sampled;
        life.state = mark->own.state;
        // A clock that was set back between the two lives must not turn the span round.
        life.came = std::min(now, static_cast<double>(mark->came) / 1e6 - life.offset);
    }
    life.taken = true;
    life.message_class = m.message_class;
    life.destination = m.destination;
    life.chosen = true;  // what an interruption meant for a message is worth keeping
    life.events.push_back(
        {wall(life, now),
         "restart",
         {{"brasslift.attempts", std::int64_t{m.attempts}}, {"brasslift.may_have_run", m.may_have_run}}});
    auto& kept = lives_.insert_or_assign(m.id, std::move(life)).first->second;
    if (!m.cut) return;
    Span span = child(kept, "attempt", std::min(now, m.sent_wall - kept.offset), now);
    span.id = attempt_id(kept.span, m.attempts);
    span.kind = SpanKind::client;
    span.status = Status::error;
    span.message = "the process ended while the attempt was out";
    span.attributes = {{"brasslift.attempt", std::int64_t{m.attempts}},
                       {"brasslift.result", std::string("interrupted")},
                       {"brasslift.may_have_run", true},
                       {"error.type", std::string("interrupted")},
                       {"messaging.destination.name", std::to_string(m.destination)}};
    span.events.push_back({span.end, "restart", {}});
    emit(now, m.id, kept, span);
}

// What a message did since it could last have been sent: a sleep, then the wait for its turn.
void Recorder::rest(Time now, MessageId id, Life& life) {
    if (life.sleep_until > life.sleep_from) {
        const auto woke = std::min(now, life.sleep_until);
        emit(now, id, life, child(life, life.told ? "told wait" : "back-off", life.sleep_from, woke));
        life.free_since = woke;
        life.sleep_until = life.sleep_from = 0;
    }
}

dispatch::Trace Recorder::sends(Time now, const dispatch::Owed& m, const plan::PoolRule* pool) {
    const auto found = lives_.find(m.id);
    if (found == lives_.end()) return {};
    later([this, now, id = m.id, facts = Facts(m), name = pool == nullptr ? std::string() : pool->name] {
        note_sent(now, id, facts, name);
    });
    if (!settings_.traces) return {};
    const auto& life = found->second;
    return {write_traceparent({life.trace, attempt_id(life.span, m.attempts), life.sampled, {}}), life.state};
}

void Recorder::note_sent(Time now, MessageId id, const Facts& m, const std::string& pool) {
    const auto found = lives_.find(id);
    if (found == lives_.end()) return;
    auto& life = found->second;
    rest(now, id, life);
    const double queued = std::max(0.0, now - life.free_since);
    meters_.queued(m.destination, queued);
    if (m.attempts > 1) meters_.retried(m.destination);
    if (queued >= settings_.shortest_queue_ms) {
        Span span = child(life, "queue", life.free_since, now);
        if (life.parked) span.attributes.push_back({"brasslift.reason", std::string("pool cap")});
        emit(now, id, life, span);
    }
    life.parked = false;
    life.out = m.attempts;
    life.out_since = now;
    life.pool = pool;
}

void Recorder::parked(Time, MessageId id) {
    later([this, id] {
        if (const auto found = lives_.find(id); found != lives_.end()) found->second.parked = true;
    });
}

void Recorder::landed(Time now, const dispatch::Owed& m, const dispatch::Verdict& v) {
    later([this, now, id = m.id, destination = m.destination, v] { note_landed(now, id, destination, v); });
}

void Recorder::note_landed(Time now, MessageId id, DestinationId destination, const dispatch::Verdict& v) {
    const auto found = lives_.find(id);
    const int attempt = v.attempt + 1;  // the core counts those made before
    if (found == lives_.end() || found->second.out != attempt) return;
    auto& life = found->second;
    const auto& address = address_of(v.address);
    // What did not leave this process is no attempt: the next one has its number, and its span's id.
    if (!v.unsent)
        meters_.attempt(std::uint64_t{v.address.host} << 16 | v.address.port, address, name_of(v.result),
                        now - life.out_since);
    if (v.wait_ms > 0) meters_.told_wait(destination, v.wait_ms);
    if (settings_.traces && !v.unsent) {
        Span span = child(life, "attempt", life.out_since, now);
        span.id = attempt_id(life.span, attempt);
        span.kind = SpanKind::client;
        span.attributes.reserve(12);
        span.attributes.push_back({"brasslift.attempt", std::int64_t{attempt}});
        span.attributes.push_back({"brasslift.result", text(name_of(v.result))});
        span.attributes.push_back({"brasslift.progress", text(name_of(v.progress))});
        span.attributes.push_back({"messaging.destination.name", std::to_string(destination)});
        if (v.address.port != 0) {
            const auto colon = address.rfind(':');
            span.attributes.push_back({"server.address", address.substr(0, colon)});
            span.attributes.push_back({"server.port", std::int64_t{ntohs(v.address.port)}});
        }
        if (v.progress >= Progress::partly_written)
            span.attributes.push_back({"http.request.method", std::string("POST")});
        if (v.status != 0) span.attributes.push_back({"http.response.status_code", std::int64_t{v.status}});
        if (attempt > 1) span.attributes.push_back({"http.request.resend_count", std::int64_t{attempt - 1}});
        if (v.together > 1)
            span.attributes.push_back(
                {"messaging.batch.message_count", static_cast<std::int64_t>(v.together)});
        if (v.wait_ms > 0)
            span.attributes.push_back({"brasslift.told_wait_ms", static_cast<std::int64_t>(v.wait_ms)});
        if (!life.pool.empty()) span.attributes.push_back({"brasslift.pool", life.pool});
        if (v.result != Result::ok) {
            span.status = Status::error;
            span.attributes.push_back({"error.type", text(name_of(v.result))});
        }
        emit(now, id, life, span);
    }
    life.out = 0;
    life.free_since = now;
    forget_if_over(id);
}

void Recorder::sleeps(Time now, MessageId id, Time until, bool told) {
    if (until <= now) return;
    later([this, now, id, until, told] {
        const auto found = lives_.find(id);
        if (found == lives_.end() || found->second.ended) return;
        auto& life = found->second;
        life.sleep_from = now;
        life.sleep_until = until;
        life.told = told;
    });
}

void Recorder::ended(Time now, const dispatch::Owed& m, Ending ending, double again_ms) {
    later([this, now, id = m.id, facts = Facts(m), ending, again_ms] {
        note_ended(now, id, facts, ending, again_ms);
    });
}

void Recorder::note_ended(Time now, MessageId id, const Facts& m, Ending ending, double again_ms) {
    const auto found = lives_.find(id);
    if (found == lives_.end() || found->second.ended) return;
    auto& life = found->second;
    meters_.ended(m.message_class, m.destination, name_of(ending), now - life.came);
    if (settings_.traces) {
        if (life.out == 0) rest(now, id, life);
        const Ended how{ending == Ending::failed, ending == Ending::deferred, m.attempts, now - life.came};
        Span span = child(life, "deliver", life.came, now);
        describe(span, m.name, m.message_class, m.tenant, m.destination, m.bytes);
        span.attributes.push_back({"messaging.operation.name", std::string("deliver")});
        span.attributes.push_back({"brasslift.outcome", text(name_of(ending))});
        span.attributes.push_back({"brasslift.attempts", std::int64_t{m.attempts}});
        if (ending != Ending::done) {
            span.status = Status::error;
            span.message = name_of(ending);
            span.attributes.push_back({"brasslift.may_have_run", m.may_have_run});
            span.attributes.push_back({"error.type", text(name_of(ending))});
            if (again_ms > 0)
                span.attributes.push_back({"brasslift.again_ms", static_cast<std::int64_t>(again_ms)});
        }
        close(now, id, life, std::move(span), how);
    } else {
        pending_.close(id, {}, {});  // a reload may have switched traces off in between
    }
    if (ending != Ending::done && say_)
        say_(life.trace, life.span,
             m.name + " to " + std::to_string(m.destination) + " ended " + text(name_of(ending)) + " after " +
                 std::to_string(m.attempts) + " attempts");
    life.ended = true;
    forget_if_over(id);
}

void Recorder::abandoned(Time now, MessageId id, Refusal why) {
    later([this, now, id, why] { note_abandoned(now, id, why); });
}

void Recorder::note_abandoned(Time now, MessageId id, Refusal why) {
    const auto found = lives_.find(id);
    if (found == lives_.end() || found->second.ended) return;
    auto& life = found->second;
    if (settings_.traces) {
        Span span = child(life, "deliver", life.came, now);
        span.status = Status::error;
        span.message = name_of(why);
        span.attributes = {{"brasslift.outcome", std::string("abandoned")},
                           {"brasslift.reason", text(name_of(why))},
                           {"error.type", text(name_of(why))}};
        close(now, id, life, std::move(span), {});
    } else {
        pending_.close(id, {}, {});
    }
    if (life.taken)
        meters_.ended(life.message_class, life.destination, "withdrawn", now - life.came);
    else
        meters_.refused(life.message_class, name_of(why));
    life.ended = true;
    forget_if_over(id);
}

void Recorder::close(Time now, MessageId id, Life& life, Span root, const Ended& how) {
    root.id = life.span;
    root.parent = life.parent;
    root.kind = SpanKind::consumer;
    root.links = std::move(life.links);
    root.events = std::move(life.events);
    if (life.chosen) return spans_.put(now, encode_item(root), true);
    auto spans = pending_.close(id, how, settings_.keep);
    life.kept = spans.has_value();
    if (!spans) return;
    for (auto& span : *spans) spans_.put(now, std::move(span), false);
    spans_.put(now, encode_item(root), false);
}

// An attempt may still be out when its message has its answer; its span is the last.
void Recorder::forget_if_over(MessageId id) {
    const auto found = lives_.find(id);
    if (found != lives_.end() && found->second.ended && found->second.out == 0) lives_.erase(found);
}

bool Recorder::settle(std::size_t most) {
    for (; most > 0 && !notes_.empty(); --most) {
        const auto note = std::move(notes_.front());
        notes_.pop_front();
        note();
    }
    return notes_.empty();
}

void Recorder::forget() {
    settle();
    for (const auto& [id, life] : lives_) pending_.close(id, {}, {});
    lives_.clear();
}

void Recorder::interrupt(Time now) {
    settle();
    if (!settings_.traces) return;
    for (auto& [id, life] : lives_) {
        if (life.ended) continue;
        if (life.out == 0) rest(now, id, life);
        if (life.chosen) continue;
        const auto spans = pending_.close(id, {true, false, 0, 0}, {true, true, 0, 0});
        life.chosen = true;
        if (!spans) continue;
        for (const auto& span : *spans) spans_.put(now, span, true);
    }
}

}  // namespace brasslift::telemetry
