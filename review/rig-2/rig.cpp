#include "rig.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace rig {
namespace {

const auto begun = std::chrono::steady_clock::now();
std::mutex record_mutex;
FILE* record = nullptr;

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int bound_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(0);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("no free port");
    return fd;
}

bool readable(int fd, double ms) {
    pollfd state{fd, POLLIN, 0};
    return ::poll(&state, 1, static_cast<int>(std::max(0.0, ms))) > 0;
}

bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto put = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (put < 0 && errno == EINTR) continue;
        if (put <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    return true;
}

std::string lower(std::string text) {
    for (auto& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

// The text of a field of one JSON object on a line.
std::string field(const std::string& line, const std::string& name) {
    const auto at = line.find('"' + name + "\":");
    if (at == std::string::npos) return "";
    auto from = at + name.size() + 3;
    while (from < line.size() && line[from] == ' ') ++from;
    if (from < line.size() && line[from] == '"')
        return line.substr(from + 1, line.find('"', from + 1) - from - 1);
    return line.substr(from, line.find_first_of(",}", from) - from);
}

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}

}  // namespace

double now_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
}

void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

bool wait_for(double ms, const std::function<bool()>& done) {
    for (const double until = now_ms() + ms; !done(); sleep_ms(5))
        if (now_ms() >= until) return false;
    return true;
}

void open_record(const std::string& path) { record = std::fopen(path.c_str(), "w"); }

void note(const char* format, ...) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(record_mutex);
    for (FILE* const out : {record, stdout}) {
        if (out == nullptr) continue;
        std::fprintf(out, "%9.1f  %s\n", now_ms(), text);
        std::fflush(out);
    }
}

std::string Request::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

Conn::~Conn() { ::close(fd_); }

bool Conn::send(const std::string& bytes) { return send_all(fd_, bytes); }

void Conn::answer(int status, const std::string& headers, const std::string& body) {
    send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Conn::open() {
    char byte;
    const auto got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

std::optional<Request> Conn::read() {
    char part[16384];
    for (;;) {
        const auto end = buffer_.find("\r\n\r\n");
        if (end != std::string::npos) {
            Request request;
            std::istringstream head(buffer_.substr(0, end));
            std::string line;
            std::getline(head, line);
            std::istringstream(line) >> request.method >> request.target;
            while (std::getline(head, line)) {
                while (!line.empty() && line.back() == '\r') line.pop_back();
                const auto colon = line.find(':');
                if (colon == std::string::npos) continue;
                auto from = colon + 1;
                while (from < line.size() && line[from] == ' ') ++from;
                request.headers[lower(line.substr(0, colon))] = line.substr(from);
            }
            const auto size = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
            if (buffer_.size() >= end + 4 + size) {
                request.body = buffer_.substr(end + 4, size);
                buffer_.erase(0, end + 4 + size);
                return request;
            }
        }
        const auto got = ::recv(fd_, part, sizeof part, 0);
        if (got < 0 && errno == EINTR) continue;
        if (got <= 0) return std::nullopt;
        buffer_.append(part, static_cast<std::size_t>(got));
    }
}

Server::Server(Handler handler) : handler_(std::move(handler)), fd_(bound_socket()), port_(port_of(fd_)) {
    ::listen(fd_, 256);
    accepting_ = std::thread([this] {
        while (!over_) {
            if (!readable(fd_, 50)) continue;
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                Conn conn(fd);
                while (const auto request = conn.read()) handler_(conn, *request);
            }).detach();
        }
    });
}

Server::~Server() {
    over_ = true;
    accepting_.join();
    ::close(fd_);
}

std::string as_json(const Target& t) {
    return "{\"uid\":\"" + t.uid + "\",\"endpoint\":\"" + t.endpoint + "\",\"az\":\"" + t.zone +
           "\",\"model\":\"" + t.model + "\",\"pod_group\":" + std::to_string(t.destination) +
           ",\"state\":\"" + t.state + "\",\"capacity_hint\":50.0,\"boot_ms\":0}";
}

Agent::Agent() {
    server_ = std::make_unique<Server>([this](Conn& conn, const Request& request) { serve(conn, request); });
}

void Agent::set(const Target& target) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    std::erase_if(targets_, [&](const auto& known) { return known.second.uid == target.uid; });
    targets_.emplace_back(revision_, target);
    note("discovery   rev %d: %s at %s, destination %d, %s", revision_, target.uid.c_str(),
         target.endpoint.c_str(), target.destination, target.state.c_str());
}

int Agent::revision() {
    const std::lock_guard lock(mutex_);
    return revision_;
}

std::string Agent::whole_list() {
    const std::lock_guard lock(mutex_);
    std::string lines;
    for (const auto& [revision, target] : targets_)
        if (target.state != "Gone") lines += (lines.empty() ? "" : ",") + as_json(target);
    return "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[" + lines + "]}";
}

std::optional<Agent::Told> Agent::told(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = told_.find(id);
    return found == told_.end() ? std::nullopt : std::optional(found->second);
}

void Agent::serve(Conn& conn, const Request& request) {
    if (request.target == "/v1/outcomes") {
        std::istringstream lines(request.body);
        for (std::string line; std::getline(lines, line);) {
            const auto id = field(line, "id");
            if (id.empty()) continue;
            const Told told{now_ms(), field(line, "status"), std::atoi(field(line, "again_ms").c_str())};
            const std::lock_guard lock(mutex_);
            if (told_.emplace(id, told).second) note("notice      %s", line.c_str());
        }
        return conn.answer(204);
    }
    if (request.target.find("stream=1") == std::string::npos) return conn.answer(200, "", whole_list());
    const auto index = request.target.find("index=");
    watch(conn, index == std::string::npos ? 0 : std::atoi(request.target.c_str() + index + 6));
}

void Agent::watch(Conn& conn, int after) {
    const auto chunk = [&](const std::string& text) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return conn.send(size + text + "\r\n");
    };
    if (!conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    bool first = true;
    for (double empty_at = now_ms() + 2000; conn.open();) {
        std::string object;
        int upto = 0;
        {
            const std::lock_guard lock(mutex_);
            upto = revision_;
            if (upto > after || first) {
                std::string lines;
                for (const auto& [revision, target] : targets_)
                    if (revision > after) lines += (lines.empty() ? "" : ",") + as_json(target);
                object = "{\"rev\":" + std::to_string(upto) + ",\"all\":false,\"targets\":[" + lines + "]}\n";
            }
        }
        if (first && after <= 1) object = whole_list() + "\n";
        first = false;
        if (!object.empty()) {
            if (!chunk(object)) return;
            after = upto;
            empty_at = now_ms() + 2000;
        } else if (now_ms() >= empty_at) {
            if (!chunk("\n")) return;
            empty_at = now_ms() + 2000;
        }
        sleep_ms(5);
    }
}

Endpoint::Endpoint(std::string name, Answer answer) : name_(std::move(name)), answer_(std::move(answer)) {
    server_ = std::make_unique<Server>([this](Conn& conn, const Request& request) {
        if (request.target != "/inbox") return conn.answer(404);
        const auto id = request.header("req-id");
        note("endpoint    %s runs %s: %s", name_.c_str(), id.c_str(), request.body.c_str());
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back({now_ms(), name_, id, request.body});
        }
        answer_(conn, request);
    });
}

std::vector<Run> Endpoint::runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::string request_of(const Message& m) {
    std::string text = "POST /" + m.message_class + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + m.id +
                       "\r\nReq-Owner: " + m.owner +
                       "\r\nReq-Deadline: " + std::to_string(static_cast<long>(m.deadline_ms)) + "m\r\n";
    if (!m.key.empty()) text += "Idempotency-Key: " + m.key + "\r\n";
    if (m.retry) text += "Req-Retry: 1\r\n";
    return text + "X-Addressing: dest=" + std::to_string(m.destination) +
           "\r\nContent-Length: " + std::to_string(m.body.size()) + "\r\n\r\n" + m.body;
}

Client::Client(int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const auto to = loopback(port);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return;
    }
    ::close(fd_);
    fd_ = -1;
}

Client::~Client() {
    if (fd_ >= 0) ::close(fd_);
}

bool Client::send(const std::string& bytes) { return fd_ >= 0 && send_all(fd_, bytes); }

Handed Client::answer(double ms) {
    if (fd_ < 0) return {0, "refused connection"};
    char part[4096];
    for (const double until = now_ms() + ms;;) {
        const auto end = buffer_.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto head = lower(buffer_.substr(0, end));
            const auto at = head.find("content-length:");
            const auto size = at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 15, nullptr, 10);
            if (buffer_.size() >= end + 4 + size) {
                const int status = std::atoi(buffer_.c_str() + 9);
                buffer_.erase(0, end + 4 + size);
                if (status >= 200) return {status, "answered"};
                continue;
            }
        }
        if (!readable(fd_, until - now_ms())) return {0, "no answer in time"};
        const auto got = ::recv(fd_, part, sizeof part, 0);
        if (got == 0) return {0, "closed"};
        if (got < 0) return {0, "reset"};
        buffer_.append(part, static_cast<std::size_t>(got));
    }
}

Handed hand_in(int port, const Message& message) {
    Client client(port);
    const bool sent = client.send(request_of(message));
    auto handed = sent ? client.answer(400) : Handed{0, "refused connection"};
    note("client      hands in %s (%s of %s): %s %d", message.id.c_str(), message.message_class.c_str(),
         message.owner.c_str(), handed.how.c_str(), handed.status);
    return handed;
}

Site kigali() {
    Site site;
    site.classes = {{"status-update", "pure", 16000, 5000, 2000, 1},
                    {"ride-record", "token", 28000, 15000, 2000, 2},
                    {"payment", "side_effect", 28000, 5000, 4000, 5}};
    site.members = {"umuvuduko-rides", "kivu-scoot", "nyabugogo-wheels"};
    return site;
}

std::string config_of(const Site& site, const std::string& listen, const std::string& discovery) {
    std::string classes, members, known;
    for (const auto& c : site.classes)
        classes += (classes.empty() ? "" : ",") + ("{\"name\":\"" + c.name) + "\",\"idempotency\":\"" +
                   c.effect + "\",\"dedup_scope\":\"all\",\"deadline_ms\":" + number(c.deadline_ms) +
                   ",\"objective_ms\":" + number(c.aim_ms) + ",\"importance\":" + number(c.worth) +
                   ",\"late_share\":0.5,\"key_ttl_ms\":" + number(c.window_ms) + ",\"stream\":false}";
    for (const auto& m : site.members)
        members += (members.empty() ? "" : ",") + ("{\"name\":\"" + m) +
                   "\",\"allowance_per_s\":25.0,\"share\":0.33}";
    for (const auto& t : site.known) known += (known.empty() ? "" : ",") + as_json(t);
    return "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,"
           "\"disk_mb\":3},\"known\":{\"rev\":" +
           std::to_string(site.revision) + ",\"all\":true,\"targets\":[" + known +
           "]},\"settings\":{\"bounds\":{\"cancel\":true,\"conn_idle_ms\":10000.0,\"dial_timeout_ms\":1500.0,"
           "\"max_retry_after_ms\":3000.0,\"most_held\":112,\"peers\":false,\"probes\":true,"
           "\"retry_after\":true,\"second_copies\":false,\"send_cap\":12,\"streams_per_conn\":8},"
           "\"clients\":{\"marks_retry\":true},\"counted_by\":\"request\",\"discovery\":\"push\","
           "\"host_types\":[\"major-partner\",\"general-partner\"],\"instances\":3,"
           "\"invariants\":{\"answer_slack_ms\":20.0,\"drain_grace_ms\":2000.0,\"fall_ms\":2000.0,"
           "\"must_ask_in_ms\":10000.0,\"ramp_time_ms\":11000.0,\"start_capacity\":0.14,"
           "\"tip_multiple\":2.5},\"localities\":[\"room-a\",\"room-b\",\"room-c\"],\"me\":1,"
           "\"over_share_worth\":0.2,\"report\":{\"fields\":[],\"how\":\"off\"},\"request_classes\":[" +
           classes + "],\"customers\":[" + members +
           "],\"specifics\":{\"batch_by_kind\":[1,1],\"fades\":\"halves\",\"kind_apart\":[true,true],"
           "\"refused_price\":0.0,\"toll\":[0.0,0.03,0.06],\"workers\":7},\"tick_ms\":5.0,"
           "\"weights\":\"rough\",\"zone\":1}}";
}

std::vector<Endpoint*> add_well_partners(Site& site) {
    std::vector<Endpoint*> all;
    for (int i = 0; i < 2 * well_partners; ++i) {
        const auto name = "w-" + std::to_string(i + 1);
        all.push_back(new Endpoint(name, [](Conn& conn, const Request&) {
            sleep_ms(10);
            conn.answer(200);
        }));
        Target target{name, all.back()->address(), first_well_partner + i / 2};
        target.zone = i % 2 == 0 ? "room-b" : "room-c";
        site.known.push_back(target);
    }
    return all;
}

bool hand_in_for_the_others(int port, const Site& site, int count) {
    bool taken = true;
    for (int i = 0; i < count; ++i) {
        const auto number = std::to_string(i + 1);
        const Message message{"payment", "other-" + number, site.members[0],
                              "",        "other " + number, first_well_partner + i % well_partners,
                              28000};
        taken = hand_in(port, message).status == 202 && taken;
    }
    return taken;
}

Dispatcher::Dispatcher(std::string root, std::string discovery)
    : root_(std::move(root)), discovery_(std::move(discovery)) {
    // The name of the Unix socket by which a process takes over has to fit: a short path.
    const char* const at = std::getenv("TMPDIR");
    const std::string given = at != nullptr ? at : "";
    std::string pattern = (given.empty() || given.size() > 40 ? "/tmp" : given) + "/review2-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    std::filesystem::create_directory(folder_ + "/state");
    std::filesystem::create_directory(folder_ + "/tmp");
    // Bound and not listening for as long as the case runs, so that nobody else is given the port between the
    // dispatcher's lives.
    held_port_ = bound_socket();
    port_ = port_of(held_port_);
}

Dispatcher::~Dispatcher() {
    for (const pid_t pid : {former_, pid_}) {
        if (pid <= 0) continue;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    ::close(held_port_);
    std::error_code error;
    std::filesystem::remove_all(folder_, error);
}

void Dispatcher::configure(const Site& site) {
    const auto path = folder_ + "/config.json";
    std::ofstream(path + ".new") << config_of(site, "127.0.0.1:" + std::to_string(port_), discovery_);
    std::filesystem::rename(path + ".new", path);
    std::string classes, members;
    for (const auto& c : site.classes) classes += ' ' + c.name;
    for (const auto& m : site.members) members += ' ' + m;
    note("config      classes:%s; members:%s", classes.c_str(), members.c_str());
}

void Dispatcher::start() {
    std::ifstream deploy(root_ + "/deploy/balancer.toml");
    std::string run;
    for (std::string line; std::getline(deploy, line);)
        if (line.rfind("run = \"", 0) == 0) run = line.substr(7, line.find('"', 7) - 7);
    if (run.empty()) throw std::runtime_error("the deploy file has no run line");
    ++starts_;
    const auto log = folder_ + "/log-" + std::to_string(starts_);
    const std::vector<std::string> environment = {"PROXY_NAME=n1",
                                                  "PROXY_LISTEN=127.0.0.1:" + std::to_string(port_),
                                                  "PROXY_DISCOVERY=" + discovery_,
                                                  "PROXY_STATE=" + folder_ + "/state",
                                                  "PROXY_CONFIG=" + folder_ + "/config.json",
                                                  "TMPDIR=" + folder_ + "/tmp",
                                                  "PATH=/usr/bin:/bin"};
    std::vector<char*> variables;
    for (const auto& variable : environment) variables.push_back(const_cast<char*>(variable.c_str()));
    variables.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(1);
        const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        if (::chdir(root_.c_str()) != 0) ::_exit(1);
        ::execle("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr), variables.data());
        ::_exit(1);
    }
    end_signal_ = exit_code_ = -1;
    note("dispatcher  start %d: %s", starts_, run.c_str());
}

bool Dispatcher::ready(double ms) {
    const bool up = wait_for(ms, [this] {
        Client client(port_);
        return client.send("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n") && client.answer(200).status == 200;
    });
    note("dispatcher  %s", up ? "is ready" : "is not ready");
    return up;
}

void Dispatcher::signal(int number) {
    note("dispatcher  signal %d", number);
    if (pid_ > 0) ::kill(pid_, number);
}

bool Dispatcher::ended(double ms) {
    if (pid_ <= 0) return true;
    int status = 0;
    if (!wait_for(ms, [&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; })) return false;
    pid_ = -1;
    end_signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    if (end_signal_ != 0)
        note("dispatcher  ended by signal %d", end_signal_);
    else
        note("dispatcher  ended with %d", exit_code_);
    return true;
}

void Dispatcher::start_beside() {
    former_ = std::exchange(pid_, -1);
    start();
}

// SIGTERM, and SIGKILL 3.7 s later.
void Dispatcher::retire() {
    if (former_ <= 0) return;
    note("dispatcher  the former process is told to stop");
    ::kill(former_, SIGTERM);
    if (!wait_for(3700, [this] { return ::waitpid(former_, nullptr, WNOHANG) == former_; })) {
        ::kill(former_, SIGKILL);
        ::waitpid(former_, nullptr, 0);
    }
    former_ = -1;
}

bool Dispatcher::planned_restart(const std::function<void()>& between) {
    const double told_at = now_ms();
    signal(SIGTERM);
    if (!ended(3700)) {
        signal(SIGKILL);
        ended(2000);
    }
    sleep_ms(std::max(0.0, told_at + 3700 - now_ms()));
    between();
    sleep_ms(600);
    start();
    return ready(30000);
}

std::string Dispatcher::log() const {
    std::ifstream in(folder_ + "/log-" + std::to_string(starts_));
    return {std::istreambuf_iterator<char>(in), {}};
}

bool trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int play(int argc, char** argv, const std::function<int(const std::string& root)>& plot) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s ROOT RECORD\n", argv[0]);
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    open_record(argv[2]);
    note("case        %s the disruption", trouble() ? "with" : "without");
    int end = 2;
    try {
        end = plot(argv[1]);
    } catch (const std::exception& fault) {
        note("case        could not run: %s", fault.what());
    }
    note("case        %s", end == 0 ? "the rule held" : end == 1 ? "the rule was broken" : "could not run");
    std::fflush(nullptr);
    ::_exit(end);  // threads of stand-ins that still hold an answer back go with the process
}

}  // namespace rig
