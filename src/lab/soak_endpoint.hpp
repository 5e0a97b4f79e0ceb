// An endpoint of a soak: takes calls, single and bulk, and answers as its trouble of the moment says. It
// tells the account when a call came, when its answer was written and when its connection ended. One thread.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "http/parser.hpp"
#include "lab/link.hpp"
#include "lab/soak_account.hpp"

namespace brasslift::lab {

enum class Trouble : std::uint8_t {
    none,
    slow,     // answers late
    hangs,    // reads, and never answers
    resets,   // closes in place of an answer
    shuts,    // closes what connects before it reads
    refuses,  // 503
    waits,    // 429 with a wait
    fails,    // 500
    spoils,   // an answer that cannot be read
    doubles   // 200 or 503, and the same bytes again a moment later
};
constexpr int troubles = 10;
const char* name_of(Trouble trouble);

class SoakEndpoint {
public:
    // `begun`: the account's times count from then.
    SoakEndpoint(runtime::Scheduler& scheduler, SoakAccount& account, double begun, std::string uid,
                 int destination, std::uint64_t seed);
    const std::string& uid() const { return uid_; }
    int destination() const { return destination_; }
    std::string address() const { return local_text(port_); }
    // Until then, by the steady clock.
    void trouble(Trouble trouble, double until);

private:
    struct Connection;
    void take(runtime::Descriptor fd);
    runtime::Task<void> serve(std::shared_ptr<Connection> connection);
    runtime::Task<bool> answer(std::shared_ptr<Connection> connection, const http::Message& request);
    runtime::Task<void> write_again(std::shared_ptr<Connection> connection, std::string answer);
    runtime::Task<bool> stays_for(Connection& connection, double ms);
    Trouble trouble_now() const;
    double now() const { return runtime::steady_now() - begun_; }
    double drawn(double low, double high);

    runtime::Scheduler& scheduler_;
    SoakAccount& account_;
    double begun_;
    std::string uid_;
    int destination_;
    std::mt19937_64 random_;
    runtime::Waker waker_;
    runtime::Socket listener_;
    std::uint16_t port_ = 0;
    Trouble trouble_ = Trouble::none;
    double troubled_until_ = 0;
};

}  // namespace brasslift::lab
