#include "lab/soak_account.hpp"

#include <algorithm>

namespace brasslift::lab {
namespace {

constexpr double ready_grace_ms = 1500;  // from a restart's end until notices may be overdue
constexpr std::size_t notes_shown = 12;  // of the rig's latest deeds, with a broken rule

std::string at(double now) { return std::to_string(static_cast<long>(now)); }

}  // namespace

void SoakAccount::say(Kept& m, const std::string& what, double now) {
    m.history.push_back(at(now) + ' ' + what);
}

void SoakAccount::note(const std::string& what, double now) { notes_.push_back(at(now) + ' ' + what); }

void SoakAccount::broke(const std::string& rule, double now) {
    std::string text = at(now) + ' ' + rule;
    const auto from = notes_.size() > notes_shown ? notes_.size() - notes_shown : 0;
    for (auto i = from; i < notes_.size(); ++i) text += "\n    " + notes_[i];
    broken_.push_back(std::move(text));
}

void SoakAccount::broke(Kept& m, const std::string& rule, double now) {
    std::string text = at(now) + ' ' + rule + ": " + m.id + " of " + m.dispatcher;
    if (!m.key.empty()) text += ", key " + m.key;
    for (const auto& line : m.history) text += "\n    " + line;
    broken_.push_back(std::move(text));
}

void SoakAccount::submitted(const Message& message, double now) {
    auto& m = messages_[message.id];
    static_cast<Message&>(m) = message;
    m.handed_at = now;
    m.due = now + message.deadline_ms;
    ++figures_.submitted;
    say(m, "handed in", now);
}

void SoakAccount::answered(const std::string& id, int status, double now) {
    auto& m = messages_.at(id);
    say(m, "answered " + std::to_string(status), now);
    if (status != 202 && status != 200) {
        ++figures_.refused;
        return;
    }
    ++figures_.taken;
    m.taken = true;
    m.taken_at = now;
    if (!m.over && m.notice.empty()) waiting_.insert(id);
    if (!m.key.empty()) key_of(m).line.push_back(id);
}

void SoakAccount::unanswered(const std::string& id, bool excused, double now) {
    auto& m = messages_.at(id);
    ++figures_.unanswered;
    m.excused = true;
    say(m, excused ? "its client has no answer, and left" : "its connection ended without an answer", now);
    if (!excused) broke(m, "lost: a request was read and closed without an answer", now);
}

void SoakAccount::unread(const std::string& id, double now) {
    auto& m = messages_.at(id);
    ++figures_.unread;
    m.unread = true;
    say(m, "its connection was reset: it was not read", now);
}

void SoakAccount::handed_in_again(const std::string& id, double now) {
    auto& m = messages_.at(id);
    m.unread = false;
    m.due = now + m.deadline_ms;
    say(m, "handed in again", now);
}

void SoakAccount::check_order(Kept& m, double now) {
    if (m.key.empty()) return;
    ++figures_.ordered_calls;
    auto& key = key_of(m);
    for (const auto& earlier : key.line) {
        if (earlier == m.id) break;
        auto& other = messages_.at(earlier);
        if (other.over && other.out == 0) continue;
        for (const auto& line : other.history) say(m, "  " + earlier + ": " + line, now);
        return broke(m, "order: sent while " + earlier + " was not over", now);
    }
    const bool retries = m.calls > 0;
    if (!retries && now < key.rest_until) broke(m, "order: the key rested until " + at(key.rest_until), now);
}

void SoakAccount::check_repeat(Kept& m, double now) {
    if (m.out > 0) broke(m, "two attempts were out at a time", now);
    if (m.first_risky < 0) return;
    if (m.repeat == SoakRepeat::never) broke(m, "duplicate: it may have run before", now);
    if (m.repeat == SoakRepeat::keyed && now > m.first_risky + terms_.window_ms + terms_.slack_ms)
        broke(m, "duplicate: its window was over", now);
}

void SoakAccount::check_host(Kept& m, const std::string& endpoint, double now) {
    auto& d = dispatchers_[m.dispatcher];
    const auto leaving = d.leaving.find(endpoint);
    const double grace = terms_.drain_grace_ms + terms_.slack_ms + terms_.scheduling_ms;
    if (leaving != d.leaving.end() && now > leaving->second + grace)
        broke(m, "drain: sent to " + endpoint + ", which leaves since " + at(leaving->second), now);
    const auto wait = d.waits.find(endpoint);
    if (wait == d.waits.end()) return;
    const auto [since, until] = wait->second;
    const double on_the_way = since + terms_.wait_grace_ms + terms_.slack_ms + terms_.scheduling_ms;
    if (now > on_the_way && now < until - terms_.scheduling_ms)
        broke(m, "wait: " + endpoint + " had asked to wait until " + at(until), now);
}

std::size_t SoakAccount::called(const std::string& id, const std::string& endpoint, double now) {
    calls_.push_back({id, endpoint, false});
    ++figures_.calls;
    const auto found = messages_.find(id);
    if (found == messages_.end()) {
        broke("a call for a message that nobody handed in: " + id, now);
        return calls_.size() - 1;
    }
    auto& m = found->second;
    say(m, "call at " + endpoint, now);
    if (m.unread && !m.excused) broke(m, "lost: forwarded, though its client saw that it was not read", now);
    // What its client has left counts for nothing.
    if (!m.excused) {
        check_order(m, now);
        check_repeat(m, now);
        check_host(m, endpoint, now);
        if (!m.notice.empty()) broke(m, "sent after its client was notified: " + m.notice, now);
    }
    ++m.out;
    ++m.calls;
    return calls_.size() - 1;
}

void SoakAccount::call_ended(std::size_t number, CallEnd how, double wait_ms, double now) {
    auto& call = calls_[number];
    const auto found = messages_.find(call.id);
    if (call.over || found == messages_.end()) return;
    call.over = true;
    auto& m = found->second;
    --m.out;
    static const char* const names[] = {"delivered", "refused", "failed", "broken"};
    say(m, std::string("call ") + names[static_cast<int>(how)], now);
    if (wait_ms > 0) {
        auto& wait = dispatchers_[m.dispatcher].waits[call.endpoint];
        wait = {now, std::max(wait.second, now + wait_ms)};
    }
    if (how == CallEnd::refused) return;
    if (m.first_risky < 0) m.first_risky = now;
    if (how == CallEnd::broken && !m.key.empty()) {
        auto& key = key_of(m);
        key.rest_until = std::max(key.rest_until, now + terms_.turn_gap_ms);
    }
    if (how != CallEnd::delivered) return;
    // The platform waits for the end of a message whose time was up before its partner answered.
    if (now > m.due) return say(m, "delivered behind its time", now);
    ++figures_.delivered;
    m.over = m.delivered = true;
    waiting_.erase(m.id);
}

void SoakAccount::notice_came(const std::string& id, const std::string& status, double now) {
    const auto found = messages_.find(id);
    if (found == messages_.end()) return broke("a notice of a message that nobody handed in: " + id, now);
    auto& m = found->second;
    say(m, "notice " + status + " came", now);
    if (!m.notice.empty() && m.notice != status) broke(m, "two different final answers", now);
    m.notice = status;
    waiting_.erase(id);
}

void SoakAccount::notice_answered(const std::string& id, const std::string& status, double now) {
    ++figures_.notices;
    const auto found = messages_.find(id);
    if (found == messages_.end()) return;  // as was said when it came
    auto& m = found->second;
    say(m, "notice " + status + " answered", now);
    m.over = true;
}

void SoakAccount::notified_leaving(const std::string& dispatcher, const std::string& endpoint, double now) {
    dispatchers_[dispatcher].leaving.emplace(endpoint, now);
}

void SoakAccount::restarts(const std::string& dispatcher, double now) {
    auto& d = dispatchers_[dispatcher];
    d.down = true;
    d.waits.clear();
    note(dispatcher + " ends", now);
}

void SoakAccount::ready(const std::string& dispatcher, double now) {
    auto& d = dispatchers_[dispatcher];
    d.down = false;
    d.excused_until = now + ready_grace_ms;
    note(dispatcher + " is ready", now);
}

void SoakAccount::look(double now) {
    std::vector<std::string> lost;
    for (const auto& id : waiting_) {
        const auto& m = messages_.at(id);
        const auto& d = dispatchers_[m.dispatcher];
        const double until = std::max(m.due, d.excused_until) + terms_.late_ms + terms_.scheduling_ms;
        if (!d.down && now > until) lost.push_back(id);
    }
    for (const auto& id : lost) {
        waiting_.erase(id);
        broke(messages_.at(id), "lost: taken on, and no end in time", now);
    }
}

std::size_t SoakAccount::open() const { return waiting_.size(); }

}  // namespace brasslift::lab
