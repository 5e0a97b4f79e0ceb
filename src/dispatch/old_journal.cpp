#include "dispatch/old_journal.hpp"

#include <zlib.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace brasslift::dispatch {
namespace {

constexpr std::string_view magic = "dispatch-log-01\n";
constexpr std::string_view prefix = "journal.";
constexpr std::size_t most_record = 1 << 20, most_journal = std::size_t{1} << 30;

std::vector<std::string> names_in(store::Files& files) {
    std::vector<store::Files::Entry> entries;
    files.list(entries);
    std::vector<std::string> names;
    for (const auto& entry : entries)
        if (entry.name.starts_with(prefix)) names.push_back(entry.name);
    return names;
}

void replay_text(std::string_view text, std::map<MessageId, Owed>& into) {
    for (std::size_t at = magic.size(); text.size() - at >= 8;) {
        std::uint32_t head[2];
        std::memcpy(head, text.data() + at, sizeof head);
        if (head[0] > most_record || head[0] > text.size() - at - 8) return;
        const auto record = text.substr(at + 8, head[0]);
        const auto sum = ::crc32(0, reinterpret_cast<const Bytef*>(record.data()), head[0]);
        if (static_cast<std::uint32_t>(sum) != head[1]) return;
        replay_old(record, into);
        at += 8 + head[0];
    }
}

}  // namespace

void replay_old(std::string_view record, std::map<MessageId, Owed>& into) {
    store::ValueReader in(record);
    const char kind = in.number<char>();
    const auto id = in.number<MessageId>();
    if (!in.good()) return;
    if (kind == 'A') {
        if (auto m = MessageCodec::value(record.substr(1 + sizeof id))) {
            m->id = id;
            into[id] = std::move(*m);
        }
        return;
    }
    const auto found = into.find(id);
    if (found == into.end()) return;
    auto& m = found->second;
    switch (kind) {
        case 'S':
            m.attempts = in.number<int>();
            m.sent_wall = in.number<double>();
            m.sent_zone = in.number<std::uint16_t>();
            m.flying = true;
            break;
        case 'O':
            if (in.number<std::uint8_t>() != 0) note_risk(m);
            m.flying = false;
            break;
        case 'E':
            m.ending = in.number<Ending>();
            m.again_ms = in.number<std::uint32_t>();
            m.flying = false;
            if (m.ending == Ending::done) into.erase(found);
            break;
        case 'T': into.erase(found); break;
        default: break;
    }
}

bool read_old_journal(store::Files& files, std::map<MessageId, Owed>& into) {
    std::vector<std::pair<std::uint64_t, std::string>> found;
    for (const auto& name : names_in(files)) {
        std::uint64_t number = 0;
        const auto* const last = name.data() + name.size();
        const auto [end, bad] = std::from_chars(name.data() + prefix.size(), last, number);
        if (bad == std::errc{} && end == last) found.emplace_back(number, name);
    }
    // A rewrite was renamed into place whole, so the highest number is the journal.
    std::sort(found.rbegin(), found.rend());
    for (const auto& [number, name] : found) {
        std::string text;
        if (store::read_all(files, name, most_journal, text) < 0 || !text.starts_with(magic)) continue;
        replay_text(text, into);
        return true;
    }
    return false;
}

bool any_old_journal(store::Files& files) { return !names_in(files).empty(); }

// The newest last: as long as any is left, it is what the others were older forms of.
void remove_old_journal(store::Files& files) {
    auto names = names_in(files);
    std::sort(names.begin(), names.end(), [](const std::string& a, const std::string& b) {
        return a.size() != b.size() ? a.size() < b.size() : a < b;
    });
    for (const auto& name : names) files.remove(name);
}

}  // namespace brasslift::dispatch
