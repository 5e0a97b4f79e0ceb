#include "dispatch/ledger.hpp"

#include <algorithm>
#include <cstring>

#include "runtime/log.hpp"

namespace brasslift::dispatch {
namespace {

// Of the log's half, what messages may fill; the rest is for their attempts, outcomes and ends.
constexpr double room_share = 0.6;

enum class Kind : char { accept = 'A', attempt = 'S', outcome = 'O', end = 'E', told = 'T' };

class Writer {
public:
    explicit Writer(Kind kind, MessageId id) : bytes_(1, static_cast<char>(kind)) { number(id); }
    template <class T>
    Writer& number(T value) {
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }
    Writer& text(std::string_view value) {
        number(static_cast<std::uint32_t>(value.size()));
        bytes_ += value;
        return *this;
    }
    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    template <class T>
    T number() {
        T value{};
        if (bytes_.size() < sizeof value) {
            good_ = false;
            return value;
        }
        std::memcpy(&value, bytes_.data(), sizeof value);
        bytes_.remove_prefix(sizeof value);
        return value;
    }
    std::string text() {
        const auto size = number<std::uint32_t>();
        if (size > bytes_.size()) {
            good_ = false;
            return {};
        }
        std::string value(bytes_.substr(0, size));
        bytes_.remove_prefix(size);
        return value;
    }
    bool good() const { return good_; }

private:
    std::string_view bytes_;
    bool good_ = true;
};

bool harmless(Result result) {
    return result == Result::full || result == Result::connect_failed || result == Result::moot;
}

std::string accept_record(const Owed& m) {
    Writer record(Kind::accept, m.id);
    record.number(m.due_wall)
        .number(m.message_class)
        .number(m.tenant)
        .number(m.destination)
        .text(m.name)
        .text(m.key)
        .text(*m.body);
    // Versions before read up to here and pass over what follows.
    if (!m.mark.empty()) record.text(m.mark);
    return record.take();
}

std::string attempt_record(MessageId id, int attempts, double wall, std::uint16_t zone) {
    return Writer(Kind::attempt, id).number(attempts).number(wall).number(zone).take();
}

std::string outcome_record(MessageId id, bool may_have_run) {
    return Writer(Kind::outcome, id).number(static_cast<std::uint8_t>(may_have_run)).take();
}

std::string end_record(const Owed& m) {
    return Writer(Kind::end, m.id).number(m.ending).number(m.again_ms).take();
}

// A message's whole history in as few records as say it.
std::vector<std::string> history(const Owed& m) {
    std::vector<std::string> records{accept_record(m)};
    if (m.may_have_run) {
        records.push_back(attempt_record(m.id, m.attempts, m.risky_wall, m.risky_zone));
        records.push_back(outcome_record(m.id, true));
    }
    if (m.attempts > 0 && (m.flying || !m.may_have_run)) {
        records.push_back(attempt_record(m.id, m.attempts, m.sent_wall, m.sent_zone));
        if (!m.flying) records.push_back(outcome_record(m.id, false));
    }
    if (m.ending != Ending::none) records.push_back(end_record(m));
    return records;
}

void note_risk(Owed& m) {
    m.flying = false;
    if (m.may_have_run) return;
    m.may_have_run = true;
    m.risky_wall = m.sent_wall;
    m.risky_zone = m.sent_zone;
}

}  // namespace

void Ledger::replay(std::string_view record, std::map<MessageId, Owed>& into) {
    Reader in(record);
    const auto kind = static_cast<Kind>(in.number<char>());
    const auto id = in.number<MessageId>();
    if (kind == Kind::accept) {
        Owed m;
        m.id = id;
        m.due_wall = in.number<double>();
        m.message_class = in.number<std::uint16_t>();
        m.tenant = in.number<std::uint16_t>();
        m.destination = in.number<std::uint16_t>();
        m.name = in.text();
        m.key = in.text();
        m.body = std::make_shared<const std::string>(in.text());
        m.bytes = journal::Log::framed(record.size());
        if (!in.good()) return;
        m.mark = in.text();  // empty where there is none, or no whole one
        into[id] = std::move(m);
        return;
    }
    const auto found = into.find(id);
    if (found == into.end()) return;
    auto& m = found->second;
    m.bytes += journal::Log::framed(record.size());
    switch (kind) {
        case Kind::attempt:
            m.attempts = in.number<int>();
            m.sent_wall = in.number<double>();
            m.sent_zone = in.number<std::uint16_t>();
            m.flying = true;
            break;
        case Kind::outcome:
            if (in.number<std::uint8_t>() != 0) note_risk(m);
            m.flying = false;
            break;
        case Kind::end:
            m.ending = in.number<Ending>();
            m.again_ms = in.number<std::uint32_t>();
            m.flying = false;
            if (m.ending == Ending::done) into.erase(found);
            break;
        case Kind::told: into.erase(found); break;
        case Kind::accept: break;
    }
}

bool Ledger::recover() {
    MessageId highest = 0;
    const bool opened = log_.open([&](std::string_view record) {
        if (record.size() >= 9) {
            MessageId id = 0;
            std::memcpy(&id, record.data() + 1, sizeof id);
            highest = std::max(highest, id);
        }
        replay(record, messages_);
    });
    last_id_ = highest;
    for (auto& [id, m] : messages_) {
        // An attempt without an outcome was out when the process ended: it may have run.
        m.cut = m.flying;
        if (m.flying) note_risk(m);
        live_ += m.bytes;
        if (m.ending == Ending::none) names_.insert(m.name);
        held_ += m.ending == Ending::none ? 1 : 0;
    }
    return opened;
}

Owed* Ledger::find(MessageId id) {
    const auto found = messages_.find(id);
    return found == messages_.end() ? nullptr : &found->second;
}

void Ledger::compact() {
    std::vector<std::string> records;
    live_ = 0;
    for (auto& [id, m] : messages_) {
        m.bytes = 0;
        for (auto& record : history(m)) {
            m.bytes += journal::Log::framed(record.size());
            records.push_back(std::move(record));
        }
        live_ += m.bytes;
    }
    if (log_.rewrite(records)) late_.clear();
}

bool Ledger::flush_late() {
    std::size_t done = 0;
    while (done < late_.size() && log_.append(late_[done])) ++done;
    late_.erase(late_.begin(), late_.begin() + static_cast<std::ptrdiff_t>(done));
    return late_.empty();
}

bool Ledger::write(const std::string& record) {
    if (log_.wants_rewrite(record.size())) compact();
    return flush_late() && log_.append(record);
}

// What has happened cannot be refused: kept, and written before anything else is.
void Ledger::write_surely(std::string record) {
    if (!write(record)) late_.push_back(std::move(record));
}

Owed* Ledger::take(Owed message) {
    const auto record = accept_record(message);
    const auto size = journal::Log::framed(record.size());
    // Out of room is a local reply, never a folder over its limit.
    if (static_cast<double>(live_ + size) > room_share * static_cast<double>(log_.half())) return nullptr;
    if (!write(record)) return nullptr;
    message.bytes = size;
    live_ += size;
    ++held_;
    names_.insert(message.name);
    const auto id = message.id;
    return &messages_.insert_or_assign(id, std::move(message)).first->second;
}

bool Ledger::attempt(Owed& m, double wall, std::uint16_t zone) {
    const auto record = attempt_record(m.id, m.attempts + 1, wall, zone);
    if (!write(record)) return false;
    m.bytes += journal::Log::framed(record.size());
    live_ += journal::Log::framed(record.size());
    ++m.attempts;
    m.flying = true;
    m.sent_wall = wall;
    m.sent_zone = zone;
    return true;
}

void Ledger::outcome(Owed& m, Result result) {
    const bool risky = !harmless(result);
    if (risky) note_risk(m);
    m.flying = false;
    if (m.ending != Ending::none) return drop_if_over(m.id);
    // A delivery's own record is its end.
    if (result == Result::ok) return;
    auto record = outcome_record(m.id, risky);
    m.bytes += journal::Log::framed(record.size());
    live_ += journal::Log::framed(record.size());
    write_surely(std::move(record));
}

void Ledger::end(Owed& m, Ending ending, std::uint32_t again_ms) {
    if (m.ending != Ending::none) return;
    m.ending = ending;
    m.again_ms = again_ms;
    --held_;
    names_.erase(m.name);
    auto record = end_record(m);
    m.bytes += journal::Log::framed(record.size());
    live_ += journal::Log::framed(record.size());
    write_surely(std::move(record));
    drop_if_over(m.id);
}

void Ledger::told(MessageId id) {
    auto* const m = find(id);
    if (m == nullptr) return;
    if (m->ending == Ending::failed || m->ending == Ending::deferred) m->ending = Ending::done;
    write_surely(Writer(Kind::told, id).take());
    drop_if_over(id);
}

void Ledger::drop_if_over(MessageId id) {
    const auto found = messages_.find(id);
    if (found == messages_.end() || found->second.ending != Ending::done || found->second.flying) return;
    live_ -= std::min(live_, found->second.bytes);
    messages_.erase(found);
}

}  // namespace brasslift::dispatch
