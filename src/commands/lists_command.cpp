#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "commands/members_command.hpp"
#include "commands/operator_call.hpp"

namespace brasslift::commands {
namespace {

// In a request's line.
std::string checked(const std::string& text, const char* what) {
    constexpr std::size_t most = 64;
    if (text.empty() || text.size() > most ||
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
            std::string::npos)
        throw Misused(std::string(what) + " takes 64 letters, digits and any of - _ . at most");
    return text;
}

int status(Operator& at, bool json) {
    const auto answer = at.call("GET", "/lists");
    if (!answer) return nobody();
    if (json) return std::printf("%s", answer->body.c_str()) < 0 ? refused : done;
    const auto flat = fields_of(*answer);
    if (!flat) return refused;
    std::printf("agreed %ld, settled %ld, acting on %ld\n", whole(*flat, "current"), whole(*flat, "settled"),
                whole(*flat, "acting"));
    if (count(*flat, "lists") > 0)
        std::printf("%-20s %-20s %8s %8s  %-32s  %-23s  %s\n", "list", "holds", "version", "entries",
                    "digest", "when", "who");
    for (std::size_t i = 0; i < count(*flat, "lists"); ++i) {
        const auto l = "lists." + std::to_string(i) + '.';
        const std::time_t when = whole(*flat, l + "when_ms") / 1000;
        char shown[32];
        std::strftime(shown, sizeof shown, "%Y-%m-%d %H:%M:%S UTC", std::gmtime(&when));
        std::printf("%-20s %-20s %8ld %8ld  %s  %s  %s%s\n", text(*flat, l + "name").c_str(),
                    text(*flat, l + "holds").c_str(), whole(*flat, l + "version"),
                    whole(*flat, l + "entries"), text(*flat, l + "digest").c_str(), shown,
                    text(*flat, l + "who").c_str(),
                    text(*flat, l + "declared") == "true" ? "" : " (the rules do not declare it)");
    }
    return done;
}

int publish(Operator& at, const std::string& name, const std::string& path, const std::string& who,
            bool json) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream contents;
    contents << in.rdbuf();
    if (!in) {
        std::fprintf(stderr, "%s cannot be read\n", path.c_str());
        return refused;
    }
    // Findings name the file; what a request's line cannot carry of its name is left out.
    auto file = std::filesystem::path(path).filename().string();
    for (auto& c : file)
        if (c <= ' ' || c >= 127 || c == '&' || c == '?' || c == '#') c = '_';
    return published(at.call("POST", "/lists?name=" + name + "&who=" + who + "&file=" + file, contents.str()),
                     json);
}

int show(Operator& at, const std::string& name) {
    const auto answer = at.call("GET", "/lists/entries?name=" + name);
    if (!answer) return nobody();
    if (answer->status != 200) {
        std::fprintf(stderr, "there is no list %s\n", name.c_str());
        return refused;
    }
    std::fwrite(answer->body.data(), 1, answer->body.size(), stdout);
    return done;
}

}  // namespace

int lists(int argc, char** argv) {
    return run_command(
        "brasslift lists",
        "publish NAME FILE | add NAME ENTRY... | remove NAME ENTRY... | show NAME | status: the entries of "
        "the "
        "lists that the rules declare.",
        argc, argv, [](const auto& given, const std::vector<std::string>& words) {
            Operator at(given["at"].template as<std::string>());
            const bool json = given.count("json") > 0;
            const auto who = checked_who(given["who"].template as<std::string>());
            const auto& what = words.empty() ? std::string() : words.front();
            if (what == "status" && words.size() == 1) return status(at, json);
            if (words.size() < 2) throw Misused("publish, add, remove or show with a list's name; or status");
            const auto name = checked(words[1], "a list's name");
            if (what == "publish" && words.size() == 3) return publish(at, name, words[2], who, json);
            if (what == "show" && words.size() == 2) return show(at, name);
            if ((what == "add" || what == "remove") && words.size() > 2) {
                std::string lines;
                for (std::size_t i = 2; i < words.size(); ++i)
                    lines += (what == "add" ? '+' : '-') + words[i] + '\n';
                return published(
                    at.call("POST", "/lists/change?name=" + name + "&who=" + who + "&file=argument", lines),
                    json);
            }
            throw Misused("publish NAME FILE, add or remove NAME ENTRY..., show NAME, or status");
        });
}

}  // namespace brasslift::commands
