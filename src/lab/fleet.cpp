#include "lab/fleet.hpp"

#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "brasslift/members/v1/members.pb.h"
#include "config/json.hpp"
#include "http/writer.hpp"
#include "lab/site.hpp"

namespace brasslift::lab {
namespace {

namespace fs = std::filesystem;

}  // namespace

Fleet::Fleet(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
    folder_ = (fs::temp_directory_path() / "brasslift-fleet-XXXXXX").string();
    if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder for the fleet");
    end_.folder = folder_;
    begun_ = runtime::steady_now();
    partner_ = std::make_unique<Party>(scheduler_, [this](const auto& request) { return partner(request); });
    for (int i = 0; i < plan_.dispatchers; ++i) {
        auto fresh = std::make_unique<One>();
        fresh->name = "n" + std::to_string(i);
        fresh->folder = folder_ + '/' + fresh->name;
        fs::create_directories(fresh->folder + "/state");
        fresh->port = free_port(own_host());
        fresh->admin = free_port(own_host());
        fresh->member = free_port(own_host());
        fresh->to_partner = std::make_unique<Link>(scheduler_, local(partner_->port()), random_());
        fresh->agent = std::make_unique<Party>(
            scheduler_, [this, i](const auto& request) { return discovery(i, request); });
        fresh->to_probed = std::make_unique<Link>(scheduler_, local(partner_->port()), random_());
        fresh->to_discovery = std::make_unique<Link>(scheduler_, local(fresh->agent->port()), random_());
        all_.push_back(std::move(fresh));
    }
    for (int from = 0; from < plan_.dispatchers; ++from)
        for (int to = 0; to < plan_.dispatchers; ++to)
            if (from != to)
                links_[{from, to}] = std::make_unique<Link>(scheduler_, local(one(to).member), random_());
    for (int i = 0; i < plan_.dispatchers; ++i) write_files(i);
}

Fleet::~Fleet() {
    for (auto& each : all_) {
        each->process.signal(SIGCONT);
        each->process.kill();
    }
    scheduler_.drop_tasks();
    std::error_code error;
    if (!plan_.keep_folder) fs::remove_all(folder_, error);
}

void Fleet::write_files(int at) {
    auto& me = one(at);
    Site site;
    site.name = me.name;
    site.discovery = local_text(me.to_discovery->port());
    site.hosts = {{"s-1", local_text(me.to_partner->port()), served}};
    site.hosts.push_back({"s-2", local_text(me.to_probed->port()), probed});
    site.workers = site.send_cap = 64;
    site.most_held = 2000;
    site.sockets = 512;
    site.disk_mb = plan_.disk_mb;
    site.has_coop = at != plan_.without_coop;
    std::ofstream(me.folder + "/config.json") << site_config(site);
    std::ofstream(me.folder + "/operator.textproto") << operators_file(at, me.member);
}

std::string Fleet::operators_file(int at, std::uint16_t own_port) const {
    if (!plan_.members) return "bounds { head: \"16KiB\" }\n";
    std::ostringstream out;
    out << "members {\n  cluster: \"lab\"\n  contradiction: \"" << static_cast<int>(plan_.contradiction_ms)
        << "ms\"\n";
    if (!plan_.discovery.empty()) out << "  discovery: " << plan_.discovery << '\n';
    if (!plan_.leases) out << "  without_lease { routes: KEEP limits: KEEP policies: KEEP }\n";
    for (int i = 0; i < plan_.dispatchers; ++i) {
        const auto port = i == at ? own_port : link(at, i).port();
        out << "  member { name: \"" << one(i).name << "\" address: \"" << local_text(port)
            << "\" voter: " << (i < plan_.voters ? "ON" : "OFF") << " }\n";
    }
    out << "}\n";
    return out.str();
}

std::string number_after(const std::string& text, const std::string& key) {
    const auto at = text.find(key);
    if (at == std::string::npos) return "";
    const auto from = at + key.size();
    return text.substr(from, text.find_first_not_of("0123456789", from) - from);
}

std::map<std::string, std::string> Fleet::environment(const One& me) const {
    return {{"PROXY_NAME", me.name},
            {"PROXY_LISTEN", local_text(me.port)},
            {"PROXY_DISCOVERY", local_text(me.to_discovery->port())},
            {"PROXY_STATE", me.folder + "/state"},
            {"PROXY_CONFIG", me.folder + "/config.json"},
            {"PROXY_ADMIN", local_text(me.admin)},
            {"TMPDIR", me.folder}};
}

void Fleet::say(const std::string& what) { account_.note(what, now()); }

void Fleet::form_all() {
    if (!plan_.members) return;
    for (int i = 0; i < plan_.voters; ++i) {
        const auto& me = one(i);
        const int came =
            run_command({plan_.program, "members", "form", "--operator", me.folder + "/operator.textproto",
                         "--folder", me.folder + "/state", "--name", me.name},
                        {});
        if (came != 0) throw std::runtime_error(me.name + " cannot be formed: " + std::to_string(came));
    }
}

void Fleet::start(int at, std::uint64_t most_file_bytes) {
    auto& me = one(at);
    if (me.process.running()) return;
    if (!me.process.start({plan_.program, "serve", "--operator", me.folder + "/operator.textproto"},
                          environment(me), me.folder + "/log", most_file_bytes))
        throw std::runtime_error("no process can be started");
    me.stopped = false;
    say(me.name + " started");
}

void Fleet::start_double(int at) {
    const auto folder = folder_ + "/double";
    fs::create_directories(folder + "/state");
    std::ofstream(folder + "/operator.textproto") << operators_file(at, free_port(own_host()));
    auto told = environment(one(at));
    told["PROXY_STATE"] = folder + "/state";
    told["PROXY_LISTEN"] = local_text(free_port(own_host()));
    told["PROXY_ADMIN"] = local_text(free_port(own_host()));
    told["TMPDIR"] = folder;
    double_ = std::make_unique<Process>();
    double_->start({plan_.program, "serve", "--operator", folder + "/operator.textproto"}, told,
                   folder + "/log");
}

std::string Fleet::log_of_double() const {
    std::ifstream in(folder_ + "/double/log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

void Fleet::kill(int at) {
    one(at).process.kill();
    ++end_.kills;
    say(one(at).name + " killed");
}

runtime::Task<void> Fleet::kill_later(int at, double ms) {
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + ms);
    kill(at);
}

void Fleet::kill_after(int at, double ms) { scheduler_.spawn(kill_later(at, ms)); }

void Fleet::term(int at) {
    one(at).process.signal(SIGTERM);
    ++end_.terms;
    say(one(at).name + " told to end");
}

void Fleet::stop(int at) {
    one(at).process.signal(SIGSTOP);
    one(at).stopped = true;
    ++end_.stops;
    say(one(at).name + " stopped");
}

void Fleet::go_on(int at) {
    one(at).process.signal(SIGCONT);
    one(at).stopped = false;
    say(one(at).name + " goes on");
}

void Fleet::wipe(int at) {
    fs::remove_all(one(at).folder + "/state");
    fs::create_directories(one(at).folder + "/state");
    say(one(at).name + " lost its folder");
}

// Its requests do not arrive, and neither do its answers.
void Fleet::cut(int from, int to, bool is_cut) {
    Weather weather;
    weather.swallowed = is_cut;
    link(from, to).set(there, weather);
    link(to, from).set(back, weather);
    if (is_cut) ++end_.cuts;
    say(one(to).name + (is_cut ? " does not hear " : " hears ") + one(from).name);
}

void Fleet::isolate(int at, bool is_cut) {
    for (int other = 0; other < plan_.dispatchers; ++other) {
        if (other == at) continue;
        link(at, other).cut(is_cut);
        link(other, at).cut(is_cut);
    }
    if (is_cut) ++end_.cuts;
    say(one(at).name + (is_cut ? " is cut off" : " is back"));
}

void Fleet::heal() {
    for (auto& [ends, each] : links_) {
        each->set(there, {});
        each->set(back, {});
        each->cut(false);
    }
    say("links are whole");
}

void Fleet::run_for(double ms) { scheduler_.run_until(runtime::steady_now() + ms); }

bool Fleet::await(const std::function<bool()>& yes, double most_ms) {
    const double until = runtime::steady_now() + most_ms;
    for (;;) {
        if (yes()) return true;
        if (runtime::steady_now() >= until) return false;
        run_for(20);
    }
}

runtime::Task<void> Fleet::ask(std::uint16_t port, std::string request, double patience_ms,
                               std::shared_ptr<http::Message> into, std::shared_ptr<bool> done) {
    auto asking = ask_once(scheduler_, local(port), std::move(request), patience_ms);
    *into = co_await asking;
    *done = true;
}

http::Message Fleet::call_address(std::uint16_t port, std::string request, double patience_ms) {
    const auto into = std::make_shared<http::Message>();
    const auto done = std::make_shared<bool>(false);
    scheduler_.spawn(ask(port, std::move(request), patience_ms, into, done));
    const double until = runtime::steady_now() + patience_ms + 100;
    while (!*done && runtime::steady_now() < until) run_for(2);
    return *into;
}

http::Message Fleet::call(int at, const std::string& method, const std::string& target,
                          const std::string& body, double patience_ms) {
    return call_address(one(at).admin, http::write_request(method, target, {{"Host", "lab"}}, body),
                        patience_ms);
}

http::Message Fleet::call_member(int at, const std::string& target, const std::string& body) {
    return call_address(one(at).member, http::write_request("POST", target, {{"Host", "lab"}}, body), 1000);
}

double Fleet::cpu_ms(int at) {
    std::ifstream in("/proc/" + std::to_string(one(at).process.id()) + "/schedstat");
    double nanoseconds = 0;
    in >> nanoseconds;
    return nanoseconds / 1e6;
}

long Fleet::resident_kb(int at) {
    std::ifstream in("/proc/" + std::to_string(one(at).process.id()) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmRSS:")) return std::stol(line.substr(6));
    return 0;
}

std::uint64_t Fleet::member_bytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [ends, each] : links_) bytes += each->bytes();
    return bytes;
}

http::Message Fleet::publish(int at, const std::string& rules) {
    members::v1::RuleSet set;
    auto* const file = set.add_file();
    file->set_path("rules.textproto");
    file->set_text(rules);
    return call(at, "POST", "/rules?who=lab", set.SerializeAsString());
}

http::Message Fleet::set_voters(int at, const std::string& names) {
    return call(at, "POST", "/members/voters?names=" + names);
}

bool Fleet::voters_settled(int at) {
    return call(at, "GET", "/members", "", 500).body.find("\"voters_settled\":true") != std::string::npos;
}

http::Message Fleet::publish_list(int at, const std::string& name, const std::string& entries) {
    return call(at, "POST", "/lists?who=lab&file=entries.list&name=" + name, entries);
}

http::Message Fleet::change_list(int at, const std::string& name, const std::string& lines) {
    return call(at, "POST", "/lists/change?who=lab&file=change&name=" + name, lines);
}

std::string Fleet::list_digest(int at, const std::string& name) {
    const auto text = call(at, "GET", "/lists", "", 1000).body;
    const auto from = text.find("{\"name\":\"" + name + '"');
    if (from == std::string::npos) return "";
    const auto digest = text.find("\"digest\":\"", from) + 10;
    return text.substr(digest, text.find('"', digest) - digest);
}

std::uint64_t Fleet::list_version(int at, const std::string& name) {
    const auto text = call(at, "GET", "/lists", "", 1000).body;
    const auto from = text.find("{\"name\":\"" + name + '"');
    if (from == std::string::npos) return 0;
    return std::strtoull(number_after(text.substr(from), "\"version\":").c_str(), nullptr, 10);
}

std::string Fleet::rules_of(int number) {
    return "destination { number: 2 name: \"probed\" }\nroute { name: \"probe\" match { destination: \"2\" } "
           "refuse { pause: \"" +
           std::to_string(number) + "s\" } }\n";
}

std::uint64_t Fleet::acting(int at) {
    const auto answer = call(at, "GET", "/members", "", 300);
    return std::strtoull(number_after(answer.body, "\"acting\":").c_str(), nullptr, 10);
}

std::uint64_t Fleet::settled(int at) {
    const auto answer = call(at, "GET", "/members", "", 300);
    return std::strtoull(number_after(answer.body, "\"settled\":").c_str(), nullptr, 10);
}

int Fleet::leader() {
    for (int i = 0; i < plan_.dispatchers; ++i) {
        if (!one(i).process.running() || one(i).stopped) continue;
        const auto answer = call(i, "GET", "/members", "", 300);
        const auto name = number_after(answer.body, "\"leader\":\"n");
        if (!name.empty() && std::stoi(name) == i) return i;
    }
    return -1;
}

std::string Fleet::ready(int at) {
    const auto answer = call(at, "GET", "/ready", "", 300);
    return std::to_string(answer.status) + ' ' + answer.body;
}

std::string Fleet::log_of(int at) const {
    std::ifstream in(all_[static_cast<std::size_t>(at)]->folder + "/log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace brasslift::lab
