// Small stand-ins for the cases of the review, written from the operators' pages: a client, an endpoint, the
// discovery agent and a dispatcher's process. Blocking sockets and a thread for each connection; loopback
// only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

namespace fs = std::filesystem;

inline double now_ms() {
    using namespace std::chrono;
    return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// The case cannot run here: exit code 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What was sent, answered and run, with times from the start of the case.
class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), begun_(now_ms()) {
        if (file_ == nullptr) throw CannotRun("record.txt cannot be written");
    }
    ~Record() { std::fclose(file_); }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    __attribute__((format(printf, 2, 3))) void note(const char* format, ...) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.1f  ", now_ms() - begun_);
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    double begun_;
    std::mutex mutex_;
};

class Fd {
public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        reset();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    ~Fd() { reset(); }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    void reset() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }

private:
    int fd_ = -1;
};

inline sockaddr_in loopback(std::uint16_t port, const char* ip = "127.0.0.1") {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip, &at.sin_addr);
    at.sin_port = htons(port);
    return at;
}

// Port 0: a free one.
inline Fd listen_on(std::uint16_t& port, const char* ip = "127.0.0.1") {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port, ip);
    socklen_t size = sizeof at;
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd.get(), 512) != 0)
        throw CannotRun("a stand-in cannot listen");
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

inline std::uint16_t free_port() {
    std::uint16_t port = 0;
    const Fd fd = listen_on(port);
    return port;
}

inline std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

inline Fd connect_to(std::uint16_t port) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto at = loopback(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
    return fd;
}

inline bool write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto put = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (put < 0 && errno == EINTR) continue;
        if (put <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    return true;
}

// Closes with a reset.
inline void reset(Fd& fd) {
    const linger now{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd.reset();
}

struct Http {
    std::string start, body;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string target() const {
        const auto from = start.find(' '), to = start.rfind(' ');
        return from == std::string::npos || to <= from ? "" : start.substr(from + 1, to - from - 1);
    }
};

enum class Got { message, nothing, ended };

// One request or answer with Content-Length (none: no body). `rest` keeps what follows.
inline Got read_http(int fd, std::string& rest, Http& into, double until) {
    for (;;) {
        const auto end = rest.find("\r\n\r\n");
        if (end != std::string::npos) {
            into = {};
            std::size_t at = rest.find("\r\n");
            into.start = rest.substr(0, at);
            while (at < end) {
                const auto next = rest.find("\r\n", at + 2);
                const auto line = rest.substr(at + 2, next - at - 2);
                const auto colon = line.find(':');
                if (colon != std::string::npos) {
                    std::string name = line.substr(0, colon);
                    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                    const auto value = line.find_first_not_of(' ', colon + 1);
                    into.headers[name] = value == std::string::npos ? "" : line.substr(value);
                }
                at = next;
            }
            const auto length = std::strtoul(into.header("content-length").c_str(), nullptr, 10);
            if (rest.size() >= end + 4 + length) {
                into.body = rest.substr(end + 4, length);
                rest.erase(0, end + 4 + length);
                return Got::message;
            }
        }
        const double left = until - now_ms();
        if (left <= 0) return Got::nothing;
        pollfd state{fd, POLLIN, 0};
        const int ready = ::poll(&state, 1, static_cast<int>(std::min(left, 1e6)) + 1);
        if (ready < 0 && errno == EINTR) continue;
        if (ready == 0) continue;
        char part[65536];
        const auto got = ::recv(fd, part, sizeof part, 0);
        if (got < 0 && errno == EINTR) continue;
        if (got <= 0) return Got::ended;
        rest.append(part, static_cast<std::size_t>(got));
    }
}

inline std::string answer_text(int status, const std::string& headers = "", const std::string& body = "") {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each in a thread of its own.
class Server {
public:
    using Serve = std::function<void(Fd&)>;
    Server(std::uint16_t port, Serve serve) : port_(port), listener_(listen_on(port_)) {
        acceptor_ = std::thread([this, serve = std::move(serve)] {
            while (!stopping_) {
                pollfd state{listener_.get(), POLLIN, 0};
                if (::poll(&state, 1, 50) <= 0) continue;
                Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
                if (!fd) continue;
                const int on = 1;
                ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                const std::lock_guard lock(mutex_);
                threads_.emplace_back([serve, own = std::make_shared<Fd>(std::move(fd))] { serve(*own); });
            }
        });
    }
    ~Server() {
        stopping_ = true;
        acceptor_.join();
        for (auto& thread : threads_) thread.join();
    }
    std::uint16_t port() const { return port_; }
    bool stopping() const { return stopping_; }

private:
    std::uint16_t port_;
    Fd listener_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

struct Call {
    double at = 0;  // its last byte
    std::string id, key, body;
    int number = 0;    // at this endpoint, from 1
    int together = 1;  // messages in its call
};
struct Reply {
    int status = 200;
    double delay_ms = 0;
    std::string headers;
    enum class How { answer, silent, reset } how = How::answer;
};

// A partner's endpoint.
class Endpoint {
public:
    using Behave = std::function<Reply(const Call&)>;
    Endpoint(Record& record, std::string name, Behave behave, std::uint16_t port = 0)
        : record_(record),
          name_(std::move(name)),
          behave_(std::move(behave)),
          server_(port, [this](Fd& fd) { serve(fd); }) {}
    ~Endpoint() { stopping_ = true; }
    std::uint16_t port() const { return server_.port(); }
    const std::string& name() const { return name_; }
    std::vector<Call> calls() const {
        const std::lock_guard lock(mutex_);
        return calls_;
    }

private:
    void serve(Fd& fd) {
        std::string rest;
        Http request;
        while (!stopping_) {
            const auto got = read_http(fd.get(), rest, request, now_ms() + 50);
            if (got == Got::ended) return;
            if (got == Got::nothing) continue;
            std::vector<Call> calls;
            const bool bulk = request.target() == "/inbox/bulk";
            if (!bulk) {
                calls.push_back(
                    {now_ms(), request.header("req-id"), request.header("idempotency-key"), request.body});
            } else {
                std::size_t at = 0;
                while (at < request.body.size()) {
                    const auto end = request.body.find("\r\n", at);
                    char id[256] = "", key[256] = "";
                    unsigned long size = 0;
                    std::sscanf(request.body.substr(at, end - at).c_str(), "%255s %255s %lu", id, key, &size);
                    calls.push_back({now_ms(), id, std::strcmp(key, "-") == 0 ? "" : key,
                                     request.body.substr(end + 2, size)});
                    at = end + 2 + size + 2;
                }
            }
            Reply reply;
            std::string endings;
            for (auto& call : calls) {
                call.together = static_cast<int>(calls.size());
                {
                    const std::lock_guard lock(mutex_);
                    call.number = static_cast<int>(calls_.size()) + 1;
                    calls_.push_back(call);
                }
                reply = behave_(call);
                record_.note("endpoint %s: call %d, message %s, %zu bytes%s", name_.c_str(), call.number,
                             call.id.c_str(), call.body.size(), bulk ? " (bulk)" : "");
                endings += call.id + " done\r\n";
            }
            if (reply.how == Reply::How::reset) return reset(fd);
            if (reply.how == Reply::How::silent) continue;
            for (const double until = now_ms() + reply.delay_ms; now_ms() < until && !stopping_;)
                sleep_ms(std::min(8.0, until - now_ms()));
            const bool written = write_all(fd.get(), answer_text(reply.status, reply.headers,
                                                                 bulk && reply.status == 200 ? endings : ""));
            record_.note("endpoint %s: answered %d to %s%s", name_.c_str(), reply.status,
                         calls.empty() ? "?" : calls.front().id.c_str(), written ? "" : " (not written)");
        }
    }

    Record& record_;
    std::string name_;
    Behave behave_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<Call> calls_;
    Server server_;
};

struct Entry {
    std::string uid, endpoint;
    int pod_group = 0;
    std::string state = "Ready";
    std::string model = "general-partner";
};
inline std::string text_of(const Entry& e) {
    return "{\"uid\":\"" + e.uid + "\",\"endpoint\":\"" + e.endpoint + "\",\"az\":\"room-a\",\"model\":\"" +
           e.model + "\",\"pod_group\":" + std::to_string(e.pod_group) + ",\"state\":\"" + e.state +
           "\",\"capacity_hint\":50.0,\"boot_ms\":0}";
}
inline std::string list_text(unsigned rev, bool all, const std::vector<Entry>& entries) {
    std::string text = "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (all ? "true" : "false");
    text += ",\"targets\":[";
    for (std::size_t i = 0; i < entries.size(); ++i) text += (i > 0 ? "," : "") + text_of(entries[i]);
    return text + "]}";
}

struct Told {
    double at = 0;
    std::string status;
};

// Discovery's agent: the list, watches and notices.
class Agent {
public:
    Agent(Record& record, unsigned rev, std::vector<Entry> entries)
        : record_(record), first_(rev), server_(0, [this](Fd& fd) { serve(fd); }) {
        steps_.push_back({rev, std::move(entries)});
    }
    ~Agent() { stopping_ = true; }
    std::uint16_t port() const { return server_.port(); }
    // A new version with these entries changed.
    void change(const std::vector<Entry>& entries) {
        const std::lock_guard lock(mutex_);
        steps_.push_back({steps_.back().rev + 1, entries});
        for (const auto& e : entries)
            record_.note("discovery: version %u, %s at %s for destination %d is %s", steps_.back().rev,
                         e.uid.c_str(), e.endpoint.c_str(), e.pod_group, e.state.c_str());
    }
    // While discovery is down the agent is silent; notices are answered all the same.
    void set_down(bool down) {
        down_ = down;
        record_.note("discovery: %s", down ? "down, the agent is silent" : "back");
    }
    // The latest version that has been written to a watch, and when.
    std::pair<unsigned, double> written() const {
        const std::lock_guard lock(mutex_);
        return written_;
    }
    std::map<std::string, std::vector<Told>> notices() const {
        const std::lock_guard lock(mutex_);
        return notices_;
    }

private:
    struct Step {
        unsigned rev;
        std::vector<Entry> entries;
    };

    // What a watch that has heard `from` is told next; empty where there is nothing. 0: the whole list.
    std::string news_after(unsigned& from) {
        const std::lock_guard lock(mutex_);
        const auto rev = steps_.back().rev;
        if (from >= rev) return "";
        std::map<std::string, Entry> changed;
        const bool whole = from < first_;
        for (const auto& step : steps_)
            if (whole || step.rev > from)
                for (const auto& e : step.entries) changed[e.uid] = e;
        std::vector<Entry> entries;
        for (const auto& [uid, e] : changed)
            if (!whole || e.state != "Gone") entries.push_back(e);
        from = rev;
        return list_text(rev, whole, entries) + "\n";
    }

    void serve(Fd& fd) {
        std::string rest;
        Http request;
        while (!stopping_) {
            const auto got = read_http(fd.get(), rest, request, now_ms() + 50);
            if (got == Got::ended) return;
            if (got == Got::nothing) continue;
            if (request.start.starts_with("POST /v1/outcomes")) {
                take_notices(request.body);
                write_all(fd.get(), "HTTP/1.1 204 No Content\r\n\r\n");
                continue;
            }
            while (down_ && !stopping_) sleep_ms(20);
            const auto target = request.target();
            const auto index = target.find("index=");
            unsigned heard =
                index == std::string::npos
                    ? 0
                    : static_cast<unsigned>(std::strtoul(target.c_str() + index + 6, nullptr, 10));
            if (target.find("stream=1") != std::string::npos) return watch(fd, heard);
            heard = 0;
            const auto text = news_after(heard);
            write_all(fd.get(), answer_text(200, "", text));
        }
    }

    void watch(Fd& fd, unsigned heard) {
        const auto chunk = [&](const std::string& text) {
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            return write_all(fd.get(), size + text + "\r\n");
        };
        if (!write_all(fd.get(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
        record_.note("discovery: a watch from version %u", heard);
        double next_line = now_ms();
        while (!stopping_) {
            pollfd state{fd.get(), POLLIN, 0};
            if (::poll(&state, 1, 10) > 0) return;  // it has ended
            if (down_) continue;
            const auto news = news_after(heard);
            if (!news.empty()) {
                if (!chunk(news)) return;
                record_.note("discovery: wrote version %u to the watch", heard);
                const std::lock_guard lock(mutex_);
                written_ = {heard, now_ms()};
                next_line = now_ms() + 2000;
            } else if (now_ms() >= next_line) {
                if (!chunk("\n")) return;
                next_line = now_ms() + 2000;
            }
        }
    }

    void take_notices(const std::string& body) {
        std::size_t at = 0;
        const auto field = [](const std::string& line, const char* name) {
            const auto from = line.find("\"" + std::string(name) + "\":\"");
            if (from == std::string::npos) return std::string();
            const auto begin = from + std::strlen(name) + 4;
            return line.substr(begin, line.find('"', begin) - begin);
        };
        while (at < body.size()) {
            const auto end = std::min(body.find('\n', at), body.size());
            const auto line = body.substr(at, end - at);
            at = end + 1;
            const auto id = field(line, "id"), status = field(line, "status");
            record_.note("platform: notice for %s: %s", id.c_str(), status.c_str());
            const std::lock_guard lock(mutex_);
            notices_[id].push_back({now_ms(), status});
        }
    }

    Record& record_;
    unsigned first_;
    std::atomic<bool> stopping_{false}, down_{false};
    mutable std::mutex mutex_;
    std::vector<Step> steps_;
    std::pair<unsigned, double> written_{0, 0};
    std::map<std::string, std::vector<Told>> notices_;
    Server server_;
};

// A temporary folder that goes with the case.
class Folder {
public:
    Folder() : path_((fs::temp_directory_path() / "review-XXXXXX").string()) {
        if (::mkdtemp(path_.data()) == nullptr) throw CannotRun("no temporary folder");
    }
    ~Folder() {
        std::error_code error;
        fs::remove_all(path_, error);
    }
    std::string operator/(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

struct Settings {
    double drain_grace_ms = 2000, turn_gap_ms = 100, conn_idle_ms = 10000;
    double window_ms = 15000;
    int workers = 7, most_held = 112, batch = 1, sockets = 1024, senders = 3;
    double memory_mb = 192, disk_mb = 3;
    std::string discovery_kind = "push";
    bool ordered = false;  // a fourth class that keeps its order
};

// The configuration of a small deployment: the settings of the wire page, as nested JSON.
inline std::string config_text(const Settings& s, std::uint16_t listen, std::uint16_t discovery, unsigned rev,
                               const std::vector<Entry>& known) {
    const auto number = [](double value) {
        char text[32];
        std::snprintf(text, sizeof text, "%.1f", value);
        return std::string(text);
    };
    const auto message_class = [&](const char* name, const char* effect, double worth, double deadline_ms,
                                   bool order = false) {
        return "{\"name\":\"" + std::string(name) + "\",\"idempotency\":\"" + effect +
               "\",\"dedup_scope\":\"all\",\"deadline_ms\":" + number(deadline_ms) +
               ",\"objective_ms\":2000.0,\"importance\":" + number(worth) +
               ",\"late_share\":0.5,\"stream\":false,\"key_ttl_ms\":" + number(s.window_ms) +
               (order ? ",\"by_arrival\":true}" : "}");
    };
    return "{\"name\":\"n1\",\"listen\":\"" + address(listen) + "\",\"discovery\":\"" + address(discovery) +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + number(s.memory_mb) +
           ",\"sockets\":" + std::to_string(s.sockets) + ",\"disk_mb\":" + number(s.disk_mb) +
           "},\"known\":" + list_text(rev, true, known) +
           ",\"settings\":{\"workload\":\"deliver\",\"instances\":" + std::to_string(s.senders) +
           ",\"me\":1,\"zone\":0,\"tick_ms\":5.0,\"discovery\":\"" + s.discovery_kind +
           "\",\"weights\":\"rough\",\"counted_by\":\"request\",\"over_share_worth\":0.2,"
           "\"bounds\":{\"cancel\":true,\"conn_idle_ms\":" +
           number(s.conn_idle_ms) +
           ",\"dial_timeout_ms\":1500.0,\"max_retry_after_ms\":3000.0,\"most_held\":" +
           std::to_string(s.most_held) +
           ",\"peers\":false,\"probes\":true,\"retry_after\":true,\"second_copies\":false,\"send_cap\":12,"
           "\"streams_per_conn\":1},\"clients\":{\"marks_retry\":true},"
           "\"host_types\":[\"major-partner\",\"general-partner\"],"
           "\"localities\":[\"room-a\",\"room-b\",\"room-c\"],"
           "\"invariants\":{\"answer_slack_ms\":20.0,\"drain_grace_ms\":" +
           number(s.drain_grace_ms) +
           ",\"fall_ms\":2000.0,\"must_ask_in_ms\":10000.0,\"ramp_time_ms\":11000.0,\"start_capacity\":0.14,"
           "\"tip_multiple\":2.5,\"turn_gap_ms\":" +
           number(s.turn_gap_ms) +
           "},\"report\":{\"fields\":[],\"how\":\"off\"},"
           "\"specifics\":{\"batch_by_kind\":[10," +
           std::to_string(s.batch) +
           "],\"fades\":\"halves\",\"kind_apart\":[true,true],"
           "\"refused_price\":0.0,\"toll\":[0.0,0.03,0.06],\"workers\":" +
           std::to_string(s.workers) + "},\"request_classes\":[" +
           message_class("status-update", "pure", 1, 16000) + "," +
           message_class("ride-record", "token", 2, 28000) + "," +
           message_class("payment", "side_effect", 5, 28000) +
           (s.ordered ? "," + message_class("visit-billing", "side_effect", 1, 28000, true) : "") +
           "],\"customers\":[{\"name\":\"umuvuduko-rides\",\"share\":1.0,\"allowance_per_s\":1000.0}]}}";
}

// One dispatcher, by the `run` line of the deploy file. Ended with the case.
class Dispatcher {
public:
    Dispatcher(Record& record, const Folder& folder, std::uint16_t port)
        : record_(record), folder_(folder), port_(port) {
        fs::create_directories(folder_ / "state");
        fs::create_directories(folder_ / "tmp");
    }
    ~Dispatcher() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
    }
    std::uint16_t port() const { return port_; }
    pid_t pid() const { return pid_; }
    void write_config(const std::string& text) {
        std::ofstream(folder_ / "config.part") << text;
        fs::rename(folder_ / "config.part", folder_ / "config.json");
    }
    // `admin`: the operators' address, which tells of this process alone; 0: none.
    void start(std::uint16_t discovery, std::uint16_t admin = 0) {
        std::vector<std::string> own{
            "PROXY_NAME=n1",
            "PROXY_LISTEN=" + address(port_),
            "PROXY_DISCOVERY=" + address(discovery),
            "PROXY_STATE=" + (folder_ / "state"),
            "PROXY_CONFIG=" + (folder_ / "config.json"),
            "TMPDIR=" + (folder_ / "tmp"),
            std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin")};
        if (admin != 0) own.push_back("PROXY_ADMIN=" + address(admin));
        if (const char* const events = std::getenv("PROXY_EVENTS"))
            own.push_back(std::string("PROXY_EVENTS=") + events);
        const auto log = folder_ / "log.txt";
        const auto run = run_line();
        std::vector<char*> environment;
        for (const auto& text : own) environment.push_back(const_cast<char*>(text.c_str()));
        environment.push_back(nullptr);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ < 0) throw CannotRun("no process");
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) ::_exit(127);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execle("/bin/sh", "sh", "-c", run.c_str(), nullptr, environment.data());
            ::_exit(127);
        }
        record_.note("dispatcher: started");
        const double until = now_ms() + 30000;
        while (now_ms() < until) {
            if (::waitpid(pid_, nullptr, WNOHANG) == pid_) {
                pid_ = -1;
                throw CannotRun("the dispatcher ended at its start");
            }
            if (admin != 0 ? says_yes(admin, "/ready") : says_yes(port_, "/up")) {
                record_.note("dispatcher: ready");
                return;
            }
            sleep_ms(5);
        }
        throw CannotRun("the dispatcher is not ready within 30 s");
    }
    static bool says_yes(std::uint16_t port, const std::string& page) {
        const auto fd = connect_to(port);
        const auto text = "GET " + page + " HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        if (!fd || !write_all(fd.get(), text)) return false;
        std::string rest;
        Http answer;
        return read_http(fd.get(), rest, answer, now_ms() + 500) == Got::message && answer.status() == 200;
    }
    void signal(int number) const { ::kill(pid_, number); }
    // SIGTERM, and SIGKILL 3.7 s later where it still runs.
    void end_as_planned() {
        ::kill(pid_, SIGTERM);
        record_.note("dispatcher: SIGTERM");
        int code = 0;
        for (const double until = now_ms() + 3700; now_ms() < until; sleep_ms(5))
            if (ended(code)) {
                record_.note("dispatcher: ended by itself, status %d", code);
                return;
            }
        kill_outright();
    }
    // SIGKILL; the folder stays.
    void kill_outright() {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
        record_.note("dispatcher: SIGKILL");
    }
    // Whether it has ended by itself; `code` is what waitpid says.
    bool ended(int& code) {
        if (pid_ > 0 && ::waitpid(pid_, &code, WNOHANG) == pid_) {
            pid_ = -1;
            return true;
        }
        return pid_ < 0;
    }
    std::string log() const {
        std::ifstream in(folder_ / "log.txt");
        return {std::istreambuf_iterator<char>(in), {}};
    }

private:
    // The deploy file's `run`, from the repository's root, where a case is started.
    static std::string run_line() {
        std::ifstream in("deploy/balancer.toml");
        for (std::string line; std::getline(in, line);) {
            if (!line.starts_with("run = \"")) continue;
            return line.substr(7, line.find('"', 7) - 7);
        }
        throw CannotRun("the deploy file has no run line");
    }

    Record& record_;
    const Folder& folder_;
    std::uint16_t port_;
    pid_t pid_ = -1;
};

struct Message {
    std::string id, message_class, key, order_key, body;
    int destination = 0;
    double deadline_ms = 16000;
};

inline std::string request_text(const Message& m) {
    return "POST /" + m.message_class + (m.order_key.empty() ? "" : "?key=" + m.order_key) +
           " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + m.id +
           "\r\nReq-Owner: umuvuduko-rides\r\nReq-Deadline: " +
           std::to_string(static_cast<long>(m.deadline_ms)) + "m\r\n" +
           (m.key.empty() ? "" : "Idempotency-Key: " + m.key + "\r\n") +
           "Content-Length: " + std::to_string(m.body.size()) +
           "\r\nX-Addressing: dest=" + std::to_string(m.destination) + "\r\n\r\n" + m.body;
}

// Hands a message in on a connection of its own. The answer's status; 0: none within 400 ms.
inline int hand_in(Record& record, std::uint16_t port, const Message& m) {
    const auto fd = connect_to(port);
    int status = 0;
    std::string rest;
    Http answer;
    if (fd && write_all(fd.get(), request_text(m)) &&
        read_http(fd.get(), rest, answer, now_ms() + 400) == Got::message)
        status = answer.status();
    record.note("client: %s %s for destination %d, %zu bytes: answered %d", m.message_class.c_str(),
                m.id.c_str(), m.destination, m.body.size(), status);
    return status;
}

inline bool troubled() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

// Runs a case: 1 where it says that the rule was broken, 0 where it held, 2 where it could not run.
inline int run_case(int count, char** words, const std::function<bool(Record&)>& broken) {
    ::signal(SIGPIPE, SIG_IGN);
    try {
        if (count < 2) throw CannotRun("usage: case RECORD");
        Record record(words[1]);
        record.note("case begins, TROUBLE=%d", troubled() ? 1 : 0);
        try {
            const bool bad = broken(record);
            record.note("verdict: the rule %s", bad ? "was broken" : "held");
            std::printf("%s\n", bad ? "the rule was broken" : "the rule held");
            return bad ? 1 : 0;
        } catch (const std::exception& fault) {
            record.note("could not run: %s", fault.what());
            std::printf("could not run: %s\n", fault.what());
            return 2;
        }
    } catch (const std::exception& fault) {
        std::printf("could not run: %s\n", fault.what());
        return 2;
    }
}

}  // namespace review
