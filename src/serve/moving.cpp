// One life's end in another process, and its beginning there (docs/design/handover.md).
#include "handover/channel.hpp"
#include "handover/decide.hpp"
#include "handover/meaning.hpp"
#include "runtime/log.hpp"
#include "serve/life.hpp"
#include "state/archive.hpp"

namespace brasslift::serve {
namespace {

// Each step's limit. Clients wait 400 ms for an answer, so a process that hangs must not hold them up for
// long.
constexpr double hello_ms = 250, give_ms = 250, ready_ms = 250;
constexpr double take_ms = 1500, commit_ms = 1000;
constexpr int settle_turns = 20;
constexpr double ask_pause_ms = 20, lock_pause_ms = 2;
// A folder that fails for a while is opened again for so long.
constexpr double open_retry_ms = 25000, open_pause_ms = 100;
// What still cannot be read by then is taken for damaged.
constexpr double patient_ms = 3000;
// Descriptors that each process needs beside what travels.
constexpr std::size_t own_descriptors = 48;

}  // namespace

// From now on a process that starts finds this one.
void Life::await_successor() {
    heir_listener_ = runtime::Socket(
        scheduler_, handover::listen_at(handover::socket_path(config_.state_folder)), heir_waker_);
    if (!heir_listener_)
        return runtime::log("main", "no way to hand over: a successor will wait for this end");
    scheduler_.spawn(hear_successors());
}

runtime::Task<void> Life::hear_successors() {
    for (;;) {
        runtime::Descriptor fd;
        const auto accepted = runtime::accept_from(heir_listener_, fd);
        if (accepted == runtime::Accepted::none) {
            co_await heir_waker_.wait();
            continue;
        }
        if (accepted != runtime::Accepted::one) {
            co_await runtime::sleep_until(scheduler_, scheduler_.now() + ask_pause_ms);
            continue;
        }
        if (!handover::same_user(fd.get())) continue;
        heir_ = std::move(fd);
        scheduler_.stop();  // run() goes on with it, between two turns of the loop
        co_await heir_waker_.wait(scheduler_.now());
    }
}

// Whether all that there was is another process's now.
bool Life::give() {
    const auto heir = std::move(heir_);
    const auto asked = handover::receive_frame(heir.get(), runtime::steady_now() + hello_ms);
    handover::Hello hello_of_heir;
    if (!asked || asked->kind != handover::Kind::hello || !state::unpack(hello_of_heir, asked->bytes))
        return false;
    server_.pause();
    bool at_rest = false;
    for (int turn = 0; turn < settle_turns && !at_rest; ++turn) {
        scheduler_.settle();
        at_rest = dispatcher_.settle();
        scheduler_.settle();
        at_rest = at_rest && dispatcher_.mailbox().empty() && server_.quiet();
    }
    const auto answer =
        handover::answer_to(hello_of_heir, handover::hello_of(config_), lifecycle_.phase(), at_rest);
    if (answer != handover::Answer::give) {
        handover::send_frame(heir.get(), handover::Kind::decline, state::pack(answer), {},
                             runtime::steady_now() + hello_ms);
        server_.go_on();
        return false;
    }
    const bool drains = lifecycle_.draining();
    lifecycle_.hand_over();
    const auto begun = runtime::steady_now();
    state::Luggage luggage;
    LifeState state;
    state.drains = drains;
    state.core = dispatcher_.save();
    state.cluster = cluster_.save();
    // Both processes hold what travels for a moment, and together no more than the limit.
    const auto used = server_.open() + pool_.idle() + dispatcher_.flying() + own_descriptors;
    const auto room = config_.sockets > used + own_descriptors ? config_.sockets - used - own_descriptors : 0;
    state.server = server_.save(luggage, room);
    state.pool = pool_.save(luggage, room);
    const bool sent = handover::send_frame(heir.get(), handover::Kind::state, state::pack(state),
                                           luggage.given(), runtime::steady_now() + give_ms);
    const auto ready =
        sent ? handover::receive_frame(heir.get(), runtime::steady_now() + ready_ms) : std::nullopt;
    const bool taken =
        ready && ready->kind == handover::Kind::ready &&
        handover::send_frame(heir.get(), handover::Kind::commit, "", {}, runtime::steady_now() + hello_ms);
    if (!taken) {
        lifecycle_.take_back();
        server_.go_on();
        runtime::log("main", "a successor asked and did not take over; this process goes on");
        return false;
    }
    lifecycle_.handed_over();
    runtime::log("main", "handed over %zu messages, %zu calls and %zu descriptors in %.1f ms", ledger_.held(),
                 state.pool.flights.size(), luggage.given().size(), runtime::steady_now() - begun);
    return true;
}

// Asks whoever has the store. What it gave is held; nothing of it has been touched.
handover::Asked Life::ask() {
    const auto path = handover::socket_path(config_.state_folder);
    const auto owner = handover::call_at(path);
    if (!owner || !handover::same_user(owner.get())) return handover::Asked::nobody;
    const Time until = runtime::steady_now() + take_ms;
    if (!handover::send_frame(owner.get(), handover::Kind::hello, state::pack(handover::hello_of(config_)),
                              {}, until))
        return handover::Asked::nobody;
    auto frame = handover::receive_frame(owner.get(), until);
    if (!frame) {
        runtime::log("main", "the process before this one does not answer");
        return handover::Asked::silent;
    }
    if (frame->kind == handover::Kind::decline) {
        auto answer = handover::Answer::not_now;
        state::unpack(answer, frame->bytes);
        if (answer == handover::Answer::not_now) return handover::Asked::not_now;
        runtime::log("main", "the process before this one %s: waiting for its end",
                     std::string(handover::name_of(answer)).c_str());
        return handover::Asked::declined;
    }
    auto taken = std::make_unique<Taken>();
    Sender probe(config_.settings, config_.seed);
    if (frame->kind != handover::Kind::state || !state::unpack(taken->state, frame->bytes) ||
        !probe.load(taken->state.core.module)) {
        runtime::log("main", "what the process before this one gave cannot be read: waiting for its end");
        return handover::Asked::declined;
    }
    taken->luggage = std::move(frame->luggage);
    if (!handover::send_frame(owner.get(), handover::Kind::ready, "", {}, until))
        return handover::Asked::nobody;
    const auto commit = handover::receive_frame(owner.get(), runtime::steady_now() + commit_ms);
    if (!commit || commit->kind != handover::Kind::commit) {
        runtime::log("main", "the process before this one ended while it handed over");
        return handover::Asked::nobody;
    }
    taken_ = std::move(taken);
    return handover::Asked::taken;
}

// Until the store is this process's, with or without what the one before gave. False: told to stop meanwhile.
bool Life::come_into_store(store::Report& report) {
    bool asks = true, told = false;
    const Time give_up = runtime::steady_now() + open_retry_ms;
    const Time patient_until = runtime::steady_now() + patient_ms;
    for (;;) {
        auto asked = handover::Asked::nobody;
        if (asks && !taken_) asked = ask();
        if (taken_) asked = handover::Asked::taken;
        const auto fault = store_.open(static_cast<store::Stamp>(runtime::wall_now()), report,
                                       runtime::steady_now() < patient_until);
        if (fault == store::Fault::none) return true;
        if (fault == store::Fault::io && runtime::steady_now() < give_up) {
            runtime::log("store", "the start waits: the store cannot be opened: %s", store_.why().c_str());
            if (!wait_at_start(open_pause_ms)) return false;
            continue;
        }
        if (fault != store::Fault::locked)
            throw std::runtime_error("the store cannot be opened: " + store_.why());
        const auto next = handover::next_after(asked, true);
        if (!told && next != handover::Next::resume)
            runtime::log("main", "another process has the store: waiting for its end");
        told = told || next != handover::Next::resume;
        asks = next == handover::Next::ask_again;
        const Time until = runtime::steady_now() + (asks ? ask_pause_ms : lock_pause_ms);
        while (runtime::steady_now() < until) scheduler_.run_until(until);
        if (stop_requested()) return false;
    }
}

void Life::resume() {
    auto& [state, luggage] = *taken_;
    cluster_.begin_with_departed(ledger_.departed(), false);
    cluster_.adopt(state.cluster);
    dispatcher_.adopt(state.core);
    if (plan_) dispatcher_.plan_by(plan_);
    std::set<MessageId> out;
    for (const auto& flight : state.pool.flights)
        for (const auto& message : flight.messages) out.insert(message.id);
    dispatcher_.resume(out);
    pool_.adopt(state.pool, luggage);
    scheduler_.spawn(cluster_.run());
    scheduler_.spawn(cluster_.watch());
    lifecycle_.begin();
    // A drain is the dispatcher's, whichever process it is.
    if (state.drains && lifecycle_.drain(scheduler_.now())) server_.drain();
    if (!server_.adopt(state.server, luggage))
        throw std::runtime_error("the listening socket did not come along");
    taken_.reset();
}

}  // namespace brasslift::serve
