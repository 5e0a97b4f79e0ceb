// One call at the operators' address of a member, as the commands for members make it, and what their answers
// have in common. Blocking; a process of its own.
#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "client/caller.hpp"
#include "config/json.hpp"

namespace brasslift::commands {

constexpr int done = 0, refused = 1, misused = 2, no_majority = 3;

struct Misused : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Operator {
public:
    // Throws Misused where that is no address.
    explicit Operator(const std::string& at);
    // Nothing where nobody answers.
    std::optional<http::Message> call(const std::string& method, const std::string& target,
                                      const std::string& body = "");

private:
    runtime::Task<void> ask(std::string request, std::optional<http::Message>& into);
    runtime::Scheduler scheduler_;
    client::Caller caller_{scheduler_, {16 * 1024, 16 << 20}};
    runtime::Address address_;
};

// Says so; the exit code for it.
int nobody();
// A JSON answer, with its fields by their paths; nothing where it is none.
std::optional<config::Flat> fields_of(const http::Message& answer);
std::size_t count(const config::Flat& flat, const std::string& list);
long whole(const config::Flat& flat, const std::string& path);
std::string text(const config::Flat& flat, const std::string& path);
// What a publish came to, and its exit code. `what` begins the line of one that is done.
int published(const std::optional<http::Message>& answer, bool json, const char* what = "version");

// Who publishes stands in the history of every member, and in a request's line on its way there.
std::string checked_who(const std::string& who);

using Act = std::function<int(const cxxopts::ParseResult& given, const std::vector<std::string>& words)>;
// Reads the options that these commands share and acts; misuse is told and is exit code 2.
int run_command(const char* program, const char* text, int argc, char** argv, const Act& act);

}  // namespace brasslift::commands
