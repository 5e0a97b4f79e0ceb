#include "cluster/notices.hpp"

#include <algorithm>
#include <cmath>

#include "config/json.hpp"
#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::cluster {
namespace {

constexpr std::size_t most_lines = 100, most_idle = 1;
// Posts at a time, answered late or never: beyond so many only first sends begin another, beyond the second
// none.
constexpr std::size_t most_posts = 24, most_posts_in_all = 48;
constexpr std::size_t most_late_posts = 6;
constexpr int early_tries = 3;
// The platform answers at once, and a final answer leaves as late as 10 ms before its time: 300 ms after that
// it is lost. A kept connection may have died in silence, so a notice that was not answered goes out again
// soon, over another one, and then less and less often. Each post waits longer than that: answers may be
// late.
constexpr double first_again_ms = 100, longest_again_ms = 1000, post_ms = 2000;
// Behind a fresh connection that failed at once: the system may have none for a moment, and a notice that is
// late by 300 ms is lost.
constexpr double first_pause_ms = 50;
constexpr int quick_tries = 8;  // before pauses grow

double again_ms(int tries) {
    return std::min(first_again_ms * std::exp2(std::min(tries, 10)), longest_again_ms);
}

std::string line_of(const dispatch::Notice& notice) {
    std::string line = "{\"id\":" + config::quoted(notice.name);
    if (notice.ending == dispatch::Ending::deferred) {
        line += ",\"status\":\"deferred\"";
        if (notice.again_ms > 0) line += ",\"again_ms\":" + std::to_string(notice.again_ms);
    } else {
        line += ",\"status\":\"undeliverable\"";
    }
    return line + "}\n";
}

std::string request_with(const std::string& body) {
    return http::write_request("POST", "/v1/outcomes",
                               {{"Host", "discovery"}, {"Content-Type", "application/x-ndjson"}}, body);
}

}  // namespace

runtime::Task<void> Notices::run() {
    for (;;) {
        for (auto& notice : mailbox_.take_all()) {
            const auto id = notice.id;
            auto& pending = pending_[id];
            pending.notice = std::move(notice);
            send_at(id, pending, scheduler_.now());
        }
        if (std::exchange(moved_, false)) {
            idle_.clear();
            for (auto& [id, pending] : pending_) send_at(id, pending, scheduler_.now());
        }
        for (auto ids = due(); !ids.empty(); ids = due()) begin_post(ids);
        co_await waker_.wait(next_due());
    }
}

Notices::Schedule& Notices::schedule_of(const Pending& pending) {
    return schedules_[static_cast<std::size_t>(pending.round)];
}

void Notices::send_at(MessageId id, Pending& pending, runtime::Time at) {
    schedule_of(pending).erase({pending.next, id});
    pending.round = pending.tries == 0            ? Round::first
                    : pending.tries < early_tries ? Round::early
                                                  : Round::late;
    pending.next = at;
    schedule_of(pending).insert({at, id});
}

bool Notices::has_post_for(Round round) const {
    if (round == Round::first) return posts_ < most_posts_in_all;
    return posts_ < most_posts && (round == Round::early || late_posts_ < most_late_posts);
}

// When there is something to post, and a post to be had for it; never: behind an answer.
runtime::Time Notices::next_due() const {
    runtime::Time next = runtime::never;
    for (std::size_t round = 0; round < rounds; ++round)
        if (!schedules_[round].empty() && has_post_for(static_cast<Round>(round)))
            next = std::min(next, schedules_[round].begin()->first);
    return next;
}

// What the next post takes.
std::vector<MessageId> Notices::due() const {
    std::vector<MessageId> ids;
    for (std::size_t round = 0; round < rounds && ids.empty(); ++round)
        if (has_post_for(static_cast<Round>(round))) ids = due_in(schedules_[round]);
    return ids;
}

// What one post takes of those whose time has come.
std::vector<MessageId> Notices::due_in(const Schedule& schedule) const {
    std::vector<MessageId> ids;
    for (const auto& [at, id] : schedule) {
        if (at > scheduler_.now() || ids.size() >= most_lines) break;
        const bool alone = pending_.at(id).alone;
        if (alone && !ids.empty()) break;
        ids.push_back(id);
        if (alone) break;
    }
    return ids;
}

void Notices::begin_post(const std::vector<MessageId>& ids) {
    std::string body;
    const auto round = pending_.at(ids.front()).round;
    for (const auto id : ids) {
        auto& pending = pending_.at(id);
        send_at(id, pending, scheduler_.now() + again_ms(pending.tries++));
        body += line_of(pending.notice);
    }
    auto caller = std::make_unique<client::Caller>(scheduler_, http::Limits{}, client::Reuse::rested);
    if (!idle_.empty()) {
        caller = std::move(idle_.back());
        idle_.pop_back();
    }
    ++posts_;
    late_posts_ += round == Round::late ? 1 : 0;
    scheduler_.spawn(post(std::move(caller), ids, std::move(body), round));
}

runtime::Task<void> Notices::post(std::unique_ptr<client::Caller> caller, std::vector<MessageId> ids,
                                  std::string body, Round round) {
    const auto to = discovery_;
    const bool kept = caller->kept();
    const runtime::Time until = scheduler_.now() + post_ms;
    const auto answer = co_await caller->call(to, request_with(body), [until] { return until; });
    --posts_;
    late_posts_ -= round == Round::late ? 1 : 0;
    const int status = answer ? answer->status : 0;
    if (status == 204)
        answered(ids);
    else if (status == 400)
        unreadable(ids, body);
    else
        failed(ids, kept);
    if (caller->connected() && to == discovery_ && idle_.size() < most_idle)
        idle_.push_back(std::move(caller));
    waker_.notify();
}

// Once each: another post of it may have been answered before.
void Notices::answered(const std::vector<MessageId>& ids) {
    dispatch::Told told;
    for (const auto id : ids) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) continue;
        schedule_of(found->second).erase({found->second.next, id});
        pending_.erase(found);
        told.ids.push_back(id);
    }
    if (!told.ids.empty()) report_(std::move(told));
}

// One of them cannot be read: singly, so that it holds no others up.
void Notices::unreadable(const std::vector<MessageId>& ids, const std::string& body) {
    if (ids.size() == 1) {
        runtime::log("notices", "a notice was not understood: %s", body.c_str());
        return answered(ids);
    }
    for (const auto id : ids) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) continue;
        found->second.alone = true;
        send_at(id, found->second, scheduler_.now());
    }
}

// A kept connection that had ended is no reason to wait.
void Notices::failed(const std::vector<MessageId>& ids, bool kept) {
    for (const auto id : ids) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) continue;
        auto& pending = found->second;
        const double grown = first_pause_ms * std::exp2(std::clamp(pending.tries - quick_tries, 0, 10));
        const double pause = kept ? 0 : std::min(grown, longest_again_ms);
        send_at(id, pending, std::min(pending.next, scheduler_.now() + pause));
    }
}

void Notices::move_to(runtime::Address discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    moved_ = true;
    waker_.notify();
}

}  // namespace brasslift::cluster
