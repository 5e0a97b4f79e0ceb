#include "commands/config_command.hpp"

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <optional>

#include "commands/platform.hpp"
#include "lang/meaning.hpp"
#include "lang/tree.hpp"
#include "lang/units.hpp"

namespace brasslift::commands {
namespace {

constexpr int fine = 0, found = 1, usage = 2;

struct Usage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void print(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stdout); }

std::string to_json(const lang::Finding& f) {
    return "{\"file\":" + config::quoted(f.at.file) + ",\"line\":" + std::to_string(f.at.line) +
           ",\"column\":" + std::to_string(f.at.column) +
           ",\"severity\":" + (f.severity == lang::Severity::error ? "\"error\"" : "\"warning\"") +
           ",\"what\":" + config::quoted(f.what) + ",\"fix\":" + config::quoted(f.fix) + '}';
}

std::string to_json(const lang::Change& c) {
    using Kind = lang::Change::Kind;
    const char* const kind = c.kind == Kind::added     ? "added"
                             : c.kind == Kind::removed ? "removed"
                                                       : "changed";
    return std::string("{\"change\":\"") + kind + "\",\"entry\":" + config::quoted(c.entry) +
           ",\"name\":" + config::quoted(c.name) + ",\"field\":" + config::quoted(c.field) +
           ",\"before\":" + config::quoted(c.before) + ",\"after\":" + config::quoted(c.after) + '}';
}

template <class Item>
std::string json_list(const std::vector<Item>& items) {
    std::string text = "[";
    for (const auto& item : items) text += (text.size() > 1 ? ",\n " : "") + to_json(item);
    return text + "]\n";
}

void tell(const lang::Findings& findings, bool json) {
    const auto all = findings.sorted();
    if (json) return print(json_list(all));
    for (const auto& f : all) print(lang::to_text(f) + '\n');
    if (findings.left_out() > 0) print("and " + std::to_string(findings.left_out()) + " more\n");
}

std::optional<lang::Platform> platform_at(const std::string& path) {
    if (path.empty()) return std::nullopt;
    return platform_of(config::read_config(config::read_file(path)));
}

struct Checked {
    lang::Document document;
    lang::Findings findings;
    plan::Rules rules;
};

void check_into(Checked& checked, const std::string& path, const lang::Platform* platform) {
    lang::read(path, lang::Disk(), checked.document, checked.findings);
    checked.rules = lang::compile(checked.document, platform, checked.findings);
}

// For commands that work on a configuration without faults: tells the faults, false where there are some.
bool sound(const Checked& checked) {
    if (!checked.findings.any_errors()) return true;
    for (const auto& f : checked.findings.sorted()) std::fprintf(stderr, "%s\n", lang::to_text(f).c_str());
    return false;
}

class Command {
public:
    Command(const char* name, const char* text, const char* arguments)
        : options_(std::string("brasslift config ") + name, text) {
        options_.positional_help(arguments).show_positional_help();
        options_.add_options()("h,help", "print this text");
        // In a group that the help does not print: the usage line has them.
        options_.add_options("arguments")("files", "", cxxopts::value<std::vector<std::string>>());
        options_.parse_positional({"files"});
    }
    cxxopts::OptionAdder add() { return options_.add_options(); }
    // Nothing where help was asked for.
    std::optional<cxxopts::ParseResult> parse(int argc, char** argv, std::size_t least, std::size_t most) {
        auto given = options_.parse(argc, argv);
        if (given.count("help") > 0) {
            print(options_.help({""}));
            return std::nullopt;
        }
        if (given.count("files") > 0) files = given["files"].as<std::vector<std::string>>();
        if (files.size() < least || files.size() > most) throw Usage("wrong number of files");
        return given;
    }
    std::vector<std::string> files;

private:
    cxxopts::Options options_;
};

int check(int argc, char** argv) {
    Command command("check", "Tells all faults of configurations and what to write instead.", "FILE...");
    command.add()("json", "findings as JSON")("config",
                                              "the platform's config (PROXY_CONFIG) to judge them by",
                                              cxxopts::value<std::string>()->default_value(""));
    const auto given = command.parse(argc, argv, 1, 1000);
    if (!given) return fine;
    const auto platform = platform_at((*given)["config"].as<std::string>());
    lang::Findings all;
    for (const auto& file : command.files) {
        Checked checked;
        check_into(checked, file, platform ? &*platform : nullptr);
        all.add_all(checked.findings);
    }
    tell(all, given->count("json") > 0);
    return all.empty() ? fine : found;
}

// In place of the file in one step, so that a reader sees the old text or the new one.
bool replace(const std::string& path, const std::string& text) {
    namespace fs = std::filesystem;
    std::error_code error;
    const auto target = fs::canonical(path, error);
    if (error) return false;
    const auto beside = target.string() + ".new";
    {
        std::ofstream out(beside, std::ios::binary | std::ios::trunc);
        out.write(text.data(), static_cast<std::streamsize>(text.size()));
        if (!out.flush()) return fs::remove(beside, error), false;
    }
    fs::permissions(beside, fs::status(target, error).permissions(), error);
    fs::rename(beside, target, error);
    return !error;
}

int format_files(int argc, char** argv) {
    Command command("format", "Lays files out in the one way that they have; keeps every comment.",
                    "FILE...");
    command.add()("check", "only say which files are laid out otherwise")(
        "write", "write the files instead of printing them");
    const auto given = command.parse(argc, argv, 1, 1000);
    if (!given) return fine;
    const bool only_check = given->count("check") > 0, write = given->count("write") > 0;
    if (only_check && write) throw Usage("--check and --write exclude each other");
    int result = fine;
    for (const auto& file : command.files) {
        lang::Findings findings;
        const auto read = lang::Disk().read(file, lang::most_file_bytes);
        if (const auto* const failure = std::get_if<lang::Files::Failure>(&read))
            findings.error({file, 0, 0}, "the file cannot be read: " + failure->what, "check the path");
        const auto source =
            std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : std::string();
        const auto tree = lang::read_tree(file, source, findings);
        if (findings.any_errors()) {
            for (const auto& f : findings.sorted()) std::fprintf(stderr, "%s\n", lang::to_text(f).c_str());
            result = found;
            continue;
        }
        const auto text = lang::format(tree);
        if (only_check) {
            if (text == source) continue;
            print(file + ": is laid out otherwise\n");
            result = found;
        } else if (write) {
            if (text != source && !replace(file, text)) {
                std::fprintf(stderr, "%s: cannot be written\n", file.c_str());
                result = found;
            }
        } else {
            print(text);
        }
    }
    return result;
}

int diff(int argc, char** argv) {
    Command command("diff", "Tells what two configurations mean differently.", "OLD NEW");
    command.add()("json", "the differences as JSON");
    const auto given = command.parse(argc, argv, 2, 2);
    if (!given) return fine;
    Checked before, after;
    check_into(before, command.files[0], nullptr);
    check_into(after, command.files[1], nullptr);
    const bool both = sound(before);
    if (!sound(after) || !both) return usage;
    const auto changes = lang::differences(before.document, after.document);
    print(given->count("json") > 0 ? json_list(changes) : lang::to_text(changes));
    return changes.empty() ? fine : found;
}

int show(int argc, char** argv) {
    Command command("show", "Prints all that holds, with the file and line that each value came from.",
                    "FILE");
    const auto given = command.parse(argc, argv, 1, 1);
    if (!given) return fine;
    Checked checked;
    check_into(checked, command.files[0], nullptr);
    if (!sound(checked)) return found;
    print(lang::show(checked.document));
    return fine;
}

int explain(int argc, char** argv) {
    Command command(
        "explain", "Tells which route, pool, limits and policies hold for a message, and why not the others.",
        "FILE");
    command.add()("tenant", "its tenant", cxxopts::value<std::string>())(
        "class", "its class", cxxopts::value<std::string>())("dest", "its destination, by number or name",
                                                             cxxopts::value<std::string>())(
        "all", "name all that do not hold")("config", "the platform's config (PROXY_CONFIG)",
                                            cxxopts::value<std::string>()->default_value(""));
    const auto given = command.parse(argc, argv, 1, 1);
    if (!given) return fine;
    for (const char* const needed : {"tenant", "class", "dest"})
        if (given->count(needed) == 0) throw Usage(std::string("--") + needed + " is needed");
    const auto platform = platform_at((*given)["config"].as<std::string>());
    Checked checked;
    check_into(checked, command.files[0], platform ? &*platform : nullptr);
    if (!sound(checked)) return found;
    lang::Question question{(*given)["tenant"].as<std::string>(), (*given)["class"].as<std::string>(), 0};
    const auto dest = (*given)["dest"].as<std::string>();
    bool named = false;
    for (const auto& d : checked.document.config.destination())
        if (d.name() == dest) {
            question.destination = d.number();
            named = true;
        }
    if (!named) {
        const auto read = lang::read_destination(dest);
        const auto* const number = std::get_if<lang::DestinationText>(&read);
        if (number == nullptr || number->kind != lang::DestinationText::Kind::number)
            throw Usage("--dest: no destination is named '" + dest + "'");
        question.destination = number->from;
    }
    auto names = lang::names_in(checked.rules);
    const auto add = [](std::vector<std::string>& into, const std::string& name) {
        if (std::find(into.begin(), into.end(), name) == into.end()) into.push_back(name);
    };
    add(names.tenants, question.tenant);
    add(names.classes, question.message_class);
    print(lang::explain(checked.document, checked.rules, names, question, given->count("all") > 0));
    return fine;
}

}  // namespace

int config(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "";
    try {
        if (name == "check") return check(argc - 1, argv + 1);
        if (name == "format") return format_files(argc - 1, argv + 1);
        if (name == "diff") return diff(argc - 1, argv + 1);
        if (name == "show") return show(argc - 1, argv + 1);
        if (name == "explain") return explain(argc - 1, argv + 1);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "brasslift config %s: %s (--help tells more)\n", name.c_str(), fault.what());
        return usage;
    } catch (const Usage& fault) {
        std::fprintf(stderr, "brasslift config %s: %s (--help tells more)\n", name.c_str(), fault.what());
        return usage;
    }
    const bool help = name == "--help" || name == "-h";
    std::fprintf(
        help ? stdout : stderr,
        "usage: brasslift config check|format|diff|show|explain ...\n"
        "Each has its own --help. Exit status: 0 all is well, 1 findings or a difference, 2 usage.\n");
    return help ? fine : usage;
}

}  // namespace brasslift::commands
