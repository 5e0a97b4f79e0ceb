#include "lang/source.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <utility>

namespace brasslift::lang {

std::string to_text(const Place& place) {
    if (place.line == 0) return place.file;
    return place.file + ':' + std::to_string(place.line) + ':' + std::to_string(place.column);
}

std::string to_text(const Finding& f) {
    return to_text(f.at) + (f.severity == Severity::error ? ": error: " : ": warning: ") + f.what +
           (f.fix.empty() ? "" : "; fix: " + f.fix);
}

std::size_t first_bad_utf8(std::string_view text) {
    for (std::size_t i = 0; i < text.size();) {
        const auto c = static_cast<unsigned char>(text[i]);
        const std::size_t more = c < 0x80                ? 0
                                 : c >= 0xc2 && c < 0xe0 ? 1
                                 : (c & 0xf0) == 0xe0    ? 2
                                 : c >= 0xf0 && c < 0xf5 ? 3
                                                         : 9;
        if (more == 9 || i + more >= text.size()) return i;
        std::uint32_t point = more == 0 ? c : c & (0x3f >> more);
        for (std::size_t j = 1; j <= more; ++j) {
            const auto next = static_cast<unsigned char>(text[i + j]);
            if ((next & 0xc0) != 0x80) return i;
            point = point << 6 | (next & 0x3f);
        }
        constexpr std::uint32_t least[] = {0, 0x80, 0x800, 0x10000};
        if (point < least[more] || point > 0x10ffff || (point >= 0xd800 && point < 0xe000)) return i;
        i += more + 1;
    }
    return std::string_view::npos;
}

std::string shown(std::string_view text, std::size_t most, char quote) {
    while (most < text.size() && most > 0 && (static_cast<unsigned char>(text[most]) & 0xc0) == 0x80) --most;
    return quote + std::string(text.substr(0, most)) + quote;
}

void Findings::add(Finding finding) {
    if (finding.severity == Severity::error) ++errors_;
    if (all_.size() < most)
        all_.push_back(std::move(finding));
    else
        ++left_out_;
}

void Findings::error(Place at, std::string what, std::string fix) {
    add({std::move(at), Severity::error, std::move(what), std::move(fix)});
}

void Findings::warn(Place at, std::string what, std::string fix) {
    add({std::move(at), Severity::warning, std::move(what), std::move(fix)});
}

void Findings::add_all(const Findings& others) {
    for (const auto& finding : others.all_) add(finding);
    left_out_ += others.left_out_;
}

std::vector<Finding> Findings::sorted() const {
    auto all = all_;
    std::stable_sort(all.begin(), all.end(), [](const Finding& a, const Finding& b) { return a.at < b.at; });
    return all;
}

std::variant<std::string, Files::Failure> Disk::find(const std::string& path) const {
    std::error_code error;
    auto found = std::filesystem::weakly_canonical(std::filesystem::absolute(path, error), error);
    if (error) return Failure{error.message()};
    return found.string();
}

std::variant<std::string, Files::Failure> Disk::read(const std::string& path, std::size_t most) const {
    namespace fs = std::filesystem;
    std::error_code error;
    const auto status = fs::status(path, error);
    if (!fs::exists(status)) return Failure{"there is no such file"};
    if (fs::is_directory(status)) return Failure{"it is a folder"};
    if (!fs::is_regular_file(status)) return Failure{"it is no regular file"};
    std::ifstream in(path, std::ios::binary);
    if (!in) return Failure{"it cannot be read"};
    std::string text;
    char part[65536];
    while (in.read(part, sizeof part), in.gcount() > 0) {
        text.append(part, static_cast<std::size_t>(in.gcount()));
        if (text.size() > most) return Failure{"it is larger than " + std::to_string(most) + " bytes"};
    }
    if (in.bad()) return Failure{"it cannot be read"};
    return text;
}

std::string nearest(std::string_view word, const std::vector<std::string>& names) {
    constexpr std::size_t most_word = 64;  // a longer one is no slip of the finger
    if (word.size() > most_word) return {};
    std::string best;
    std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto& name : names) {
        if (name.size() > most_word) continue;
        std::vector<std::size_t> row(name.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t{0});
        for (std::size_t i = 1; i <= word.size(); ++i) {
            auto diagonal = std::exchange(row[0], i);
            for (std::size_t j = 1; j <= name.size(); ++j) {
                const auto changed = diagonal + (word[i - 1] == name[j - 1] ? 0U : 1U);
                diagonal = row[j];
                row[j] = std::min({row[j] + 1, row[j - 1] + 1, changed});
            }
        }
        if (row.back() < best_distance) {
            best_distance = row.back();
            best = name;
        }
    }
    return best;
}

std::string nearest_or(std::string_view word, const std::vector<std::string>& names, std::string otherwise) {
    const auto near = nearest(word, names);
    return near.empty() ? otherwise : "write \"" + near + '"';
}

}  // namespace brasslift::lang
