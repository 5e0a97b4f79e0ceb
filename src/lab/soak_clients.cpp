// The clients of a soak: such that keep their connections and use them while they stay open, such that rest
// until the dispatcher ends them, and a crowd that brings nothing.
#include <algorithm>
#include <cmath>
#include <vector>

#include "http/writer.hpp"
#include "lab/site.hpp"
#include "lab/soak_one.hpp"

namespace brasslift::lab {
namespace {

constexpr double new_after_term_ms = 300;  // new connections keep coming for so long
constexpr int keys_each = 4;               // of each dispatcher's clients
constexpr double rest_ms = 20000;          // that a resting client waits for the end of its connection
constexpr std::size_t crowd_size = 140;    // more than a dispatcher of the soak has places for clients
constexpr double crowd_step_ms = 200;

struct MessageClass {
    const char* name;
    SoakRepeat repeat;
    bool ordered;
};

}  // namespace

SoakAccount::Message Soak::next_message(const One& one, const char* keys) {
    static const MessageClass classes[] = {{"safe", SoakRepeat::safe, false},
                                           {"keyed", SoakRepeat::keyed, false},
                                           {"payment", SoakRepeat::never, false},
                                           {"ordered", SoakRepeat::never, true},
                                           {"ordered", SoakRepeat::never, true}};
    const auto& kind = classes[random_() % std::size(classes)];
    SoakAccount::Message message;
    message.id = "m" + std::to_string(next_message_++);
    message.dispatcher = one.name;
    message.message_class = kind.name;
    message.repeat = kind.repeat;
    message.destination = 1 + static_cast<int>(random_() % static_cast<unsigned>(plan_.destinations));
    if (runtime::steady_now() < busy_until_) message.destination = busy_destination_;
    message.deadline_ms = std::floor(between(0.05, 1) * plan_.deadline_ms);
    if (kind.ordered) message.key = keys + std::to_string(random_() % keys_each);
    return message;
}

std::string Soak::request_of(const SoakAccount::Message& message) {
    const auto query = message.key.empty() ? std::string() : "?key=" + message.key;
    return http::write_request(
        "POST", '/' + message.message_class + query,
        {{"Req-Id", message.id},
         {"Req-Owner", "acme"},
         {"Req-Deadline", std::to_string(static_cast<long>(message.deadline_ms)) + "m"},
         {"Idempotency-Key", "i" + message.id},
         {"X-Addressing", "dest=" + std::to_string(message.destination)}},
        "message " + message.id);
}

// Whether new connections still come: for a while behind SIGTERM too.
bool Soak::welcomes(One& one) {
    return one.ready && one.process.running() &&
           runtime::steady_now() < one.refuses_after + new_after_term_ms;
}

// Keeps its connection, and uses it for as long as it stays open.
runtime::Task<void> Soak::client(One& one) {
    SoakClient client(scheduler_, local(one.port));
    for (;;) {
        co_await runtime::sleep_until(scheduler_,
                                      scheduler_.now() + between(0.2, 1.8) * plan_.client_every_ms);
        if (!clients_on_) co_return;
        client.look();
        if (!one.process.running()) continue;
        if (welcomes(one) && random_() % 4 == 0) client.close();
        if (!client.connected() && !welcomes(one)) continue;
        const double pause_ms = random_() % 16 == 0 ? between(20, 800) : 0;
        auto handing = hand_in(one, client, "k", pause_ms);
        co_await handing;
    }
}

// Its request crosses the end of a connection that it has let rest, some of them since the connect.
runtime::Task<void> Soak::resting_client(One& one) {
    SoakClient client(scheduler_, local(one.port));
    while (clients_on_) {
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + between(50, 500));
        client.look();
        if (!clients_on_) co_return;
        if (!welcomes(one)) continue;
        const int life = one.life;
        if (random_() % 2 == 0) {
            auto first = hand_in(one, client, "r", 0);
            co_await first;
        }
        auto resting = client.rest(rest_ms);
        const bool ended = co_await resting;
        if (!clients_on_) co_return;
        if (ended && one.killed_life < life) {
            auto crossing = hand_in(one, client, "r", 0);
            co_await crossing;
        }
        client.close();
    }
}

// Connections that bring nothing, as many as the dispatcher has places for and more.
runtime::Task<void> Soak::crowd_of(One& one) {
    runtime::Waker waker(scheduler_);
    std::vector<runtime::Socket> idle;
    while (clients_on_) {
        std::erase_if(idle, [](const runtime::Socket& socket) { return socket.news_of_end(); });
        while (welcomes(one) && idle.size() < crowd_size) {
            auto fresh = runtime::connect_to(scheduler_, local(one.port), waker);
            if (!fresh) break;
            idle.push_back(std::move(*fresh));
        }
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + crowd_step_ms);
    }
}

// `keys`: those of this client, whose messages of one key come one after the other.
runtime::Task<void> Soak::hand_in(One& one, SoakClient& client, const char* keys, double pause_ms) {
    ++handing_in_;
    auto handing = hand_in_message(one, client, next_message(one, keys), pause_ms);
    co_await handing;
    --handing_in_;
}

// A client whose process was killed meanwhile, or that had to wait too long, knows nothing of its message.
// One whose request was not read sends it once more, over a new connection. Any other end without an answer
// is a loss.
runtime::Task<void> Soak::hand_in_message(One& one, SoakClient& client, SoakAccount::Message message,
                                          double pause_ms) {
    for (int tries = 0; tries < 2; ++tries) {
        const int life = one.life;
        HandIn request{request_of(message), pause_ms, {}};
        request.written = [this, tries, &message] {
            tries == 0 ? account_.submitted(message, now()) : account_.handed_in_again(message.id, now());
        };
        auto handing = client.hand_in(std::move(request));
        const auto result = co_await handing;
        const bool killed = one.killed_life >= life;
        switch (result.end) {
            case HandInEnd::answered: co_return account_.answered(message.id, result.status, now());
            case HandInEnd::unreached:
                if (tries > 0) account_.unanswered(message.id, true, now());
                co_return;
            case HandInEnd::dropped: co_return account_.unanswered(message.id, killed, now());
            case HandInEnd::silent: co_return account_.unanswered(message.id, true, now());
            case HandInEnd::unread: break;
        }
        if (killed || tries > 0 || !welcomes(one)) co_return account_.unanswered(message.id, true, now());
        account_.unread(message.id, now());
    }
}

}  // namespace brasslift::lab
