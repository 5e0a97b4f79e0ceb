#include "lang/list_file.hpp"

#include <algorithm>
#include <optional>

#include "lang/units.hpp"

namespace brasslift::lang {
namespace {

constexpr std::size_t most_uid = 256;

bool known_tenant(const std::string& name, const Platform* platform) {
    return platform == nullptr || platform->tenants.empty() ||
           std::find(platform->tenants.begin(), platform->tenants.end(), name) != platform->tenants.end();
}

bool is_uid(std::string_view text) {
    return !text.empty() && text.size() <= most_uid &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127 && c != '#'; });
}

// One line's words, with their columns.
struct Word {
    std::string text;
    int column = 0;
};

std::vector<Word> words_of(std::string_view line) {
    line = line.substr(0, line.find('#'));
    std::vector<Word> words;
    for (std::size_t at = 0; at < line.size();) {
        const auto from = line.find_first_not_of(" \t\r", at);
        if (from == std::string_view::npos) break;
        at = std::min(line.find_first_of(" \t\r", from), line.size());
        words.push_back({std::string(line.substr(from, at - from)), static_cast<int>(from) + 1});
    }
    return words;
}

class Reader {
public:
    Reader(const std::string& file, plan::ListKind kind, const DestinationNames& names,
           const Platform* platform, Findings& findings)
        : file_(file), kind_(kind), names_(names), platform_(platform), findings_(findings) {}

    void line(std::string_view line, int number) {
        const auto words = words_of(line);
        if (words.empty()) return;
        number_ = number;
        const std::size_t wanted = kind_ == plan::ListKind::tenants_capped ? 2 : 1;
        if (words.size() > wanted)
            return error(words[wanted], shown(words[wanted].text) + " is more than an entry has",
                         "write one entry a line");
        switch (kind_) {
            case plan::ListKind::destinations_shut: return destination(words[0]);
            case plan::ListKind::tenants_barred: return tenant(words[0], 0);
            case plan::ListKind::tenants_capped: return cap(words);
            case plan::ListKind::endpoints_kept_out:
                if (!is_uid(words[0].text))
                    return error(words[0], shown(words[0].text) + " is no uid",
                                 "write it as discovery's list has it");
                return add(words[0], words[0].text, 0);
            case plan::ListKind::none: break;
        }
    }

    ListEntries entries;

private:
    void error(const Word& at, std::string what, std::string fix) {
        findings_.error({file_, number_, at.column}, std::move(what), std::move(fix));
    }
    void add(const Word& at, const std::string& key, std::uint64_t value) {
        const auto [found, fresh] = entries.emplace(key, value);
        if (!fresh && found->second != value)
            error(at, shown(key) + " stands here with two rates", "keep one of them");
    }
    void destination(const Word& word) {
        const auto read = read_destination(word.text);
        if (const auto* const misread = std::get_if<Misread>(&read))
            return error(word, misread->what, misread->fix);
        const auto& d = std::get<DestinationText>(read);
        if (d.kind == DestinationText::Kind::prefix)
            return error(word,
                         shown(word.text) + " is the beginning of a name, and what it stands for may change",
                         "write numbers or whole names");
        auto from = d.from, to = d.to;
        if (d.kind == DestinationText::Kind::name) {
            const auto named = names_.find(d.name);
            if (named == names_.end())
                return error(word, "the rules name no destination " + shown(d.name), "write its number");
            from = to = named->second;
        }
        // Each number is an entry of its own.
        constexpr DestinationId widest = 65536;
        if (to - from >= widest)
            return error(word, shown(word.text) + " is more than " + std::to_string(widest) + " destinations",
                         "write narrower ranges");
        for (std::uint64_t number = from; number <= to; ++number) add(word, std::to_string(number), 0);
    }
    void tenant(const Word& word, std::uint64_t value) {
        if (!is_name(word.text)) return error(word, shown(word.text) + " is no tenant's name", "correct it");
        if (!known_tenant(word.text, platform_))
            return error(word, "the platform has no tenant " + shown(word.text),
                         nearest_or(word.text, platform_->tenants, "remove it"));
        add(word, word.text, value);
    }
    void cap(const std::vector<Word>& words) {
        if (words.size() < 2) return error(words[0], "this tenant has no rate", "write one, such as 20/s");
        const auto read = read_quantity(Unit::rate, words[1].text);
        if (const auto* const misread = std::get_if<Misread>(&read))
            return error(words[1], misread->what, misread->fix);
        const auto rate = std::get<Quantity>(read).value;
        if (rate == 0) return error(words[1], "a rate of 0 lets nothing through", "bar the tenant");
        tenant(words[0], static_cast<std::uint64_t>(rate));
    }

    const std::string& file_;
    plan::ListKind kind_;
    const DestinationNames& names_;
    const Platform* platform_;
    Findings& findings_;
    int number_ = 0;
};

}  // namespace

DestinationNames destination_names(const Document& document) {
    DestinationNames names;
    for (const auto& d : document.config.destination())
        if (!d.name().empty()) names.emplace(d.name(), d.number());
    return names;
}

ListEntries read_list(const std::string& file, std::string_view text, plan::ListKind kind,
                      const DestinationNames& names, const Platform* platform, Findings& findings) {
    if (const auto bad = first_bad_utf8(text); bad != std::string_view::npos) {
        const auto before = text.substr(0, bad);
        const auto line = before.rfind('\n') + 1;  // of the first line: 0
        findings.error({file, static_cast<int>(std::count(before.begin(), before.end(), '\n')) + 1,
                        static_cast<int>(bad - line) + 1},
                       "this is not UTF-8", "write it in UTF-8");
        return {};
    }
    Reader reader(file, kind, names, platform, findings);
    int number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        reader.line(text.substr(0, end), ++number);
        text.remove_prefix(std::min(text.size(), end + 1));
    }
    return std::move(reader.entries);
}

std::string judge_entry(const std::string& key, plan::ListKind kind, const Platform* platform) {
    switch (kind) {
        case plan::ListKind::destinations_shut: {
            const auto read = read_destination(key);
            const auto* const d = std::get_if<DestinationText>(&read);
            return d != nullptr && d->kind == DestinationText::Kind::number
                       ? ""
                       : shown(key) + " is no destination";
        }
        case plan::ListKind::tenants_barred:
        case plan::ListKind::tenants_capped:
            return known_tenant(key, platform) ? "" : "the platform has no tenant " + shown(key);
        case plan::ListKind::endpoints_kept_out: return is_uid(key) ? "" : shown(key) + " is no uid";
        case plan::ListKind::none: break;
    }
    return "its kind is not known here";
}

std::string write_entry(const std::string& key, std::uint64_t value, plan::ListKind kind) {
    if (kind != plan::ListKind::tenants_capped) return key;
    return key + ' ' + write_quantity(Unit::rate, {static_cast<std::int64_t>(value)});
}

}  // namespace brasslift::lang
