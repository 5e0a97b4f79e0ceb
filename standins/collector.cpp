#include "collector.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <google/protobuf/util/json_util.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zlib.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "http/parser.hpp"

namespace brasslift::standins {
namespace {

namespace otlp = opentelemetry::proto;
constexpr http::Limits request_limits{64 * 1024, 64 << 20};

std::string hex(const std::string& bytes) {
    static const char digits[] = "0123456789abcdef";
    std::string out;
    for (const unsigned char c : bytes) (out += digits[c >> 4]) += digits[c & 15];
    return out;
}

std::string text_of(const otlp::common::v1::AnyValue& v) {
    if (v.has_string_value()) return v.string_value();
    if (v.has_bool_value()) return v.bool_value() ? "true" : "false";
    if (v.has_int_value()) return std::to_string(v.int_value());
    std::ostringstream out;
    out << v.double_value();
    return out.str();
}

template <class List>
std::map<std::string, std::string> map_of(const List& attributes) {
    std::map<std::string, std::string> map;
    for (const auto& a : attributes) map[a.key()] = text_of(a.value());
    return map;
}

std::optional<std::string> inflated(const std::string& packed) {
    z_stream stream{};
    if (::inflateInit2(&stream, 15 + 32) != Z_OK) return std::nullopt;
    std::string out;
    char part[65536];
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
    stream.avail_in = static_cast<uInt>(packed.size());
    int result = Z_OK;
    while (result == Z_OK) {
        stream.next_out = reinterpret_cast<Bytef*>(part);
        stream.avail_out = sizeof part;
        result = ::inflate(&stream, Z_NO_FLUSH);
        out.append(part, sizeof part - stream.avail_out);
    }
    ::inflateEnd(&stream);
    if (result != Z_STREAM_END || stream.avail_in > 0) return std::nullopt;
    return out;
}

std::string response(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Type: application/x-protobuf\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

struct Collector::Connection {
    explicit Connection(int d) : fd(d) {}
    int fd;
    http::Parser parser{http::Parser::Side::request, request_limits};
    std::size_t read = 0;  // of its present request
    std::string unsent;
    Clock::time_point send_at{};
    std::optional<Behaviour> chosen;  // for its present request
    bool over = false;
};

Behaviour behaviour_of(const std::string& words) {
    std::istringstream in(words);
    std::string kind;
    Behaviour b;
    in >> kind;
    using Kind = Behaviour::Kind;
    static const std::map<std::string, Kind> kinds{{"take", Kind::take},       {"slow", Kind::slow},
                                                   {"silent", Kind::silent},   {"reset", Kind::reset},
                                                   {"status", Kind::status},   {"partial", Kind::partial},
                                                   {"garbage", Kind::garbage}, {"spoilt", Kind::spoilt}};
    if (kinds.count(kind) == 0) throw std::invalid_argument("no such behaviour: " + words);
    b.kind = kinds.at(kind);
    if (b.kind == Kind::slow) in >> b.ms;
    if (b.kind == Kind::status) in >> b.status >> b.text;
    if (b.kind == Kind::partial) in >> b.rejected >> b.text;
    return b;
}

double Kept::latest(const std::string& metric, const std::map<std::string, std::string>& attributes) const {
    for (auto p = points.rbegin(); p != points.rend(); ++p) {
        if (p->metric != metric) continue;
        const bool all = std::all_of(attributes.begin(), attributes.end(), [&](const auto& a) {
            const auto found = p->attributes.find(a.first);
            return found != p->attributes.end() && found->second == a.second;
        });
        if (all) return p->count > 0 ? static_cast<double>(p->count) : p->value;
    }
    return -1;
}

Collector::Collector(std::string file) : file_(std::move(file)) {
    wake_ = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    listen();
    thread_ = std::thread([this] { run(); });
}

Collector::~Collector() {
    {
        const std::lock_guard lock(mutex_);
        over_ = true;
    }
    const std::uint64_t one = 1;
    (void)!::write(wake_, &one, sizeof one);
    thread_.join();
    for (auto& c : connections_) ::close(c.fd);
    if (listener_ >= 0) ::close(listener_);
    ::close(wake_);
}

void Collector::listen() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port_);
    socklen_t size = sizeof at;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(listener_, 16) != 0)
        throw std::runtime_error("the collector cannot listen");
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
}

std::string Collector::address() const { return "127.0.0.1:" + std::to_string(port_); }

void Collector::behave(const Behaviour& behaviour, int times) {
    const std::lock_guard lock(mutex_);
    if (times < 0) {
        standing_ = behaviour;
        script_.clear();
        return;
    }
    for (int i = 0; i < times; ++i) script_.push_back(behaviour);
}

void Collector::down() {
    const std::lock_guard lock(mutex_);
    down_ = true;
    ::close(listener_);
    listener_ = -1;
    // By its own thread, which may be waiting on them.
    for (auto& c : connections_) c.over = true;
    const std::uint64_t one = 1;
    (void)!::write(wake_, &one, sizeof one);
}

void Collector::up() {
    const std::lock_guard lock(mutex_);
    down_ = false;
    listen();
    const std::uint64_t one = 1;
    (void)!::write(wake_, &one, sizeof one);
}

Kept Collector::kept() const {
    const std::lock_guard lock(mutex_);
    return kept_;
}

bool Collector::until(const std::function<bool(const Kept&)>& so, int ms) const {
    const auto end = Clock::now() + std::chrono::milliseconds(ms);
    for (;;) {
        {
            const std::lock_guard lock(mutex_);
            if (so(kept_)) return true;
        }
        if (Clock::now() >= end) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void Collector::run() {
    for (;;) {
        std::vector<pollfd> polled{{wake_, POLLIN, 0}};
        int timeout = 1000;
        {
            const std::lock_guard lock(mutex_);
            if (over_) return;
            for (auto c = connections_.begin(); c != connections_.end();) {
                if (c->over) ::close(c->fd);
                c = c->over ? connections_.erase(c) : std::next(c);
            }
            polled.push_back({listener_, POLLIN, 0});
            for (auto& c : connections_) {
                short events = POLLIN;
                if (!c.unsent.empty()) {
                    const auto left =
                        std::chrono::duration_cast<std::chrono::milliseconds>(c.send_at - Clock::now());
                    if (left.count() <= 0)
                        events |= POLLOUT;
                    else
                        timeout = std::min(timeout, static_cast<int>(left.count()) + 1);
                }
                polled.push_back({c.fd, events, 0});
            }
        }
        ::poll(polled.data(), polled.size(), timeout);
        std::uint64_t woken = 0;
        (void)!::read(wake_, &woken, sizeof woken);
        const std::lock_guard lock(mutex_);
        std::size_t place = 2;
        for (auto& c : connections_) {
            if (place >= polled.size()) break;
            const auto events = polled[place++].revents;
            if ((events & POLLOUT) != 0 && !c.unsent.empty()) {
                const auto put = ::send(c.fd, c.unsent.data(), c.unsent.size(), MSG_NOSIGNAL);
                if (put > 0) c.unsent.erase(0, static_cast<std::size_t>(put));
            }
            if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) hear(c);
        }
        if (listener_ >= 0 && polled[1].fd == listener_ && (polled[1].revents & POLLIN) != 0) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd >= 0) {
                connections_.emplace_back(fd);
                ++kept_.connections;
                kept_.most_open = std::max(kept_.most_open, connections_.size());
            }
        }
    }
}

Behaviour Collector::next() {
    if (script_.empty()) return standing_;
    auto b = script_.front();
    script_.pop_front();
    return b;
}

void Collector::hear(Connection& c) {
    char part[65536];
    const auto got = ::recv(c.fd, part, sizeof part, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) {
        c.over = true;
        return;
    }
    kept_.bytes += static_cast<std::size_t>(got);
    std::string_view rest(part, static_cast<std::size_t>(got));
    while (!rest.empty() && !c.over) {
        const auto used = c.parser.feed(rest);
        rest.remove_prefix(used);
        c.read += used;
        if (!c.chosen && c.parser.head_done()) c.chosen = next();
        if (c.parser.fault() != http::Fault::none) {
            ++kept_.faults;
            c.over = true;
            return;
        }
        if (c.chosen && c.chosen->kind == Behaviour::Kind::reset && !c.parser.message().body.empty()) {
            kept_.requests.push_back(c.parser.message().target + " reset");
            const linger now{1, 0};
            ::setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            c.over = true;
            return;
        }
        if (!c.parser.complete()) return;
        const auto message = c.parser.take();
        std::string body = message.body;
        kept_.body_bytes += body.size();
        kept_.headers.clear();
        for (const char* const name :
             {"host", "content-type", "content-encoding", "user-agent", "authorization"})
            if (const auto* const value = message.headers.find(name)) kept_.headers[name] = *value;
        if (message.headers.has_token("content-encoding", "gzip")) {
            auto whole = inflated(body);
            if (!whole) {
                ++kept_.faults;
                c.over = true;
                return;
            }
            body = std::move(*whole);
        }
        kept_.whole_bytes += body.size();
        take(c, message.target, body);
        c.chosen.reset();
        c.read = 0;
    }
}

void Collector::take(Connection& c, const std::string& path, const std::string& body) {
    using Kind = Behaviour::Kind;
    const auto& b = *c.chosen;
    const bool kept = b.kind == Kind::take || b.kind == Kind::slow || b.kind == Kind::partial ||
                      b.kind == Kind::garbage || b.kind == Kind::spoilt;
    static const char* const names[] = {"taken",  "slow",    "silent",  "reset",
                                        "status", "partial", "garbage", "spoilt"};
    kept_.requests.push_back(path + ' ' + names[static_cast<int>(b.kind)]);
    if (kept && !keep(path, body)) ++kept_.faults;
    answer(c, b);
}

void Collector::answer(Connection& c, const Behaviour& b) {
    using Kind = Behaviour::Kind;
    c.send_at = Clock::now();
    switch (b.kind) {
        case Kind::take: c.unsent += response(200, "", ""); break;
        case Kind::slow:
            c.send_at += std::chrono::microseconds(static_cast<long long>(b.ms * 1000));
            c.unsent += response(200, "", "");
            break;
        case Kind::silent:
        case Kind::reset: break;
        case Kind::status:
            c.unsent += response(b.status, b.text.empty() ? "" : "Retry-After: " + b.text + "\r\n", "");
            break;
        case Kind::partial: {
            // All three answers have the same shape.
            otlp::collector::trace::v1::ExportTraceServiceResponse said;
            said.mutable_partial_success()->set_rejected_spans(b.rejected);
            said.mutable_partial_success()->set_error_message(b.text.empty() ? "no room" : b.text);
            c.unsent += response(200, "", said.SerializeAsString());
            break;
        }
        case Kind::garbage: c.unsent += "\x16\x03\x01 what is this\r\n\r\n"; break;
        case Kind::spoilt:
            c.unsent += response(200, "", "\x0a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01zz");
            break;
    }
}

bool Collector::keep(const std::string& path, const std::string& body) {
    const auto parse = [&](auto request) {
        if (!request.ParseFromString(body)) return false;
        keep(request);
        if (!file_.empty()) {
            std::string json;
            (void)google::protobuf::util::MessageToJsonString(request, &json);
            std::ofstream(file_, std::ios::app) << json << '\n';
        }
        return true;
    };
    if (path == "/v1/traces") return parse(otlp::collector::trace::v1::ExportTraceServiceRequest());
    if (path == "/v1/metrics") return parse(otlp::collector::metrics::v1::ExportMetricsServiceRequest());
    if (path == "/v1/logs") return parse(otlp::collector::logs::v1::ExportLogsServiceRequest());
    return false;
}

void Collector::keep(const otlp::collector::trace::v1::ExportTraceServiceRequest& request) {
    for (const auto& resource : request.resource_spans()) {
        kept_.resource = map_of(resource.resource().attributes());
        for (const auto& scope : resource.scope_spans())
            for (const auto& s : scope.spans()) {
                Span span;
                span.trace = hex(s.trace_id());
                span.id = hex(s.span_id());
                span.parent = hex(s.parent_span_id());
                span.name = s.name();
                span.state = s.trace_state();
                span.kind = s.kind();
                span.status = s.status().code();
                span.start = s.start_time_unix_nano();
                span.end = s.end_time_unix_nano();
                span.attributes = map_of(s.attributes());
                for (const auto& e : s.events()) span.events.push_back(e.name());
                for (const auto& l : s.links()) span.links.emplace_back(hex(l.trace_id()), hex(l.span_id()));
                kept_.spans.push_back(std::move(span));
            }
    }
}

void Collector::keep(const otlp::collector::metrics::v1::ExportMetricsServiceRequest& request) {
    for (const auto& resource : request.resource_metrics())
        for (const auto& scope : resource.scope_metrics())
            for (const auto& m : scope.metrics()) {
                const auto number = [&](const auto& data, bool cumulative) {
                    for (const auto& p : data.data_points()) {
                        Point point{m.name(),
                                    map_of(p.attributes()),
                                    cumulative,
                                    p.start_time_unix_nano(),
                                    p.time_unix_nano(),
                                    0,
                                    0,
                                    0};
                        point.value = p.has_as_int() ? static_cast<double>(p.as_int()) : p.as_double();
                        kept_.points.push_back(std::move(point));
                    }
                };
                if (m.has_gauge()) number(m.gauge(), false);
                if (m.has_sum())
                    number(m.sum(), m.sum().aggregation_temporality() ==
                                        otlp::metrics::v1::AGGREGATION_TEMPORALITY_CUMULATIVE);
                if (m.has_exponential_histogram()) {
                    const auto& h = m.exponential_histogram();
                    const bool cumulative =
                        h.aggregation_temporality() == otlp::metrics::v1::AGGREGATION_TEMPORALITY_CUMULATIVE;
                    for (const auto& p : h.data_points()) {
                        // Its buckets and zeros are all that it counts.
                        std::uint64_t sum = p.zero_count();
                        for (const auto n : p.positive().bucket_counts()) sum += n;
                        if (sum != p.count()) ++kept_.faults;
                        kept_.points.push_back({m.name(), map_of(p.attributes()), cumulative,
                                                p.start_time_unix_nano(), p.time_unix_nano(), 0, p.count(),
                                                p.sum()});
                    }
                }
            }
}

void Collector::keep(const otlp::collector::logs::v1::ExportLogsServiceRequest& request) {
    for (const auto& resource : request.resource_logs())
        for (const auto& scope : resource.scope_logs())
            for (const auto& r : scope.log_records())
                kept_.records.push_back(
                    {r.body().string_value(), hex(r.trace_id()), hex(r.span_id()), r.severity_text()});
}

}  // namespace brasslift::standins
