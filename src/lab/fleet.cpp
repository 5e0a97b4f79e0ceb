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
constexpr int served = 1,
              probed = 2;  // destinations; the rules refuse the second with a pause that tells them

std::string number_after(const std::string& text, const std::string& key) {
    const auto at = text.find(key);
    if (at == std::string::npos) return "";
    const auto from = at + key.size();
    return text.substr(from, text.find_first_not_of("0123456789", from) - from);
}

}  // namespace

Fleet::Fleet(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
    folder_ = (fs::temp_directory_path() / "brasslift-fleet-XXXXXX").string();
    if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder for the fleet");
    end_.folder = folder_;
    begun_ = runtime::steady_now();
    partner_ = std::make_unique<Party>(scheduler_, [this](const auto& request) { return partner(request); });
    discovery_ =
        std::make_unique<Party>(scheduler_, [this](const auto& request) { return discovery(request); });
    for (int i = 0; i < plan_.dispatchers; ++i) {
        auto fresh = std::make_unique<One>();
        fresh->name = "n" + std::to_string(i);
        fresh->folder = folder_ + '/' + fresh->name;
        fs::create_directories(fresh->folder + "/state");
        fresh->port = free_port();
        fresh->admin = free_port();
        fresh->member = free_port();
        fresh->to_partner = std::make_unique<Link>(scheduler_, local(partner_->port()), random_());
        fresh->to_discovery = std::make_unique<Link>(scheduler_, local(discovery_->port()), random_());
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
    site.hosts.push_back({"s-2", local_text(me.to_partner->port()), probed});
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
    if (!plan_.leases) out << "  without_lease { routes: KEEP limits: KEEP policies: KEEP }\n";
    for (int i = 0; i < plan_.dispatchers; ++i) {
        const auto port = i == at ? own_port : link(at, i).port();
        out << "  member { name: \"" << one(i).name << "\" address: \"" << local_text(port)
            << "\" voter: " << (i < plan_.voters ? "ON" : "OFF") << " }\n";
    }
    out << "}\n";
    return out.str();
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
    std::ofstream(folder + "/operator.textproto") << operators_file(at, free_port());
    auto told = environment(one(at));
    told["PROXY_STATE"] = folder + "/state";
    told["PROXY_LISTEN"] = local_text(free_port());
    told["PROXY_ADMIN"] = local_text(free_port());
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

Party::Reply Fleet::partner(const http::Message& request) {
    Party::Reply reply;
    const auto ids = ids_of(request);
    for (const auto& id : ids) {
        account_.called(id, now());
        if (request.target == "/inbox/bulk") reply.body += id + " done\r\n";
    }
    reply.after_ms = 5 + static_cast<double>(random_() % 60);
    reply.told = [this, ids](bool) {
        // The call has run, whoever still listens.
        for (const auto& id : ids) account_.call_ended(id, 200, now());
    };
    return reply;
}

Party::Reply Fleet::discovery(const http::Message& request) {
    Party::Reply reply;
    if (request.target != "/v1/outcomes") {
        reply.status = -1;  // a watch without news
        return reply;
    }
    for (std::string_view rest = request.body; !rest.empty();) {
        const auto line = rest.substr(0, rest.find('\n'));
        const auto from = line.find("\"id\":\"") + 6;
        account_.told(std::string(line.substr(from, line.find('"', from) - from)),
                      line.find("undeliverable") != std::string_view::npos ? "undeliverable" : "deferred",
                      now());
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    }
    reply.status = 204;
    return reply;
}

std::string Fleet::message(int destination, const char* kind, const std::string& id) const {
    return http::write_request("POST", std::string("/") + kind,
                               {{"Req-Id", id},
                                {"Req-Owner", "acme"},
                                {"Req-Deadline", "8000m"},
                                {"Idempotency-Key", "k" + id},
                                {"X-Addressing", "dest=" + std::to_string(destination)}},
                               "message " + id);
}

// Hands in a message for the partner, then one whose answer tells the rules, and so on.
runtime::Task<void> Fleet::client(int at) {
    static const char* const kinds[] = {"safe", "keyed", "payment"};
    for (int turn = static_cast<int>(random_() % 100);; ++turn) {
        const double pause = plan_.client_every_ms * (0.5 + static_cast<double>(random_() % 1000) / 1000);
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + pause);
        if (!clients_on_ || !one(at).process.running()) continue;
        const bool probes = turn % 2 == 0;
        const auto id = "m" + std::to_string(next_message_++);
        const char* const kind = probes ? "safe" : kinds[turn / 2 % 3];
        const double sent = now();
        account_.handed_in(id, one(at).name, std::string_view(kind) == "payment", sent);
        auto request = message(probes ? probed : served, kind, id);
        auto asking = ask_once(scheduler_, local(one(at).port), std::move(request), 400);
        const auto answer = co_await asking;
        account_.answered(id, answer.status, now());
        if (answer.status == 503) account_.turned_away(one(at).name, now());
        if (!probes) continue;
        const auto* const pause_told = answer.headers.find("Retry-After");
        if (answer.status == 202) account_.acted(one(at).name, 0, sent, now());
        if (answer.status == 429 && pause_told != nullptr)
            account_.acted(one(at).name, std::strtoull(pause_told->c_str(), nullptr, 10), sent, now());
    }
}

int Fleet::probe(int at) {
    const auto answer =
        call_address(one(at).port, message(probed, "safe", "p" + std::to_string(next_message_++)), 1000);
    if (answer.status == 202) return 0;
    const auto* const pause = answer.headers.find("Retry-After");
    return answer.status == 429 && pause != nullptr ? std::atoi(pause->c_str()) : -1;
}

runtime::Task<void> Fleet::publisher() {
    while (publishing_) {
        const double pause =
            plan_.publish_every_ms * (0.2 + 1.6 * static_cast<double>(random_() % 1000) / 1000);
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + pause);
        const int at = static_cast<int>(random_() % static_cast<unsigned>(plan_.dispatchers));
        if (!publishing_ || !one(at).process.running() || one(at).stopped) continue;
        // The version that it is going to be is not known before; what tells versions apart is the order.
        members::v1::RuleSet set;
        auto* const file = set.add_file();
        file->set_path("rules.textproto");
        const int number = next_rules_++;
        file->set_text(rules_of(number));
        const double sent = now();
        say("rules " + std::to_string(number) + " published at " + one(at).name);
        auto asking = ask_once(
            scheduler_, local(one(at).admin),
            http::write_request("POST", "/rules?who=lab", {{"Host", "lab"}}, set.SerializeAsString()), 13000);
        const auto answer = co_await asking;
        say("rules " + std::to_string(number) + " came to " + std::to_string(answer.status) + ' ' +
            answer.body);
        if (answer.status == 200) {
            ++end_.published;
            end_.publish_ms.push_back(now() - sent);
            everywhere_[std::strtoull(number_after(answer.body, "\"version\":").c_str(), nullptr, 10)] = sent;
        } else {
            ++(answer.status == 409 ? end_.refused : end_.no_majority);
        }
    }
}

void Fleet::fault() {
    const auto chance = [this](int most) {
        return static_cast<int>(random_() % static_cast<unsigned>(most));
    };
    const int at = chance(plan_.dispatchers);
    auto& me = one(at);
    switch (chance(8)) {
        case 0:
            if (!me.process.running()) return;
            kill(at);
            if (plan_.wipes && chance(3) == 0) wipe(at);
            me.down_until = now() + chance(4000);
            return;
        case 1:
            if (!me.process.running() || me.stopped) return;
            term(at);
            me.down_until = now() + 4000;
            return;
        case 2:
        case 3:
            if (!me.process.running() || me.stopped) return;
            stop(at);
            me.stopped_until = now() + 500 + chance(6000);
            return;
        case 4: {
            const int other = (at + 1 + chance(plan_.dispatchers - 1)) % plan_.dispatchers;
            return cut(at, other, true);
        }
        case 5: return isolate(at, true);
        case 6:
            for (auto& [ends, each] : links_)
                each->set(there,
                          {static_cast<double>(chance(30)), static_cast<double>(chance(60)), false, false});
            return say("links are slow");
        default: return heal();
    }
}

void Fleet::start_clients() {
    for (int i = 0; i < plan_.dispatchers; ++i) scheduler_.spawn(client(i));
}

FleetEnd Fleet::play(const std::function<void(Fleet&)>& watch) {
    form_all();
    for (int i = 0; i < plan_.dispatchers; ++i) start(i);
    start_clients();
    publishing_ = true;
    scheduler_.spawn(publisher());
    double next_fault = 2500, next_watch = 0;
    const double healed = plan_.faults_ms;
    for (bool whole = false; now() < healed + plan_.settle_ms;) {
        run_for(10);
        if (plan_.fault_every_ms > 0 && !whole && now() >= next_fault) {
            fault();
            next_fault =
                now() + plan_.fault_every_ms * (0.3 + 1.4 * static_cast<double>(random_() % 1000) / 1000);
        }
        if (now() >= healed && !whole) {
            whole = true;
            publishing_ = false;
            heal();
        }
        for (int i = 0; i < plan_.dispatchers; ++i) {
            auto& me = one(i);
            if (me.stopped && (whole || now() >= me.stopped_until)) go_on(i);
            if (!me.process.running() && (whole || now() >= me.down_until)) start(i);
        }
        if (whole && now() > healed + 3000) clients_on_ = false;
        if (watch && now() >= next_watch) {
            watch(*this);
            next_watch = now() + 500;
        }
        // One that was told to end just before takes its 3.6 s for that, and then starts again.
        if (whole && now() > healed + 4500 && account_.open() == 0 && alike()) break;
    }
    return verdict();
}

bool Fleet::alike() {
    const auto first = acting(0);
    for (int i = 1; i < plan_.dispatchers; ++i)
        if (acting(i) != first) return false;
    return true;
}

FleetEnd Fleet::verdict() {
    auto end = end_;
    end.broken = account_.broken(plan_.contradiction_ms);
    end.longest_contradiction_ms = account_.longest_contradiction();
    end.taken = account_.taken();
    end.turned_away = account_.turned_away();
    end.acts = account_.acts();
    std::uint64_t latest = 0;
    std::vector<std::uint64_t> all;
    for (int i = 0; i < plan_.dispatchers; ++i) all.push_back(acting(i));
    for (const auto each : all) latest = std::max(latest, each);
    for (int i = 0; i < plan_.dispatchers; ++i)
        if (all[static_cast<std::size_t>(i)] != latest)
            end.broken.push_back(one(i).name + " acts on " +
                                 std::to_string(all[static_cast<std::size_t>(i)]) + ", others on " +
                                 std::to_string(latest) + ", and nothing is broken any more");
    return end;
}

}  // namespace brasslift::lab
