// What a member answers operators.
#include <algorithm>

#include "brasslift/config/v1/operator.pb.h"
#include "commands/platform.hpp"
#include "config/json.hpp"
#include "members/setup.hpp"
#include "serve/members.hpp"

namespace brasslift::serve {
namespace {

std::string parameter(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    if (query == std::string::npos) return {};
    std::string_view rest = std::string_view(target).substr(query + 1);
    while (!rest.empty()) {
        const auto one = rest.substr(0, rest.find('&'));
        if (one.starts_with(name + '=')) return std::string(one.substr(name.size() + 1));
        rest.remove_prefix(std::min(rest.size(), one.size() + 1));
    }
    return {};
}

const char* name_of(members::v1::Came came) {
    switch (came) {
        case members::v1::DONE: return "done";
        case members::v1::REFUSED: return "refused";
        case members::v1::NO_MAJORITY: return "no majority";
        default: return "unknown";
    }
}

admin::Reply reply_of(const members::PublishEnd& end, std::uint64_t version, const std::string& digest) {
    admin::Reply reply;
    reply.type = "application/json";
    reply.status = end.came == members::v1::DONE ? 200 : end.came == members::v1::REFUSED ? 409 : 503;
    reply.body = std::string("{\"came\":\"") + name_of(end.came) +
                 "\",\"version\":" + std::to_string(version) + ",\"digest\":" + config::quoted(digest) +
                 ",\"why\":" + config::quoted(end.why) + "}\n";
    return reply;
}

}  // namespace

std::string Membership::members_json() const {
    const auto& member = node_->member();
    const double now = members::boot_now();
    std::string leader;
    for (const auto& peer : member.table().peers)
        if (peer.id == member.leader()) leader = peer.name;
    const auto lease = std::max(0.0, member.lease_until() - now);
    std::string text = "{\"cluster\":" + config::quoted(member.table().cluster) +
                       ",\"self\":" + config::quoted(config_.name) + ",\"leader\":" + config::quoted(leader) +
                       ",\"term\":" + std::to_string(member.term()) +
                       ",\"agreed\":" + std::to_string(member.agreed().current()) +
                       ",\"settled\":" + std::to_string(member.agreed().settled()) +
                       ",\"acting\":" + std::to_string(dispatcher_.rules_version()) +
                       ",\"lease_ms\":" + std::to_string(static_cast<long>(lease)) +
                       ",\"voice\":" + (member.lacks_voice() ? "false" : "true") +
                       ",\"parts\":" + parts_json() +
                       ",\"voters_settled\":" + (member.voters_settled() ? "true" : "false") +
                       ",\"trouble\":" + config::quoted(member.trouble()) + ",\"members\":[";
    bool first = true;
    const auto voters = member.voters();
    const auto& goal = member.agreed().goal().folder();
    for (const auto& peer : member.table().peers) {
        const auto found = member.sights().find(peer.id);
        const bool self = peer.id == member.self();
        const auto sight = found == member.sights().end() ? members::Member::Sight{} : found->second;
        const auto heard = self ? 0.0 : sight.heard_at == members::ages_ago ? -1.0 : now - sight.heard_at;
        text += std::string(first ? "" : ",") + "{\"name\":" + config::quoted(peer.name) +
                ",\"voter\":" + (voters.count(peer.id) != 0 ? "true" : "false") + ",\"to_vote\":" +
                ((goal.empty() ? voters.count(peer.id) : goal.count(peer.id)) != 0 ? "true" : "false") +
                ",\"heard_ms\":" + std::to_string(static_cast<long>(heard)) +
                ",\"acting\":" + std::to_string(self ? dispatcher_.rules_version() : sight.acting) +
                ",\"trouble\":" + config::quoted(self ? member.trouble() : sight.trouble) + '}';
        first = false;
    }
    return text + "]}\n";
}

std::string Membership::parts_json() const {
    std::string text = "{";
    for (const auto& [limit, part] : parts())
        text += (text.size() > 1 ? "," : "") + config::quoted(limit) + ':' +
                std::to_string(static_cast<int>(part * members::whole_part + 0.5));
    return text + '}';
}

std::string Membership::lists_json() const {
    const auto& agreed = node_->member().agreed();
    std::string text = "{\"current\":" + std::to_string(agreed.current()) +
                       ",\"settled\":" + std::to_string(agreed.settled()) +
                       ",\"acting\":" + std::to_string(dispatcher_.rules_version()) + ",\"lists\":[";
    bool first = true;
    for (const auto& [name, list] : agreed.lists().all()) {
        const auto declared = std::find_if(lists_.begin(), lists_.end(),
                                           [&name = name](const auto& rule) { return rule.name == name; });
        text +=
            std::string(first ? "" : ",") + "{\"name\":" + config::quoted(name) +
            ",\"holds\":" + config::quoted(config::v1::ListKind_Name(static_cast<int>(list.kind))) +
            ",\"version\":" + std::to_string(list.version) + ",\"number\":" + std::to_string(list.number) +
            ",\"entries\":" + std::to_string(list.entries.size()) +
            ",\"bytes\":" + std::to_string(list.bytes) + ",\"digest\":" + config::quoted(list.digest.text()) +
            ",\"who\":" + config::quoted(list.who) + ",\"when_ms\":" + std::to_string(list.when_ms) +
            ",\"declared\":" + (declared == lists_.end() ? "false" : "true") + '}';
        first = false;
    }
    return text + "]}\n";
}

std::string Membership::rules_json() const {
    const auto& agreed = node_->member().agreed();
    std::string text = "{\"current\":" + std::to_string(agreed.current()) +
                       ",\"rules\":" + std::to_string(agreed.rules()) +
                       ",\"settled\":" + std::to_string(agreed.settled()) +
                       ",\"acting\":" + std::to_string(dispatcher_.rules_version()) + ",\"versions\":[";
    bool first = true;
    for (const auto& [number, version] : agreed.versions()) {
        if (!version.has_rules()) continue;  // of a list, or of voters
        text += std::string(first ? "" : ",") + "{\"number\":" + std::to_string(number) +
                ",\"digest\":" + config::quoted(version.digest()) +
                ",\"who\":" + config::quoted(version.who()) +
                ",\"when_ms\":" + std::to_string(version.when_ms()) +
                ",\"restores\":" + std::to_string(version.restores()) +
                ",\"files\":" + std::to_string(version.rules().file_size()) + '}';
        first = false;
    }
    return text + "]}\n";
}

runtime::Task<admin::Reply> Membership::publish(members::v1::Version version) {
    const auto& agreed = node_->member().agreed();
    version.set_when_ms(static_cast<std::int64_t>(runtime::wall_now()));
    version.set_ticket(config_.name + '/' + std::to_string(members::chance()));
    if (!version.has_change()) version.set_digest(members::digest_of(version.rules()));
    const auto list = version.has_change() ? version.change().name() : std::string();
    auto digest = version.digest();
    auto publishing = node_->publish(std::move(version), agreed.rules());
    const auto end = co_await publishing;
    auto number = end.version;
    if (const auto* const made = agreed.lists().find(list); made != nullptr) {
        digest = made->digest.text();
        if (made->number == end.version) number = made->version;
    }
    co_return reply_of(end, number, digest);
}

std::optional<admin::Reply> Membership::read_change(const http::Message& request,
                                                    members::v1::ListChange& into) {
    const auto& agreed = node_->member().agreed();
    const auto refuse = [](std::string why) {
        return reply_of({members::v1::REFUSED, 0, std::move(why)}, 0, "");
    };
    const auto name = parameter(request.target, "name");
    const auto* const rules = agreed.find(agreed.rules());
    const auto& known = declared(rules == nullptr ? nullptr : &rules->rules());
    const auto* const rule = known.find(name);
    const auto* const list = agreed.lists().find(name);
    const bool empties = rule == nullptr && list != nullptr && request.body.empty();
    if (rule == nullptr && !empties)
        return refuse("the rules declare no list \"" + name + "\"; publish rules that do");
    const auto kind = empties ? static_cast<plan::ListKind>(list->kind) : rule->kind;
    const auto platform = commands::platform_of(config_);
    lang::Findings findings;
    const auto file = parameter(request.target, "file");
    std::map<std::string, std::uint64_t> wanted;
    if (request.target.starts_with("/lists/change")) {
        std::string put, drop;
        if (!commands::split_change(request.body, put, drop)) return refuse("each line begins with + or -");
        if (list != nullptr) wanted = list->entries;
        // Whatever stands there may go, also what a file would not have any more.
        const auto gone = kind == plan::ListKind::tenants_capped ? plan::ListKind::tenants_barred : kind;
        for (const auto& [key, value] : lang::read_list(file, drop, gone, known.names, nullptr, findings))
            wanted.erase(key);
        for (const auto& [key, value] : lang::read_list(file, put, kind, known.names, &platform, findings))
            wanted[key] = value;
    } else {
        wanted = lang::read_list(file, request.body, kind, known.names, &platform, findings);
    }
    for (const auto& finding : findings.sorted())
        if (finding.severity == lang::Severity::error) return refuse(lang::to_text(finding));
    into = agreed.lists().difference(name, static_cast<std::uint32_t>(kind), wanted);
    if (into.put_size() == 0 && into.drop_size() == 0)
        return reply_of({members::v1::DONE, 0, "it is so already"}, list == nullptr ? 0 : list->version,
                        list == nullptr ? "" : list->digest.text());
    return std::nullopt;
}

runtime::Task<admin::Reply> Membership::answer_lists(const http::Message& request) {
    const auto path = request.target.substr(0, request.target.find('?'));
    admin::Reply reply;
    reply.type = "application/json";
    if (path == "/lists" && request.method == "GET") {
        reply.body = lists_json();
    } else if (path == "/lists/entries" && request.method == "GET") {
        reply.type = "text/plain";
        const auto* const list = node_->member().agreed().lists().find(parameter(request.target, "name"));
        if (list == nullptr)
            reply.status = 404;
        else
            for (const auto& [key, value] : list->entries)
                reply.body += lang::write_entry(key, value, static_cast<plan::ListKind>(list->kind)) + '\n';
    } else if ((path == "/lists" || path == "/lists/change") && request.method == "POST") {
        members::v1::Version version;
        version.set_who(parameter(request.target, "who"));
        if (auto answered = read_change(request, *version.mutable_change())) co_return std::move(*answered);
        auto publishing = publish(std::move(version));
        reply = co_await publishing;
    } else {
        reply.status = 404;
    }
    co_return reply;
}

runtime::Task<admin::Reply> Membership::answer(const http::Message& request) {
    if (request.target.starts_with("/lists")) {
        auto answering = answer_lists(request);
        co_return co_await answering;
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto numbered = std::strtoull(parameter(request.target, "version").c_str(), nullptr, 10);
    const auto* named = node_->member().version(numbered);
    if (named != nullptr && !named->has_rules()) named = nullptr;  // of a list, or of voters
    admin::Reply reply;
    reply.type = "application/json";
    members::v1::Version version;
    version.set_who(parameter(request.target, "who"));
    if (path == "/members" && request.method == "GET") {
        reply.body = members_json();
    } else if (path == "/members/voters" && request.method == "POST") {
        std::vector<std::string> names;
        const auto list = parameter(request.target, "names");
        for (std::size_t at = 0; at <= list.size(); at = std::min(list.find(',', at), list.size()) + 1)
            names.push_back(list.substr(at, list.find(',', at) - at));
        auto setting = node_->set_voters(std::move(names));
        const auto end = co_await setting;
        reply = reply_of(end, end.version, "");
    } else if (path == "/rules" && request.method == "GET") {
        reply.body = rules_json();
    } else if (path == "/rules/files" && request.method == "GET") {
        reply.type = "application/x-protobuf";
        if (named == nullptr)
            reply.status = 404;
        else
            reply.body = named->rules().SerializeAsString();
    } else if (path == "/rules" && request.method == "POST") {
        if (version.mutable_rules()->ParseFromString(request.body)) {
            auto publishing = publish(std::move(version));
            reply = co_await publishing;
        } else {
            reply.status = 400;
        }
    } else if (path == "/rules/restore" && request.method == "POST") {
        if (named == nullptr) {
            reply.status = 404;
        } else {
            *version.mutable_rules() = named->rules();
            version.set_restores(numbered);
            auto publishing = publish(std::move(version));
            reply = co_await publishing;
        }
    } else {
        reply.status = 404;
    }
    co_return reply;
}

}  // namespace brasslift::serve
