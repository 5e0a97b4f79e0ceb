// What the rig's parties do and what a seed decides: partners, discovery, clients, publishers, faults, the
// verdict.
#include <signal.h>

#include <algorithm>

#include "brasslift/members/v1/members.pb.h"
#include "http/writer.hpp"
#include "lab/fleet.hpp"
#include "lab/site.hpp"

namespace brasslift::lab {

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

void Fleet::list_at(int at, std::uint32_t rev, const std::string& state) {
    auto& me = one(at);
    me.rev = rev;
    me.state = state;
    me.to_discovery->reset();  // it asks again, and hears this
    say(me.name + "'s agent says " + state + " at " + std::to_string(rev));
}

Party::Reply Fleet::discovery(int at, const http::Message& request) {
    Party::Reply reply;
    if (request.target != "/v1/outcomes") {
        const auto& me = one(at);
        const auto after = std::strtoul(number_after(request.target, "index=").c_str(), nullptr, 10);
        // A watch without news, or changes in one line.
        if (me.rev == 0 || after >= me.rev) {
            reply.status = -1;
            return reply;
        }
        reply.body = "{\"rev\":" + std::to_string(me.rev) + ",\"all\":false,\"targets\":[" +
                     site_entry({"s-1", local_text(me.to_partner->port()), served, me.state}) + "]}\n";
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

std::pair<int, int> Fleet::hand_in(int at, int destination, std::string id) {
    if (id.empty()) id = next_id();
    const auto answer = call_address(one(at).port, message(destination, "safe", id), 1000);
    const auto* const pause = answer.headers.find("Retry-After");
    return {answer.status, pause == nullptr ? 0 : std::atoi(pause->c_str())};
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
    end.delivered = account_.delivered();
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
