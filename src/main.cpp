// brasslift: the command line. `serve` is src/serve/.
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <optional>
#include <string>

#include "cluster/known.hpp"
#include "commands/config_command.hpp"
#include "commands/members_command.hpp"
#include "commands/platform.hpp"
#include "commands/store_command.hpp"
#include "config/config.hpp"
#include "serve/life.hpp"
#include "serve/signals.hpp"

namespace {

using namespace brasslift;

int serve(const std::string& operators) {
    serve::hold_signals();
    std::optional<serve::Remains> remains;
    {
        serve::Life life(operators, BRASSLIFT_VERSION);
        remains = life.run();
    }
    if (remains) serve::keep_shell(std::move(*remains));
    return 0;
}

// What a dispatcher would be told, or the reason for which it could not start.
int check_config(const std::string& path) {
    const auto config = path.empty() ? config::load_config() : config::read_config_file(path);
    const auto known = cluster::read_known(config);
    const Sender module(config.settings, config.seed);  // throws where the module cannot work with them
    std::printf("name %s, listen %s, discovery %s\n", config.name.c_str(), config.listen.c_str(),
                config.discovery.c_str());
    std::printf("%zu classes, %zu customers, %zu hosts known; %d slots, %d messages held at most\n",
                config.classes.size(), config.tenants.size(), known ? known->lines.size() : 0,
                config.settings.slots, config.settings.max_held);
    return 0;
}

constexpr const char* commands_text =
    "usage: brasslift [COMMAND ...]\n"
    "  serve [--operator FILE]   dispatch messages (the default)\n"
    "  config COMMAND ...        check, format, compare and explain operators' files\n"
    "  members COMMAND ...       who agrees on the rules, and a voter's first folder\n"
    "  rules COMMAND ...         publish, list, compare and restore the rules that members agree on\n"
    "  lists COMMAND ...         publish, change and show the lists that the rules declare\n"
    "  check-config [FILE]       read a platform's config as a start would\n"
    "  store COMMAND ...         look into a store, check, compact, copy and restore it\n"
    "  journal [FOLDER]          what a store says is owed\n"
    "  version\n"
    "Each has its own --help.\n";

// Runs a command with options of its own; `act` gets what was given.
template <class Act>
int with_options(cxxopts::Options& options, int argc, char** argv, Act act) {
    try {
        options.add_options()("h,help", "print this text");
        const auto given = options.parse(argc, argv);
        if (!given.unmatched().empty()) throw cxxopts::exceptions::exception("too many arguments");
        if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
        return act(given);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "%s: %s (--help tells more)\n", options.program().c_str(), fault.what());
        return 2;
    }
}

// A command with one argument, which may be left out.
template <class Act>
int with_argument(const char* name, const char* text, const char* argument, int argc, char** argv, Act act) {
    cxxopts::Options options(std::string("brasslift ") + name, text);
    options.positional_help(std::string("[") + argument + ']');
    options.add_options()("argument", argument, cxxopts::value<std::string>()->default_value(""));
    options.parse_positional({"argument"});
    return with_options(options, argc, argv,
                        [&](const auto& given) { return act(given["argument"].template as<std::string>()); });
}

int run(int argc, char** argv) {
    const std::string first = argc > 1 ? argv[1] : "";
    if (first == "--help" || first == "-h") return std::printf("%s", commands_text) < 0 ? 1 : 0;
    const bool named = !first.empty() && first[0] != '-';
    const std::string command = named ? first : "serve";
    if (named) --argc, ++argv;
    if (command == "serve") {
        cxxopts::Options options(
            "brasslift serve",
            "Takes messages on and delivers them. The environment tells it the rest (README).");
        options.add_options()("operator", "the operators' file: routes, pools, limits, policies, bounds",
                              cxxopts::value<std::string>()->default_value(""));
        return with_options(options, argc, argv, [](const auto& given) {
            return serve(given["operator"].template as<std::string>());
        });
    }
    if (command == "config") return commands::config(argc, argv);
    if (command == "members") return commands::members(argc, argv);
    if (command == "rules") return commands::rules(argc, argv);
    if (command == "lists") return commands::lists(argc, argv);
    if (command == "store") return commands::store(argc, argv);
    if (command == "version") return std::printf("brasslift %s\n", BRASSLIFT_VERSION) < 0 ? 1 : 0;
    if (command == "check-config")
        return with_argument("check-config", "Reads a platform's config as a start would.", "FILE", argc,
                             argv, check_config);
    if (command == "journal")
        return with_argument("journal", "Lists what a store says is owed; changes nothing.", "FOLDER", argc,
                             argv, commands::list_owed);
    std::fprintf(stderr, "brasslift: no command '%s'\n%s", command.c_str(), commands_text);
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "brasslift: %s\n", fault.what());
        return 1;
    }
}
