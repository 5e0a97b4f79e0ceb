#include "codec.hpp"

#include <cmath>
#include <cstring>

namespace brasslift::wire {
namespace {

enum EventCode : std::uint16_t {
    spawn = 1000,
    peers_known = 1010,
    demand = 1020,
    begun = 1030,
    done = 1040,
    client_gone = 1050,
    wakeup = 1060,
    pong = 1070,
    message = 1080,
    halt = 1090,
    census = 1100
};
enum ActionCode : std::uint16_t {
    bug = 1020,
    give_up = 1030,
    attempt = 1050,
    say_no = 1060,
    emit = 1070,
    remind = 1090,
    close_idle = 1100,
    subscribe = 1110
};

template <class T>
T get(std::string_view bytes, std::size_t at) {
    T value;
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
}

template <class T>
void put(char* record, std::size_t at, T value) {
    std::memcpy(record + at, &value, sizeof value);
}

EndpointId get_endpoint(std::string_view bytes, std::size_t at) {
    return {get<std::uint32_t>(bytes, at), get<std::uint16_t>(bytes, at + 4)};
}

void put_endpoint(char* record, std::size_t at, EndpointId endpoint) {
    put(record, at, endpoint.address);
    put(record, at + 4, endpoint.port);
}

// One record, with the place it has, so that a fault can be named.
class Reader {
public:
    Reader(std::uint32_t batch, std::size_t index, std::string_view record, std::string_view tail)
        : batch_(batch), index_(index), record_(record), tail_(tail) {}

    template <class T>
    T at(std::size_t offset) const {
        return get<T>(record_, offset);
    }
    EndpointId endpoint(std::size_t offset) const { return get_endpoint(record_, offset); }

    [[noreturn]] void fault(const std::string& field, const std::string& why) const {
        throw Malformed("batch " + std::to_string(batch_) + ", record " + std::to_string(index_) +
                        ", field " + field + ": " + why);
    }

    double number(std::size_t offset, const char* field) const {
        const auto value = at<double>(offset);
        if (!std::isfinite(value)) fault(field, "not a finite number");
        return value;
    }

    std::string_view tail(std::size_t offset, std::size_t unit, const char* field) const {
        const std::uint64_t from = at<std::uint32_t>(offset);
        const std::uint64_t size = std::uint64_t{at<std::uint32_t>(offset + 4)} * unit;
        if (from > tail_.size() || size > tail_.size() - from)
            fault(field, "reaches past the end of the tail");
        return tail_.substr(from, size);
    }

    Report report(std::size_t offset) const {
        const auto count = at<std::uint8_t>(offset);
        if (count > 4) fault("feedback", "more than four values");
        Report values;
        for (std::size_t i = 0; i < count; ++i) values.push_back(at<float>(offset + 1 + 4 * i));
        return values;
    }

    Result result(std::size_t offset) const {
        switch (at<std::uint8_t>(offset)) {
            case 0: return Result::ok;
            case 255: return Result::error;
            case 254: return Result::full;
            case 253: return Result::timeout;
            case 252: return Result::connect_failed;
            case 251: return Result::reset;
            case 250: return Result::cancelled;
            case 249: return Result::moot;
            default: fault("ending", "unknown value " + std::to_string(at<std::uint8_t>(offset)));
        }
    }

private:
    std::uint32_t batch_;
    std::size_t index_;
    std::string_view record_;
    std::string_view tail_;
};

std::vector<Listing> read_list(const Reader& in) {
    const auto bytes = in.tail(3, entry_size, "lines");
    std::vector<Listing> list;
    list.reserve(bytes.size() / entry_size);
    for (std::size_t at = 0; at < bytes.size(); at += entry_size) {
        Listing line;
        line.endpoint = get_endpoint(bytes, at);
        line.zone = get<std::uint16_t>(bytes, at + 6);
        line.kind = get<std::uint8_t>(bytes, at + 8);
        line.destination = get<std::uint16_t>(bytes, at + 9);
        switch (get<std::uint8_t>(bytes, at + 11)) {
            case 0: line.state = ListingState::draining; break;
            case 1: line.state = ListingState::ready; break;
            case 2: line.state = ListingState::gone; break;
            default: in.fault("stage_state", "unknown value");
        }
        line.weight = get<float>(bytes, at + 12);
        list.push_back(line);
    }
    return list;
}

ListUpdate read_update(const Reader& in, const Lists& lists) {
    ListUpdate update;
    switch (in.at<std::uint8_t>(4)) {
        case 0:
        case 4: update.whole = true; break;
        case 2: break;
        case 3: update.failed = true; return update;
        default: in.fault("form", "unknown value");
    }
    const auto slot = in.at<std::uint8_t>(5);
    if (slot >= lists.size()) in.fault("slot", "no such list");
    update.entries = lists[slot];
    return update;
}

Arrival read_arrival(const Reader& in) {
    Arrival arrival;
    arrival.id = in.at<std::uint64_t>(4);
    arrival.message_class = in.at<std::uint16_t>(12);
    arrival.tenant = in.at<std::uint16_t>(14);
    arrival.key = in.at<std::uint64_t>(16);
    arrival.due = in.number(24, "due_ms");
    const auto node = in.at<float>(40);
    // As wide as the wire's lists have them.
    if (!(node >= 0 && node <= 65535)) in.fault("called_node", "not a destination");
    arrival.destination = static_cast<DestinationId>(node);
    return arrival;
}

Outcome read_outcome(const Reader& in) {
    Outcome outcome;
    outcome.id = in.at<std::uint64_t>(4);
    outcome.elapsed_ms = in.number(12, "wait_time_ms");
    outcome.endpoint = in.endpoint(20);
    outcome.attempt = in.at<std::uint8_t>(26);
    outcome.over = in.at<std::uint8_t>(27) != 0;
    outcome.result = in.result(32);
    if (outcome.result == Result::full) outcome.wait_ms = in.at<std::uint32_t>(28);
    outcome.report = in.report(33);
    return outcome;
}

}  // namespace

BatchHeader read_header(std::string_view bytes) {
    if (bytes.size() < batch_header_size)
        throw Malformed("batch header: field number: the frame is cut short");
    const BatchHeader header{get<std::uint32_t>(bytes, 0), get<double>(bytes, 4),
                             get<std::uint32_t>(bytes, 12), get<std::uint32_t>(bytes, 16)};
    const auto where = "batch " + std::to_string(header.number) + ", header, field ";
    if (!std::isfinite(header.now)) throw Malformed(where + "clock: not a finite number");
    if (std::uint64_t{header.records} * event_size > header.length)
        throw Malformed(where + "records: more records than the length holds");
    return header;
}

void check_body(const BatchHeader& header, std::string_view body) {
    if (body.size() < header.length)
        throw Malformed("batch " + std::to_string(header.number) + ", record " +
                        std::to_string(body.size() / event_size) + ", field length: the frame is cut short");
}

Record read_record(const BatchHeader& header, std::string_view body, std::size_t index, Lists& lists) {
    const auto tail = body.substr(std::size_t{header.records} * event_size);
    const Reader in(header.number, index, body.substr(index * event_size, event_size), tail);
    Record record;
    record.instance = in.at<std::uint16_t>(2);
    switch (in.at<std::uint16_t>(0)) {
        case spawn: record.what = Spawn{in.at<std::uint64_t>(4), std::string(in.tail(12, 1, "conf"))}; break;
        case halt: record.what = Halt{}; break;
        case census: {
            const auto slot = in.at<std::uint8_t>(2);
            if (slot >= lists.size()) in.fault("slot", "no such list");
            lists[slot] = read_list(in);
            record.instance = 0;
            break;
        }
        case peers_known: record.what = Event{read_update(in, lists)}; break;
        case demand: record.what = Event{read_arrival(in)}; break;
        case begun: break;  // no streams here
        case done: record.what = Event{read_outcome(in)}; break;
        case client_gone: record.what = Event{Withdrawn{in.at<std::uint64_t>(4)}}; break;
        case wakeup: record.what = Event{TimerFired{in.at<std::uint32_t>(4)}}; break;
        case pong: break;  // no probes are sent
        case message:
            record.what = Event{PeerNote{in.at<std::uint16_t>(4), std::string(in.tail(6, 1, "body"))}};
            break;
        default: in.fault("code", "unknown event " + std::to_string(in.at<std::uint16_t>(0)));
    }
    return record;
}

char* Reply::record(std::uint16_t code, std::uint16_t instance) {
    records_.resize(records_.size() + action_size, '\0');
    ++count_;
    char* const start = records_.data() + records_.size() - action_size;
    put(start, 0, code);
    put(start, 2, instance);
    return start;
}

void Reply::add_text(std::uint16_t code, std::uint16_t instance, std::string_view text) {
    char* const start = record(code, instance);
    put(start, 4, static_cast<std::uint32_t>(tail_.size()));
    put(start, 8, static_cast<std::uint32_t>(text.size()));
    tail_ += text;
}

void Reply::add_fault(std::uint16_t instance, std::string_view text) { add_text(bug, instance, text); }

void Reply::add(std::uint16_t instance, const Action& action) {
    struct Writer {
        Reply& reply;
        std::uint16_t instance;
        void operator()(const Attempt& a) const {
            char* const start = reply.record(attempt, instance);
            put(start, 4, a.id);
            put_endpoint(start, 12, a.endpoint);
            put(start, 18, a.expires);
        }
        void operator()(const Refuse& a) const {
            char* const start = reply.record(say_no, instance);
            put(start, 4, a.id);
            put(start, 12, a.pause_ms);
        }
        void operator()(const Fail& a) const { put(reply.record(give_up, instance), 4, a.id); }
        void operator()(const SetTimer& a) const {
            char* const start = reply.record(remind, instance);
            put(start, 4, a.at);
            put(start, 12, a.timer);
        }
        void operator()(const Subscribe&) const {
            put(reply.record(subscribe, instance), 4, std::uint8_t{1});
        }
        void operator()(const Close& a) const {
            put_endpoint(reply.record(close_idle, instance), 4, a.endpoint);
        }
        void operator()(const Log& a) const { reply.add_text(emit, instance, a.text); }
    };
    std::visit(Writer{*this, instance}, action);
}

std::string Reply::frame(std::uint32_t batch) const {
    std::string bytes(reply_header_size, '\0');
    put(bytes.data(), 0, batch);
    put(bytes.data(), 4, count_);
    put(bytes.data(), 8, static_cast<std::uint32_t>(records_.size() + tail_.size()));
    return bytes + records_ + tail_;
}

}  // namespace brasslift::wire
