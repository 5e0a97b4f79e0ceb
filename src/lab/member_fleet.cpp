#include "lab/member_fleet.hpp"

#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "brasslift/members/v1/members.pb.h"
#include "http/writer.hpp"
#include "lab/fleet.hpp"
#include "lab/site.hpp"
#include "members/node.hpp"

namespace brasslift::lab {
namespace {

namespace fs = std::filesystem;

constexpr double look_ms = 20, patience_ms = 1000;
constexpr double disk_mb = 40;

std::string beside(const std::string& program) {
    const auto here = fs::read_symlink("/proc/self/exe").parent_path();
    for (const auto& folder : {fs::path(program).parent_path(), here})
        if (fs::exists(folder / "brasslift-hollow")) return (folder / "brasslift-hollow").string();
    throw std::runtime_error("brasslift-hollow lies neither beside the dispatcher nor beside this program");
}

std::uint64_t number_in(const std::string& text, const std::string& key) {
    return std::strtoull(number_after(text, key).c_str(), nullptr, 10);
}

}  // namespace

void LeaseGaps::add(const LeaseGaps& more) {
    members += more.members;
    without_now += more.without_now;
    without_ever += more.without_ever;
    longest_ms = std::max(longest_ms, more.longest_ms);
}

MemberFleet::MemberFleet(const Plan& plan) : plan_(plan), hollow_program_(beside(plan.program)) {
    folder_ = (fs::temp_directory_path() / "brasslift-members-XXXXXX").string();
    if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder for the members");
    // Discovery has no news.
    discovery_ = std::make_unique<Party>(scheduler_, [](const http::Message& request) {
        Party::Reply reply;
        reply.status = request.target == "/v1/outcomes" ? 204 : -1;
        return reply;
    });
    const int real = std::min(plan_.members, plan_.voters + dispatchers);
    for (int i = 0; i < real; ++i) {
        auto fresh = std::make_unique<One>();
        fresh->name = "n" + std::to_string(i);
        fresh->folder = folder_ + '/' + fresh->name;
        fs::create_directories(fresh->folder + "/state");
        fresh->port = free_port(own_host());
        fresh->admin = free_port(own_host());
        fresh->member = free_port(own_host());
        real_.push_back(std::move(fresh));
    }
    for (int i = real; i < plan_.members; ++i)
        hollow_.emplace_back("n" + std::to_string(i), free_port(own_host()));
    const auto groups = std::min<std::size_t>(hollow_processes, hollow_.size());
    for (std::size_t i = 0; i < groups; ++i) {
        groups_.push_back(std::make_unique<Group>());
        groups_.back()->folder = folder_ + "/hollow" + std::to_string(i);
        fs::create_directories(groups_.back()->folder);
    }
    for (std::size_t i = 0; i < hollow_.size(); ++i) groups_[i % groups]->names.push_back(hollow_[i].first);
    for (int from = 0; from < real; ++from)
        for (int to = 0; to < real; ++to)
            if (from != to)
                links_[{from, to}] =
                    std::make_unique<Link>(scheduler_, local(one(to).member), plan_.seed + links_.size());
    write_files();
}

MemberFleet::~MemberFleet() {
    for (auto& each : real_) each->process.kill();
    for (auto& each : groups_) each->process.kill();
    scheduler_.drop_tasks();
    std::error_code error;
    fs::remove_all(folder_, error);
}

std::string MemberFleet::operators_file(int at) const {
    std::ostringstream out;
    out << "members {\n  cluster: \"lab\"\n  contradiction: \"3s\"\n";
    const auto member = [&](const std::string& name, std::uint16_t port, bool votes) {
        out << "  member { name: \"" << name << "\" address: \"" << local_text(port)
            << "\" voter: " << (votes ? "ON" : "OFF") << " }\n";
    };
    for (int i = 0; i < real(); ++i) {
        const auto& each = *real_[static_cast<std::size_t>(i)];
        const bool direct = at < 0 || at == i;
        member(each.name, direct ? each.member : links_.at({at, i})->port(), i < plan_.voters);
    }
    for (const auto& [name, port] : hollow_) member(name, port, false);
    out << "}\n";
    return out.str();
}

std::string MemberFleet::config_of(const One& me) const {
    Site site;
    site.name = me.name;
    site.discovery = local_text(discovery_->port());
    site.hosts = {{"s-1", local_text(discovery_->port()), served},
                  {"s-2", local_text(discovery_->port()), probed}};
    site.sockets = 8192;
    site.disk_mb = disk_mb;
    return site_config(site);
}

void MemberFleet::write_files() {
    for (int i = 0; i < real(); ++i) {
        std::ofstream(one(i).folder + "/config.json") << config_of(one(i));
        std::ofstream(one(i).folder + "/operator.textproto") << operators_file(i);
    }
    std::ofstream(folder_ + "/hollow.textproto") << operators_file(-1);
}

std::vector<pid_t> MemberFleet::hollow_ids() const {
    std::vector<pid_t> ids;
    for (const auto& group : groups_)
        if (group->process.id() > 0) ids.push_back(group->process.id());
    return ids;
}

std::string MemberFleet::log_of(int at) const {
    std::ifstream in(real_[static_cast<std::size_t>(at)]->folder + "/log");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

void MemberFleet::start_all() {
    for (int i = 0; i < plan_.voters; ++i) {
        const auto& me = one(i);
        const int came =
            run_command({plan_.program, "members", "form", "--operator", me.folder + "/operator.textproto",
                         "--folder", me.folder + "/state", "--name", me.name},
                        {});
        if (came != 0) throw std::runtime_error(me.name + " cannot be formed: " + std::to_string(came));
    }
    for (int i = 0; i < groups(); ++i) start_group(i);
    for (int i = 0; i < real(); ++i) start(i);
}

void MemberFleet::start(int at) {
    auto& me = one(at);
    if (me.process.running()) return;
    const std::map<std::string, std::string> environment{{"PROXY_NAME", me.name},
                                                         {"PROXY_LISTEN", local_text(me.port)},
                                                         {"PROXY_DISCOVERY", local_text(discovery_->port())},
                                                         {"PROXY_STATE", me.folder + "/state"},
                                                         {"PROXY_CONFIG", me.folder + "/config.json"},
                                                         {"PROXY_ADMIN", local_text(me.admin)},
                                                         {"TMPDIR", me.folder}};
    me.process.end_with_parent();
    if (!me.process.start({plan_.program, "serve", "--operator", me.folder + "/operator.textproto"},
                          environment, me.folder + "/log"))
        throw std::runtime_error("no process can be started");
}

void MemberFleet::start_group(int group, double down_since) {
    auto& me = of(group);
    if (me.process.running()) return;
    me.address = {};
    me.active.clear();
    fs::remove(me.folder + "/address");
    std::vector<std::string> words{hollow_program_, folder_ + "/hollow.textproto", me.folder,
                                   std::to_string(down_since)};
    words.insert(words.end(), me.names.begin(), me.names.end());
    me.process.end_with_parent();
    if (!me.process.start(words, {}, me.folder + "/log"))
        throw std::runtime_error("no process can be started");
}

void MemberFleet::part(const std::set<int>& zones) {
    const auto apart = [&](int a, int b) { return zones.count(a) != zones.count(b); };
    for (auto& [ends, link] : links_) {
        Weather weather;
        weather.swallowed = apart(zone_of(ends.first), zone_of(ends.second));
        link->set(there, weather);
        link->set(back, weather);
    }
    for (int i = 0; i < groups(); ++i) {
        std::string names;
        for (int at = 0; at < real(); ++at)
            if (apart(zone_of_group(i), zone_of(at))) names += (names.empty() ? "" : ",") + one(at).name;
        if (find_address(of(i))) call_address(of(i).address, "POST", "/part?from=" + names, "", patience_ms);
    }
}

void MemberFleet::run_for(double ms) { scheduler_.run_until(runtime::steady_now() + ms); }

bool MemberFleet::await(const std::function<bool()>& yes, double most_ms) {
    const double until = runtime::steady_now() + most_ms;
    for (;;) {
        if (yes()) return true;
        if (runtime::steady_now() >= until) return false;
        run_for(10);
    }
}

runtime::Task<void> MemberFleet::ask(runtime::Address to, std::string request, double patience_ms,
                                     std::shared_ptr<http::Message> into, std::shared_ptr<int> open) {
    auto asking = ask_once(scheduler_, to, std::move(request), patience_ms);
    *into = co_await asking;
    --*open;
}

http::Message MemberFleet::call_address(runtime::Address to, const std::string& method,
                                        const std::string& target, const std::string& body,
                                        double patience_ms) {
    const auto into = std::make_shared<http::Message>();
    const auto open = std::make_shared<int>(1);
    scheduler_.spawn(
        ask(to, http::write_request(method, target, {{"Host", "lab"}}, body), patience_ms, into, open));
    const double until = runtime::steady_now() + patience_ms + 100;
    while (*open > 0 && runtime::steady_now() < until) run_for(1);
    return *into;
}

http::Message MemberFleet::call(int at, const std::string& method, const std::string& target,
                                const std::string& body, double patience_ms) {
    return call_address(local(one(at).admin), method, target, body, patience_ms);
}

int MemberFleet::leader() {
    for (int i = 0; i < plan_.voters; ++i) {
        if (!real_runs(i)) continue;
        const auto answer = call(i, "GET", "/members", "", patience_ms);
        if (answer.body.find("\"leader\":\"" + one(i).name + '"') != std::string::npos) return i;
    }
    return -1;
}

std::uint64_t MemberFleet::term(int at) {
    return number_in(call(at, "GET", "/members", "", patience_ms).body, "\"term\":");
}

std::uint64_t MemberFleet::version_in(const http::Message& answer) {
    return answer.status == 200 ? number_in(answer.body, "\"version\":") : 0;
}

http::Message MemberFleet::publish(int at) {
    auto rules = Fleet::rules_of(++published_ % 40 + 1);
    for (int i = 0; i < lists; ++i)
        rules += "list { name: \"l" + std::to_string(i) + "\" holds: DESTINATIONS_SHUT }\n";
    members::v1::RuleSet set;
    auto* const file = set.add_file();
    file->set_path("rules.textproto");
    file->set_text(rules);
    return call(at, "POST", "/rules?who=lab", set.SerializeAsString());
}

int MemberFleet::burst(int at) {
    const auto open = std::make_shared<int>(0);
    std::vector<std::shared_ptr<http::Message>> answers;
    const auto entry = "+ " + std::to_string(100 + ++bursts_) + '\n';
    for (int i = 0; i < lists; ++i) {
        answers.push_back(std::make_shared<http::Message>());
        ++*open;
        const auto target = "/lists/change?who=lab&file=change&name=l" + std::to_string(i);
        scheduler_.spawn(ask(local(one(at).admin),
                             http::write_request("POST", target, {{"Host", "lab"}}, entry), 13000,
                             answers.back(), open));
    }
    await([&] { return *open == 0; }, 14000);
    return static_cast<int>(std::count_if(answers.begin(), answers.end(),
                                          [](const auto& answer) { return answer->status == 200; }));
}

std::uint64_t MemberFleet::agreed(int at) {
    return number_in(call(at, "GET", "/metrics", "", patience_ms).body, "app.members_agreed:");
}

void MemberFleet::see(One& me, const std::string& figures) {
    const double now = members::boot_now();
    const bool has = number_in(figures, "app.members_lease:") == 1;
    if (has && me.without_since > 0) {
        me.longest_ms = std::max(me.longest_ms, now - me.without_since);
        me.without_since = 0;
    } else if (!has && me.without_since == 0) {
        me.without_since = now;
    }
    me.without_ever = me.without_ever || !has;
    me.leased = has;
    me.active.emplace(number_in(figures, "app.members_version:"), now);
    me.settled.emplace(number_in(figures, "app.members_settled:"), now);
}

// What a process that was down says next counts as news; that it was down does not.
runtime::Task<void> MemberFleet::watch_real(int at) {
    while (watching_) {
        http::Message answer;
        if (one(at).process.id() > 0) {
            auto asking =
                ask_once(scheduler_, local(one(at).admin),
                         http::write_request("GET", "/metrics", {{"Host", "lab"}}, ""), patience_ms);
            answer = co_await asking;
        }
        if (answer.status == 200) see(one(at), answer.body);
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + look_ms);
    }
}

void MemberFleet::watch(bool on) {
    if (on == watching_) return;
    watching_ = on;
    if (on)
        for (int i = 0; i < real(); ++i) scheduler_.spawn(watch_real(i));
    else
        run_for(2 * look_ms);  // so that none is left to run beside the next ones
}

bool MemberFleet::find_address(Group& group) {
    if (group.address.port != 0) return true;
    std::string text;
    std::ifstream(group.folder + "/address") >> text;
    if (const auto address = runtime::parse_address(text)) group.address = *address;
    return group.address.port != 0;
}

bool MemberFleet::ask_state(Group& group) {
    if (!group.process.running() || !find_address(group)) return false;
    const auto answer = call_address(group.address, "GET", "/state", "", patience_ms);
    if (answer.status != 200) return false;
    group.gaps = {};
    std::istringstream in(answer.body);
    for (std::string word; in >> word;) {
        if (word == "members") in >> group.gaps.members;
        if (word == "without_now") in >> group.gaps.without_now;
        if (word == "without_ever") in >> group.gaps.without_ever;
        if (word == "longest_ms") in >> group.gaps.longest_ms;
        if (word != "version") continue;
        std::uint64_t version = 0;
        std::pair<int, double> active;
        in >> version >> active.first >> active.second;
        group.active[version] = active;
    }
    return true;
}

bool MemberFleet::all_leased() {
    for (int i = 0; i < real(); ++i)
        if (real_runs(i) &&
            call(i, "GET", "/metrics", "", patience_ms).body.find("app.members_lease:1") == std::string::npos)
            return false;
    for (auto& group : groups_)
        if (group->process.running() && (!ask_state(*group) || group->gaps.without_now > 0)) return false;
    return true;
}

void MemberFleet::look_anew() {
    for (auto& each : real_) {
        each->longest_ms = 0;
        each->without_ever = false;
        each->without_since = 0;
    }
    for (auto& group : groups_)
        if (group->process.running() && find_address(*group))
            call_address(group->address, "POST", "/watch", "", patience_ms);
}

LeaseGaps MemberFleet::gaps() {
    LeaseGaps all;
    for (int i = 0; i < real(); ++i) {
        if (!real_runs(i)) continue;
        const auto& me = one(i);
        const double open = me.without_since > 0 ? members::boot_now() - me.without_since : 0;
        all.add({1, me.without_since > 0 ? 1 : 0, me.without_ever ? 1 : 0, std::max(me.longest_ms, open)});
    }
    for (auto& group : groups_)
        if (ask_state(*group)) all.add(group->gaps);
    return all;
}

double MemberFleet::active_at(std::uint64_t version, const std::set<int>& of_zones) {
    double last = 0;
    for (int i = 0; i < real(); ++i) {
        if (!real_runs(i) || of_zones.count(zone_of(i)) == 0) continue;
        const auto found = one(i).active.lower_bound(version);
        if (found == one(i).active.end()) return 0;
        last = std::max(last, found->second);
    }
    for (int i = 0; i < groups(); ++i) {
        auto& group = of(i);
        if (!group.process.running() || of_zones.count(zone_of_group(i)) == 0) continue;
        const auto members = static_cast<int>(group.names.size());
        if (group.active[version].first < members) ask_state(group);
        if (group.active[version].first < members) return 0;
        last = std::max(last, group.active[version].second);
    }
    return last;
}

double MemberFleet::settled_at(int at, std::uint64_t version) const {
    const auto& seen = real_[static_cast<std::size_t>(at)]->settled;
    const auto found = seen.lower_bound(version);
    return found == seen.end() ? 0 : found->second;
}

std::set<int> MemberFleet::all_zones() {
    std::set<int> all;
    for (int i = 0; i < zones; ++i) all.insert(i);
    return all;
}

}  // namespace brasslift::lab
