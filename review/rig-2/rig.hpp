// Stand-ins for the review's cases of the second review: the platform's agent (list, watch, notices),
// partners' endpoints, clients and the start of a dispatcher with the deploy file's command. Plain blocking
// sockets on loopback, a thread for each connection, the real clock.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// Milliseconds since the case began.
double now_ms();
void sleep_ms(double ms);
// Whether `done` came true within so long.
bool wait_for(double ms, const std::function<bool()>& done);

// record.txt, with the time before each line; also on standard output.
void open_record(const std::string& path);
void note(const char* format, ...) __attribute__((format(printf, 1, 2)));

struct Request {
    std::string method, target, body;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string header(const std::string& name) const;
};

// One accepted connection.
class Conn {
public:
    explicit Conn(int fd) : fd_(fd) {}
    ~Conn();
    Conn(const Conn&) = delete;
    Conn& operator=(const Conn&) = delete;
    bool send(const std::string& bytes);
    void answer(int status, const std::string& headers = "", const std::string& body = "");
    // False: the peer has ended or reset the connection.
    bool open();
    std::optional<Request> read();

private:
    int fd_;
    std::string buffer_;
};

using Handler = std::function<void(Conn&, const Request&)>;

class Server {
public:
    explicit Server(Handler handler);
    ~Server();
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    Handler handler_;
    int fd_ = -1, port_ = 0;
    std::thread accepting_;
    std::atomic<bool> over_{false};
};

// An entry of discovery's list.
struct Target {
    std::string uid, endpoint;
    int destination = 0;
    std::string state = "Ready";
    std::string zone = "room-a", model = "general-partner";
};
std::string as_json(const Target& target);

// The agent on the dispatcher's machine: answers at once with what it has, and takes notices.
class Agent {
public:
    Agent();
    std::string address() const { return server_->address(); }
    // Lists that target from now on, or says its new state, on every watch.
    void set(const Target& target);
    int revision();
    std::string whole_list();

    struct Told {
        double at = 0;
        std::string status;
        int again_ms = 0;
    };
    // The first notice for that id; nothing: none came.
    std::optional<Told> told(const std::string& id);

private:
    void serve(Conn& conn, const Request& request);
    void watch(Conn& conn, int after);
    std::mutex mutex_;
    std::vector<std::pair<int, Target>> targets_;  // with the revision of the latest change
    int revision_ = 1;
    std::map<std::string, Told> told_;
    std::unique_ptr<Server> server_;
};

// A call that reached an endpoint, which runs it.
struct Run {
    double at = 0;
    std::string endpoint, id, body;
};

// An endpoint: what has arrived whole runs; `answer` then decides how it is answered.
class Endpoint {
public:
    using Answer = std::function<void(Conn&, const Request&)>;
    Endpoint(std::string name, Answer answer);
    std::string address() const { return server_->address(); }
    const std::string& name() const { return name_; }
    std::vector<Run> runs();

private:
    std::string name_;
    Answer answer_;
    std::mutex mutex_;
    std::vector<Run> runs_;
    std::unique_ptr<Server> server_;
};

// What a client hands in.
struct Message {
    std::string message_class, id, owner, key, body;
    int destination = 0;
    double deadline_ms = 0;
    bool retry = false;
};
std::string request_of(const Message& message);

// How it went: the status, or why there is none.
struct Handed {
    int status = 0;
    std::string how;  // "answered", "refused connection", "no answer in 400 ms", "closed", "reset"
};
Handed hand_in(int port, const Message& message);

// A client's connection, for those that send more than one request on it.
class Client {
public:
    explicit Client(int port);
    ~Client();
    bool connected() const { return fd_ >= 0; }
    bool send(const std::string& bytes);
    // The next answer within so long.
    Handed answer(double ms);

private:
    int fd_ = -1;
    std::string buffer_;
};

// A class and a member of the settings.
struct ClassRule {
    std::string name, effect;  // pure, token or side_effect
    double deadline_ms = 28000, window_ms = 5000, aim_ms = 2000, worth = 1;
};
struct Site {
    std::vector<ClassRule> classes;
    std::vector<std::string> members;
    std::vector<Target> known;
    int revision = 1;
};
// The three classes and the three members of kigali-hub.
Site kigali();
std::string config_of(const Site& site, const std::string& listen, const std::string& discovery);

// One dispatcher: its folders, its config and its process, which is started by the deploy file's `run`.
class Dispatcher {
public:
    // `root`: the repository's.
    Dispatcher(std::string root, std::string discovery);
    ~Dispatcher();
    int port() const { return port_; }
    void configure(const Site& site);
    void start();
    bool ready(double ms);
    void signal(int number);
    // Whether it has ended within so long; how is noted.
    bool ended(double ms);
    // Starts another process over the same addresses and folders while this one serves; from now on signals
    // go to the new one, and the old one is told to stop by retire().
    void start_beside();
    void retire();
    // SIGTERM, 3.7 s for the process to end, SIGKILL where it is still there, and a start 0.6 s after that.
    bool planned_restart(const std::function<void()>& between = [] {});
    std::string log() const;
    // How it ended: 0 by itself, else the signal's number; -1: it runs.
    int end_signal() const { return end_signal_; }
    int exit_code() const { return exit_code_; }

private:
    std::string root_, discovery_, folder_;
    int port_ = 0, held_port_ = -1;
    pid_t pid_ = -1, former_ = -1;
    int end_signal_ = -1, exit_code_ = -1, starts_ = 0;
};

// Three more partners, which are well all the time, for the rest of the traffic: destinations 4 to 6 with two
// endpoints each, in the other rooms. They are added to the list as known.
std::vector<Endpoint*> add_well_partners(Site& site);
constexpr int first_well_partner = 4, well_partners = 3;
// Hands in so many payments for them, one after the other. Whether all were taken on.
bool hand_in_for_the_others(int port, const Site& site, int count);

// Whether the case runs with its disruption.
bool trouble();
// Runs the case: 0 the rule held, 1 it was broken, 2 the case could not run.
int play(int argc, char** argv, const std::function<int(const std::string& root)>& plot);

}  // namespace rig
