#include "commands/operator_call.hpp"

#include <cstdio>
#include <cstdlib>

#include "http/writer.hpp"

namespace brasslift::commands {
namespace {

constexpr double call_ms = 13000;

std::string from_environment(const char* name) {
    const char* const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

}  // namespace

Operator::Operator(const std::string& at) {
    const auto address = runtime::parse_address(at);
    if (!address) throw Misused("the address of a member is missing: --at, or PROXY_ADMIN");
    address_ = *address;
}

std::optional<http::Message> Operator::call(const std::string& method, const std::string& target,
                                            const std::string& body) {
    std::optional<http::Message> answer;
    scheduler_.spawn(ask(http::write_request(method, target, {{"Host", "operators"}}, body), answer));
    scheduler_.run();
    scheduler_.go_on();
    return answer;
}

runtime::Task<void> Operator::ask(std::string request, std::optional<http::Message>& into) {
    const runtime::Time until = runtime::steady_now() + call_ms;
    into = co_await caller_.call(address_, std::move(request), [until] { return until; });
    scheduler_.stop();
}

int nobody() {
    std::fprintf(stderr, "nobody answers at that address\n");
    return no_majority;
}

std::optional<config::Flat> fields_of(const http::Message& answer) {
    if (answer.status == 404) {
        std::fprintf(stderr, "this dispatcher has no members, or no such version or list\n");
        return std::nullopt;
    }
    return config::flatten(answer.body);
}

std::size_t count(const config::Flat& flat, const std::string& list) {
    return static_cast<std::size_t>(config::number_or(flat, list + ".count", 0));
}

long whole(const config::Flat& flat, const std::string& path) {
    return static_cast<long>(config::number_or(flat, path, 0));
}

std::string text(const config::Flat& flat, const std::string& path) { return config::text_or(flat, path); }

int published(const std::optional<http::Message>& answer, bool json, const char* what) {
    if (!answer) return nobody();
    const auto flat = fields_of(*answer);
    if (!flat) return refused;
    const auto came = text(*flat, "came");
    if (json)
        std::printf("%s", answer->body.c_str());
    else if (came == "done")
        std::printf("%s %ld, digest %s\n", what, whole(*flat, "version"), text(*flat, "digest").c_str());
    else
        std::fprintf(stderr, "%s: %s\n", came.empty() ? "unknown" : came.c_str(), text(*flat, "why").c_str());
    return came == "done" ? done : came == "refused" ? refused : no_majority;
}

std::string checked_who(const std::string& who) {
    if (who.size() > 64 ||
        who.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.@") !=
            std::string::npos)
        throw Misused("--who takes 64 letters, digits and any of - _ . @ at most");
    return who;
}

int run_command(const char* program, const char* text, int argc, char** argv, const Act& act) {
    cxxopts::Options options(program, text);
    options.positional_help("COMMAND [ARGUMENT ...]");
    options.add_options()("h,help", "print this text")("json", "answers as JSON")(
        "at", "the operators' address of a member (else PROXY_ADMIN)",
        cxxopts::value<std::string>()->default_value(from_environment("PROXY_ADMIN")))(
        "who", "who publishes, for the history",
        cxxopts::value<std::string>()->default_value(from_environment("USER")))(
        "operator", "the operators' file (form)", cxxopts::value<std::string>()->default_value(""))(
        "folder", "the state folder (form; else PROXY_STATE)",
        cxxopts::value<std::string>()->default_value(from_environment("PROXY_STATE")))(
        "name", "the member (form; else PROXY_NAME)",
        cxxopts::value<std::string>()->default_value(from_environment("PROXY_NAME")));
    options.add_options("arguments")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
            return std::printf("%s", options.help({""}).c_str()) < 0 ? refused : done;
        return act(given, given.count("words") > 0 ? given["words"].as<std::vector<std::string>>()
                                                   : std::vector<std::string>());
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "%s: %s (--help tells more)\n", program, fault.what());
    } catch (const Misused& fault) {
        std::fprintf(stderr, "%s: %s (--help tells more)\n", program, fault.what());
    }
    return misused;
}

}  // namespace brasslift::commands
