#include "commands/members_command.hpp"

#include <cstdio>
#include <ctime>
#include <optional>

#include "commands/operator_call.hpp"
#include "commands/platform.hpp"
#include "commands/rule_files.hpp"
#include "config/json.hpp"
#include "lang/meaning.hpp"
#include "members/setup.hpp"

namespace brasslift::commands {
namespace {

constexpr double disk_bytes = 100e6;  // to form a folder; serve keeps to the platform's

int members_status(Operator& at, bool json) {
    const auto answer = at.call("GET", "/members");
    if (!answer) return nobody();
    if (json) return std::printf("%s", answer->body.c_str()) < 0 ? refused : done;
    const auto flat = fields_of(*answer);
    if (!flat) return refused;
    const auto leader = text(*flat, "leader");
    std::printf("cluster %s, seen from %s; leader %s, term %ld\n", text(*flat, "cluster").c_str(),
                text(*flat, "self").c_str(), leader.empty() ? "none" : leader.c_str(), whole(*flat, "term"));
    std::printf("rules: agreed %ld, settled %ld, acting on %ld, lease %ld ms\n", whole(*flat, "agreed"),
                whole(*flat, "settled"), whole(*flat, "acting"), whole(*flat, "lease_ms"));
    if (text(*flat, "voice") != "true")
        std::printf("this voter's folder is not the one that was agreed on: it has no voice\n");
    if (const auto trouble = text(*flat, "trouble"); !trouble.empty()) std::printf("%s\n", trouble.c_str());
    std::printf("%-20s %-8s %-10s %s\n", "member", "votes", "heard", "acts on");
    for (std::size_t i = 0; i < count(*flat, "members"); ++i) {
        const auto m = "members." + std::to_string(i) + '.';
        const long heard = whole(*flat, m + "heard_ms");
        const bool has = text(*flat, m + "voter") == "true", to = text(*flat, m + "to_vote") == "true";
        const std::string votes = has ? (to ? "yes" : "to go") : (to ? "to come" : "no");
        const auto when = heard < 0 ? std::string("never") : std::to_string(heard) + " ms";
        std::printf("%-20s %-8s %-10s %ld  %s\n", text(*flat, m + "name").c_str(), votes.c_str(),
                    when.c_str(), whole(*flat, m + "acting"), text(*flat, m + "trouble").c_str());
    }
    return done;
}

// Told once it is agreed; the steps follow, and status shows them.
int set_voters(Operator& at, const std::vector<std::string>& names, bool json) {
    std::string list;
    for (const auto& name : names) list += (list.empty() ? "" : ",") + checked_who(name);
    const auto answer = at.call("POST", "/members/voters?names=" + list);
    if (answer && !json && answer->status == 200) {
        std::printf("agreed; members status shows how far it has come\n");
        return done;
    }
    return published(answer, json);
}

int rules_list(Operator& at, bool json, bool all) {
    const auto answer = at.call("GET", "/rules");
    if (!answer) return nobody();
    if (json) return std::printf("%s", answer->body.c_str()) < 0 ? refused : done;
    const auto flat = fields_of(*answer);
    if (!flat) return refused;
    std::printf("agreed %ld, settled %ld, acting on %ld\n", whole(*flat, "current"), whole(*flat, "settled"),
                whole(*flat, "acting"));
    const auto versions = count(*flat, "versions");
    for (auto i = all || versions == 0 ? 0 : versions - 1; i < versions; ++i) {
        const auto v = "versions." + std::to_string(i) + '.';
        const std::time_t when = whole(*flat, v + "when_ms") / 1000;
        char shown[32];
        std::strftime(shown, sizeof shown, "%Y-%m-%d %H:%M:%S", std::gmtime(&when));
        const long restores = whole(*flat, v + "restores");
        std::printf("%6ld  %s  %s UTC  %s%s\n", whole(*flat, v + "number"), text(*flat, v + "digest").c_str(),
                    shown, text(*flat, v + "who").c_str(),
                    restores > 0 ? (", restores " + std::to_string(restores)).c_str() : "");
    }
    return done;
}

// The files of a version; nothing where there is none.
std::optional<lang::Document> document_of(Operator& at, const std::string& version) {
    const auto answer = at.call("GET", "/rules/files?version=" + version);
    members::v1::RuleSet rules;
    if (!answer || answer->status != 200 || !rules.ParseFromString(answer->body)) {
        std::fprintf(stderr, "version %s cannot be had\n", version.c_str());
        return std::nullopt;
    }
    lang::Document document;
    lang::Findings findings;
    read_rules(rules, document, findings);
    return document;
}

int publish(Operator& at, const std::string& file, const std::string& who, bool json) {
    lang::Findings findings;
    const auto rules = gather(file, findings);
    if (findings.any_errors()) {
        for (const auto& finding : findings.sorted())
            std::fprintf(stderr, "%s\n", lang::to_text(finding).c_str());
        return refused;
    }
    return published(at.call("POST", "/rules?who=" + who, rules.SerializeAsString()), json);
}

int diff(Operator& at, const std::string& a, const std::string& b) {
    const auto before = document_of(at, a);
    const auto after = before ? document_of(at, b) : std::nullopt;
    if (!after) return refused;
    std::printf("%s", lang::to_text(lang::differences(*before, *after)).c_str());
    return done;
}

// Once in a voter's life: its folder is empty, and it will vote from the beginning.
int form(const std::string& operators, const std::string& folder, const std::string& name) {
    lang::Findings findings;
    lang::Document document;
    lang::read(operators, lang::Disk(), document, findings);
    const auto rules = lang::compile(document, nullptr, findings);
    if (findings.any_errors() || !rules.members) {
        for (const auto& finding : findings.sorted())
            std::fprintf(stderr, "%s\n", lang::to_text(finding).c_str());
        std::fprintf(stderr, "the operators' file has no members section that can be worked with\n");
        return refused;
    }
    const auto table = members::table_of(*rules.members, 0);
    const auto self = members::id_of(name);
    const auto voter = std::any_of(table.peers.begin(), table.peers.end(),
                                   [&](const auto& peer) { return peer.id == self && peer.voter; });
    if (!voter) {
        std::fprintf(stderr, "%s is no voter in this file; only voters' folders are formed\n", name.c_str());
        return refused;
    }
    const auto journal = members::journal_in(folder, disk_bytes, *rules.members);
    if (!journal->pristine() || journal->folder().formed()) {
        std::fprintf(stderr, "this folder has been a member's; nothing was changed\n");
        return refused;
    }
    members::Agreed agreed;
    members::Consensus consensus(self, name, *journal, agreed, 1);
    if (!consensus.form(table.peers) || !journal->mark_formed()) {
        std::fprintf(stderr, "the folder cannot be formed: %s\n",
                     (journal->why().empty() ? consensus.why() : journal->why()).c_str());
        return refused;
    }
    std::printf("%s has a vote in cluster %s from its first start on\n", name.c_str(), table.cluster.c_str());
    return done;
}

}  // namespace

int members(int argc, char** argv) {
    return run_command(
        "brasslift members",
        "status: who is there and what each acts on. voters NAME NAME NAME...: who has a vote from now on, "
        "asked at "
        "the leader. form: prepares a voter's empty folder, once.",
        argc, argv, [](const auto& given, const std::vector<std::string>& words) {
            const auto option = [&](const char* name) { return given[name].template as<std::string>(); };
            if (words == std::vector<std::string>{"form"})
                return form(option("operator"), option("folder"), option("name"));
            Operator at(option("at"));
            if (words.size() > 1 && words[0] == "voters")
                return set_voters(at, {words.begin() + 1, words.end()}, given.count("json") > 0);
            if (words != std::vector<std::string>{"status"})
                throw Misused("status, voters NAME NAME NAME..., or form");
            return members_status(at, given.count("json") > 0);
        });
}

int rules(int argc, char** argv) {
    return run_command(
        "brasslift rules",
        "publish FILE | status | history | diff A B | rollback VERSION: the rules that members agree on.",
        argc, argv, [](const auto& given, const std::vector<std::string>& words) {
            Operator at(given["at"].template as<std::string>());
            const bool json = given.count("json") > 0;
            const auto who = checked_who(given["who"].template as<std::string>());
            const auto& what = words.empty() ? std::string() : words.front();
            if (what == "publish" && words.size() == 2) return publish(at, words[1], who, json);
            if (what == "status" && words.size() == 1) return rules_list(at, json, false);
            if (what == "history" && words.size() == 1) return rules_list(at, json, true);
            if (what == "diff" && words.size() == 3) return diff(at, words[1], words[2]);
            if (what == "rollback" && words.size() == 2)
                return published(at.call("POST", "/rules/restore?version=" + words[1] + "&who=" + who), json);
            throw Misused("publish FILE, status, history, diff A B or rollback VERSION");
        });
}

}  // namespace brasslift::commands
