#include "dispatch/records.hpp"

namespace brasslift::dispatch {

using store::ValueReader;
using store::ValueWriter;

std::string MessageCodec::value(const Owed& m) {
    ValueWriter out;
    out.number(m.due_wall)
        .number(m.message_class)
        .number(m.tenant)
        .number(m.destination)
        .text(m.name)
        .text(m.key)
        .text(*m.body);
    if (!m.mark.empty()) out.text(m.mark);
    return out.take();
}

std::optional<Owed> MessageCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    Owed m;
    m.due_wall = in.number<double>();
    m.message_class = in.number<std::uint16_t>();
    m.tenant = in.number<std::uint16_t>();
    m.destination = in.number<std::uint16_t>();
    m.name = in.text();
    m.key = in.text();
    m.body = std::make_shared<const std::string>(in.text());
    if (!in.good()) return std::nullopt;
    m.mark = in.text();  // empty where there is none
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
    return ValueWriter().number(notice.ending).number(notice.again_ms).text(notice.name).take();
}

std::optional<Notice> NoticeCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    Notice notice;
    notice.ending = in.number<Ending>();
    notice.again_ms = in.number<std::uint32_t>();
    notice.name = in.text();
    return in.good() ? std::optional(notice) : std::nullopt;
}

std::optional<std::uint64_t> SeenCodec::value(std::string_view bytes) {
    ValueReader in(bytes);
    const auto print = in.number<std::uint64_t>();
    return in.good() ? std::optional(print) : std::nullopt;
}

std::vector<store::KeyspaceRule> ledger_keyspaces() {
    return {{MessageCodec::id, "message", {}, false},
            {ProgressCodec::id, "progress", {}, false},
            {NoticeCodec::id, "notice", {}, false},
            {SeenCodec::id, "seen", {static_cast<store::Stamp>(remembered_ms), most_remembered, 0}, true},
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
