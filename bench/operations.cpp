// What operating by the day costs, on the real program among loopback peers: `operations PROGRAM`. Prints
// messages turned back unheard while the process is replaced, the longest answer to an operator while a crowd
// holds all that clients may hold, the time from an undrain to a yes, and the memory of an idle connection.
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "runtime/descriptor.hpp"
#include "runtime/scheduler.hpp"
#include "site.hpp"

namespace {

using brasslift::runtime::Descriptor;
using brasslift::runtime::steady_now;

sockaddr_in at_port(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    return at;
}

Descriptor listen_somewhere(std::uint16_t& port) {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto at = at_port(0);
    socklen_t size = sizeof at;
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd.get(), 1024) != 0)
        std::perror("listen"), std::exit(1);
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

Descriptor connect_to(std::uint16_t port) {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto at = at_port(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
    return fd;
}

bool put(int fd, const std::string& text) {
    return ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// An answer's first line and head, or what came of it within so long.
std::string answer(int fd, int ms) {
    std::string seen;
    const double until = steady_now() + ms;
    while (seen.find("\r\n\r\n") == std::string::npos) {
        pollfd state{fd, POLLIN, 0};
        const int left = static_cast<int>(until - steady_now());
        if (left <= 0 || ::poll(&state, 1, left) <= 0) break;
        char part[4096];
        const auto got = ::recv(fd, part, sizeof part, 0);
        if (got <= 0) break;
        seen.append(part, static_cast<std::size_t>(got));
    }
    return seen;
}

// A peer that says the same to everything.
void answer_all(int listener, const char* status) {
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([fd, status] {
            const Descriptor own(fd);
            std::string seen;
            char part[65536];
            for (;;) {
                const auto got = ::recv(fd, part, sizeof part, 0);
                if (got <= 0) return;
                seen.append(part, static_cast<std::size_t>(got));
                for (std::size_t end; (end = seen.find("\r\n\r\n")) != std::string::npos;) {
                    const auto length = seen.find("Content-Length: ");
                    const std::size_t body =
                        length < end ? std::strtoul(seen.c_str() + length + 16, nullptr, 10) : 0;
                    if (seen.size() < end + 4 + body) break;
                    const auto frames = seen.substr(end + 4, body);
                    const bool bulk = seen.find("/inbox/bulk") < end;
                    seen.erase(0, end + 4 + body);
                    std::string done;
                    for (std::size_t line = 0; bulk && line < frames.size();) {
                        const auto stop = frames.find("\r\n", line);
                        const auto head = frames.substr(line, stop - line);
                        done += head.substr(0, head.find(' ')) + " done\r\n";
                        line = stop + 4 + std::strtoul(head.c_str() + head.rfind(' '), nullptr, 10);
                    }
                    if (!put(fd, std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: " +
                                     std::to_string(done.size()) + "\r\n\r\n" + done))
                        return;
                }
            }
        }).detach();
    }
}

struct Bench {
    std::string program, folder;
    std::uint16_t port = 0, admin = 0, host = 0, discovery = 0;
    Descriptor hosts, agents;

    Bench(std::string p, int sockets) : program(std::move(p)) {
        folder = (std::filesystem::temp_directory_path() / "brasslift-ops-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr) std::exit(1);
        std::filesystem::create_directory(folder + "/state");
        hosts = listen_somewhere(host);
        agents = listen_somewhere(discovery);
        std::thread(answer_all, hosts.get(), "200").detach();
        std::thread(answer_all, agents.get(), "204").detach();
        listen_somewhere(port);
        brasslift::test::Site site;
        site.discovery = "127.0.0.1:" + std::to_string(discovery);
        site.hosts = {{"s-1", "127.0.0.1:" + std::to_string(host), 1}};
        site.sockets = sockets;
        site.most_held = 2000;
        std::ofstream(folder + "/config.json") << brasslift::test::site_config(site);
    }
    ~Bench() {
        std::error_code error;
        std::filesystem::remove_all(folder, error);
    }

    pid_t start() {
        { listen_somewhere(admin); }
        const std::vector<std::pair<const char*, std::string>> told{
            {"PROXY_NAME", "n1"},
            {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(port)},
            {"PROXY_ADMIN", "127.0.0.1:" + std::to_string(admin)},
            {"PROXY_DISCOVERY", "127.0.0.1:" + std::to_string(discovery)},
            {"PROXY_STATE", folder + "/state"},
            {"PROXY_CONFIG", folder + "/config.json"},
            {"TMPDIR", folder}};
        const pid_t child = ::fork();
        if (child == 0) {
            for (const auto& [name, value] : told) ::setenv(name, value.c_str(), 1);
            if (std::freopen((folder + "/log").c_str(), "a", stderr) == nullptr) ::_exit(1);
            ::execl(program.c_str(), program.c_str(), nullptr);
            ::_exit(127);
        }
        while (!yes(admin, "GET /ready")) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return child;
    }
    static bool yes(std::uint16_t to, const std::string& call) {
        const auto fd = connect_to(to);
        return fd && put(fd.get(), call + " HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n") &&
               answer(fd.get(), 2000).find(" 200 ") != std::string::npos;
    }
    static void end(pid_t child) {
        ::kill(child, SIGTERM);
        ::waitpid(child, nullptr, 0);
    }
};

std::string message(const std::string& id) {
    return "POST /safe HTTP/1.1\r\nHost: app\r\nReq-Id: " + id +
           "\r\nReq-Owner: acme\r\nReq-Deadline: 9000m\r\nX-Addressing: dest=1\r\nContent-Length: "
           "5\r\n\r\nhello";
}

void turned_back(const std::string& program, int upgrades) {
    Bench bench(program, 1024);
    pid_t child = bench.start();
    std::atomic<bool> over{false};
    std::atomic<int> heard{0}, unheard{0}, again{0}, late{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 16; ++i)  // half of them keep their connection
        clients.emplace_back([&, i] {
            Descriptor kept;
            for (int n = 0; !over; ++n) {
                const bool keeps = i % 2 == 0;
                const auto text = message(std::to_string(i) + "x" + std::to_string(n));
                const bool used = static_cast<bool>(kept);
                if (!kept) kept = connect_to(bench.port);
                const double sent = steady_now();
                auto said = kept && put(kept.get(), text) ? answer(kept.get(), 2000) : std::string();
                if (said.empty() && used) {  // its close crossed the request: once more on a new connection
                    ++again;
                    kept = connect_to(bench.port);
                    said = kept && put(kept.get(), text) ? answer(kept.get(), 2000) : std::string();
                }
                ++(said.empty() ? unheard : heard);
                if (steady_now() - sent > 400) ++late;
                if (!keeps || said.empty()) kept.reset();
                std::this_thread::sleep_for(std::chrono::milliseconds(3));
            }
        });
    std::vector<double> ready;
    for (int i = 0; i < upgrades; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        const double begun = steady_now();
        const pid_t next = bench.start();
        ready.push_back(steady_now() - begun);
        Bench::end(child);
        child = next;
    }
    over = true;
    for (auto& c : clients) c.join();
    Bench::end(child);
    std::sort(ready.begin(), ready.end());
    std::printf(
        "%d upgrades, %d messages: unheard %d, handed in again %d, answered after 400 ms %d; ready after "
        "%.0f ms "
        "(median), %.0f (longest)\n",
        upgrades, heard + unheard, unheard.load(), again.load(), late.load(), ready[ready.size() / 2],
        ready.back());
}

void crowd(const std::string& program) {
    Bench bench(program, 512);
    const pid_t child = bench.start();
    std::atomic<bool> over{false};
    std::vector<std::thread> crowds;
    for (int i = 0; i < 4; ++i)  // each comes anew as it is sent away
        crowds.emplace_back([&] {
            std::vector<Descriptor> held(300);
            for (std::size_t n = 0; !over; ++n) {
                auto& place = held[n % held.size()];
                place = connect_to(bench.port);
                if (place && n % 3 != 0) put(place.get(), "POST /safe HTTP/1.1\r\nReq-Id: half");
            }
        });
    std::vector<Descriptor> hung(10);
    double longest = 0;
    int calls = 0, no = 0;
    for (int i = 0; i < 500; ++i) {
        hung[static_cast<std::size_t>(i) % hung.size()] = connect_to(bench.admin);
        const double begun = steady_now();
        no += Bench::yes(bench.admin, i % 2 == 0 ? "GET /ready" : "GET /metrics") ? 0 : 1;
        longest = std::max(longest, steady_now() - begun);
        ++calls;
    }
    over = true;
    for (auto& c : crowds) c.join();
    Bench::end(child);
    std::printf("%d operators' calls amid a crowd: %d not answered with yes, the longest %.1f ms\n", calls,
                no, longest);
}

void undrain(const std::string& program) {
    Bench bench(program, 512);
    const pid_t child = bench.start();
    double longest = 0;
    for (int i = 0; i < 50; ++i) {
        if (!Bench::yes(bench.admin, "PUT /drain") || Bench::yes(bench.port, "GET /up"))
            std::printf("no drain\n");
        const double begun = steady_now();
        Bench::yes(bench.admin, "PUT /undrain");
        while (!Bench::yes(bench.port, "GET /up")) {}
        longest = std::max(longest, steady_now() - begun);
    }
    Bench::end(child);
    std::printf("50 undrains: a yes after %.2f ms at the latest\n", longest);
}

long memory_of(pid_t child) {
    std::ifstream in("/proc/" + std::to_string(child) + "/smaps_rollup");
    for (std::string word; in >> word;)
        if (long kb = 0; word == "Private_Dirty:" && in >> kb) return kb;
    return 0;
}

void memory(const std::string& program) {
    Bench bench(program, 9000);
    const pid_t child = bench.start();
    std::vector<Descriptor> held;
    const auto add = [&](int count, const std::string& text) {
        for (int i = 0; i < count; ++i) {
            held.push_back(connect_to(bench.port));
            if (!text.empty()) put(held.back().get(), text);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    };
    add(100, "");
    const long before = memory_of(child);
    add(2000, "");
    const long silent = memory_of(child);
    held.clear();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    add(2000, "POST /safe HTTP/1.1\r\nReq-Id: half\r\nReq-Owner: acme\r\nReq-Deadline: 90");
    const long half = memory_of(child);
    Bench::end(child);
    std::printf("memory of the program's own: %.2f KB a silent connection, %.2f KB one in mid-head\n",
                static_cast<double>(silent - before) / 2000, static_cast<double>(half - before) / 2000);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 2) return std::fprintf(stderr, "usage: operations PROGRAM [UPGRADES]\n"), 2;
    ::signal(SIGPIPE, SIG_IGN);
    turned_back(argv[1], argc > 2 ? std::atoi(argv[2]) : 20);
    crowd(argv[1]);
    undrain(argv[1]);
    memory(argv[1]);
    std::fflush(stdout);
    std::_Exit(0);  // peers' threads are still there
}
