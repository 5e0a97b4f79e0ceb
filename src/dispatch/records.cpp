#include "dispatch/records.hpp"

#include <limits>

namespace brasslift::dispatch {

using store::ValueReader;
using store::ValueWriter;

namespace {

// Numbers that fit 16 bits stand as they did when all were so narrow. Others stand behind 16 bits of ones and
// a length that no name has: an earlier version finds that it cannot read the record, and keeps it.
using Narrow = std::uint16_t;
constexpr Narrow narrow_ones = std::numeric_limits<Narrow>::max();
constexpr auto no_length = std::numeric_limits<std::uint32_t>::max();

void put_destination(ValueWriter& out, DestinationId destination) {
    if (destination <= narrow_ones)
        out.number(static_cast<Narrow>(destination));
    else
        out.number(narrow_ones).number(no_length).number(destination);
}

// Reads the name behind it as well: only with its length is it known which form this is.
void get_destination_and_name(ValueReader& in, Owed& m) {
    m.destination = in.number<Narrow>();
    auto behind = in;
    if (m.destination == narrow_ones && behind.number<std::uint32_t>() == no_length) {
        m.destination = behind.number<DestinationId>();
        in = behind;
    }
    m.name = in.text();
}

}  // namespace

std::string MessageCodec::value(const Owed& m) {
    ValueWriter out;
    out.number(m.due_wall).number(m.message_class).number(m.tenant);
    put_destination(out, m.destination);
    out.text(m.name).text(m.key).text(*m.body);
    if (!m.mark.empty() || m.order_key != 0) out.text(m.mark);
    if (m.order_key != 0) out.number(m.order_key);
    return out.take();
}

std::optional<Owed> MessageCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    Owed m;
    m.due_wall = in.number<double>();
    m.message_class = in.number<std::uint16_t>();
    m.tenant = in.number<std::uint16_t>();
    get_destination_and_name(in, m);
    m.key = in.text();
    m.body = std::make_shared<const std::string>(in.text());
    if (!in.good()) return std::nullopt;
    m.mark = in.text();                        // empty where there is none
    m.order_key = in.number<std::uint64_t>();  // 0 where there is none
    return m;
}

std::string ProgressCodec::value(const Standing& m) {
    return ValueWriter()
        .number(static_cast<std::int32_t>(m.attempts))
        .number(static_cast<std::uint8_t>((m.flying ? 1 : 0) | (m.may_have_run ? 2 : 0)))
        .number(m.sent_wall)
        .number(m.sent_zone)
        .number(m.risky_wall)
        .number(m.risky_zone)
        .take();
}

std::optional<Standing> ProgressCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    Standing m;
    m.attempts = in.number<std::int32_t>();
    const auto flags = in.number<std::uint8_t>();
    m.flying = (flags & 1) != 0;
    m.may_have_run = (flags & 2) != 0;
    m.sent_wall = in.number<double>();
    m.sent_zone = in.number<std::uint16_t>();
    m.risky_wall = in.number<double>();
    m.risky_zone = in.number<std::uint16_t>();
    return in.good() ? std::optional(m) : std::nullopt;
}

std::string NoticeCodec::value(const Notice& notice) {
    ValueWriter out;
    out.number(notice.ending).number(notice.again_ms).text(notice.name);
    if (notice.order_key != 0) out.number(notice.order_key);
    return out.take();
}

std::optional<Notice> NoticeCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    Notice notice;
    notice.ending = in.number<Ending>();
    notice.again_ms = in.number<std::uint32_t>();
    notice.name = in.text();
    if (!in.good()) return std::nullopt;
    notice.order_key = in.number<std::uint64_t>();  // 0 where there is none
    return notice;
}

std::optional<std::uint64_t> SeenCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    const auto print = in.number<std::uint64_t>();
    return in.good() ? std::optional(print) : std::nullopt;
}

std::string LeavingCodec::value(ListingState state) {
    return ValueWriter().number(static_cast<std::uint8_t>(state)).take();
}

std::optional<ListingState> LeavingCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    const auto code = in.number<std::uint8_t>();
    if (!in.good() || code > static_cast<std::uint8_t>(ListingState::gone)) return std::nullopt;
    return static_cast<ListingState>(code);
}

std::vector<store::KeyspaceRule> ledger_keyspaces() {
    return {{MessageCodec::id, "message", {}, false},
            {ProgressCodec::id, "progress", {}, false},
            {NoticeCodec::id, "notice", {}, false},
            {SeenCodec::id, "seen", {static_cast<store::Stamp>(remembered_ms), most_remembered, 0}, true},
            {LeavingCodec::id, "leaving", {}, true},
            {meta_keyspace, "meta", {}, false}};
}

void note_risk(Standing& m) {
    m.flying = false;
    if (m.may_have_run) return;
    m.may_have_run = true;
    m.risky_wall = m.sent_wall;
    m.risky_zone = m.sent_zone;
}

}  // namespace brasslift::dispatch
