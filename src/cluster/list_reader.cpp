#include "cluster/list_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace brasslift::cluster {
namespace {

constexpr int most_depth = 33;            // containers within each other, as the config's reader has it
constexpr std::size_t most_name = 64;     // of a name, as far as it is looked at
constexpr std::size_t slice = 64 * 1024;  // between two looks at the bounds

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

constexpr std::array<bool, 256> chars_of(bool (*holds)(unsigned)) {
    std::array<bool, 256> table{};
    for (unsigned c = 0; c < table.size(); ++c) table[c] = holds(c);
    return table;
}
constexpr auto in_string = chars_of([](unsigned c) { return c >= 0x20 && c != '"' && c != '\\'; });
constexpr auto in_word = chars_of([](unsigned c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '+' ||
           c == '-' || c == '.';
});
bool is(const std::array<bool, 256>& table, char c) { return table[static_cast<unsigned char>(c)]; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }

// As config::number_or takes one.
std::optional<double> number_of(const std::string& text) {
    if (text.empty()) return std::nullopt;
    double value = 0;
    const char* const from = text.c_str();
    const char* const to = from + text.size();
    if (const auto [end, error] = std::from_chars(from, to, value); error != std::errc{} || end != to) {
        char* after = nullptr;
        value = std::strtod(from, &after);
        if (*after != '\0') return std::nullopt;
    }
    if (!std::isfinite(value)) return std::nullopt;
    return value;
}

// Whether a word that is none of JSON's three is a number.
bool is_number(const std::string& word) {
    if (word[0] != '-' && !is_digit(word[0])) return false;
    // Nearly all of them: digits, with a point perhaps, too few to be infinite.
    if (word.size() < 300 && is_digit(word[0]) && is_digit(word.back())) {
        const auto rest = std::find_if_not(word.begin(), word.end(), is_digit);
        if (rest == word.end() || (*rest == '.' && std::all_of(rest + 1, word.end(), is_digit))) return true;
    }
    return number_of(word).has_value();
}

unsigned hex_digit(char c) { return static_cast<unsigned>(is_digit(c) ? c - '0' : (c | 0x20) - 'a' + 10); }

// Texts are kept as the config's reader keeps them, so that names compare.
std::string& as_kept(std::string& text) {
    for (char& c : text)
        if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
    return text;
}

std::string utf8(unsigned code) {
    std::string out;
    const auto add = [&](unsigned byte) { out += static_cast<char>(byte); };
    if (code < 0x80) {
        add(code);
    } else if (code < 0x800) {
        add(0xc0 | code >> 6), add(0x80 | (code & 0x3f));
    } else if (code < 0x10000) {
        add(0xe0 | code >> 12), add(0x80 | (code >> 6 & 0x3f)), add(0x80 | (code & 0x3f));
    } else {
        add(0xf0 | code >> 18), add(0x80 | (code >> 12 & 0x3f)), add(0x80 | (code >> 6 & 0x3f)),
            add(0x80 | (code & 0x3f));
    }
    return out;
}

template <class Place>
Place place_or_first(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<Place>(std::max(0, config::place_of(names, name)));
}

}  // namespace

std::string as_text(const LeftOut& left) {
    std::string text;
    if (left.unreadable > 0) text = std::to_string(left.unreadable) + " entries of the list cannot be read";
    if (left.out_of_range > 0)
        text += (text.empty() ? "" : "; ") + std::to_string(left.out_of_range) +
                " entries have a pod_group that is not within 0 to " + std::to_string(most_destination);
    return text;
}

ListReader::ListReader(const config::Config& config, ListBounds bounds, ListSink& sink)
    : config_(config), bounds_(bounds), sink_(sink) {}

bool ListReader::feed(std::string_view bytes) {
    while (!bytes.empty() && !broken_) {
        read(bytes.substr(0, slice));
        bytes.remove_prefix(std::min(slice, bytes.size()));
    }
    return !broken_;
}

void ListReader::stop() {
    if (inside()) fail("the list is cut off");
    broken_ = true;
}

void ListReader::read(std::string_view part) {
    const char* at = part.data();
    const char* const end = at + part.size();
    from_ = here_ = at;
    while (at < end && !broken_) {
        if (at_ == At::string) {
            at = read_string(at, end);
        } else if (at_ == At::word) {
            at = read_word(at, end);
        } else if (at_ == At::escape) {
            on_escape(*at++);
        } else if (at_ == At::hex) {
            on_hex(*at++);
        } else if (at_ == At::low_mark || at_ == At::low_u) {
            const bool fits = *at++ == (at_ == At::low_mark ? '\\' : 'u');
            if (!fits) return fail("half a surrogate pair");
            at_ = at_ == At::low_mark ? At::low_u : At::hex;
        } else {
            while (at < end && is_space(*at)) ++at;
            if (at == end) break;
            here_ = at + 1;
            // A word's first byte is the word's.
            if (const char c = *at; (at_ == At::value || at_ == At::first_item) && is(in_word, c))
                start_value(c);
            else
                on_mark(c), ++at;
        }
    }
    if (broken_ || depth_ == 0) return;
    object_bytes_ += static_cast<std::size_t>(end - from_);
    from_ = here_ = nullptr;
    check_size();
}

// How much of the object has come, up to the mark that was read last.
std::size_t ListReader::size() const { return object_bytes_ + static_cast<std::size_t>(here_ - from_); }

void ListReader::check_size() {
    if (size() > bounds_.most_bytes)
        fail("the list is larger than " + std::to_string(bounds_.most_bytes) + " bytes");
    else if (!begun_ && size() > bounds_.most_before_head)
        fail("neither rev nor all within the first " + std::to_string(bounds_.most_before_head) +
             " bytes of the list");
}

void ListReader::on_mark(char c) {
    const bool in_object = (objects_ >> depth_ & 1) != 0;
    switch (at_) {
        case At::between:
            if (c != '{') return fail("what is between two lists is no space");
            return start_object();
        case At::first_name:
            if (c == '}') return close(true);
            [[fallthrough]];
        case At::name:
            if (c != '"') return fail("a name is missing");
            is_name_ = true;
            return start_string(depth_ == 1 || (in_entry_ && depth_ == 3) ? &name_ : nullptr);
        case At::colon:
            if (c != ':') return fail("a colon is missing");
            at_ = At::value;
            return;
        case At::first_item:
            if (c == ']') return close(false);
            [[fallthrough]];
        case At::value: return start_value(c);
        default:
            if (c == '}' || c == ']') return close(c == '}');
            if (c != ',') return fail("a comma is missing");
            at_ = in_object ? At::name : At::value;
    }
}

void ListReader::start_object() {
    from_ = here_ - 1;
    object_bytes_ = 0;
    depth_ = 1;
    objects_ = 1 << 1;
    at_ = At::first_name;
    field_ = Field::none;
    joined_depth_ = 0;
    rev_known_ = all_known_ = begun_ = listed_ = in_targets_ = in_entry_ = false;
    rev_.clear();
    all_.clear();
    items_ = 0;
    left_out_ = {};
}

void ListReader::start_value(char c) {
    if (in_targets_ && depth_ == 2 && ++items_ > bounds_.most_lines)
        return fail("the list has more than " + std::to_string(bounds_.most_lines) + " entries");
    if (c == '{' || c == '[') return open(c == '{');
    if (c == '"') {
        is_name_ = false;
        return start_string(wanted() ? &text_ : nullptr);
    }
    if (!is(in_word, c)) return fail("a value is missing");
    text_.clear();
    at_ = At::word;
}

void ListReader::start_string(std::string* into) {
    into_ = into;
    if (into_ != nullptr) into_->clear();
    at_ = At::string;
}

const char* ListReader::read_string(const char* at, const char* end) {
    const char* const from = at;
    while (at < end && is(in_string, *at)) ++at;
    add({from, static_cast<std::size_t>(at - from)});
    if (at == end) return at;
    const char c = *at++;
    if (c == '"')
        end_string();
    else if (c == '\\')
        at_ = At::escape;
    else
        fail("a control character in a text");
    return at;
}

void ListReader::add(std::string_view text) {
    if (into_ == nullptr) return;
    if (is_name_) {
        if (name_.size() < most_name) name_ += text.substr(0, most_name);
        return;
    }
    if (text_.size() + text.size() + (in_entry_ ? entry_bytes_ : 0) <= bounds_.most_entry) {
        text_ += text;
        return;
    }
    too_large_ = true;
    text_.clear();
    into_ = nullptr;
}

const char* ListReader::read_word(const char* at, const char* end) {
    const char* const from = at;
    while (at < end && is(in_word, *at)) ++at;
    const std::string_view run(from, static_cast<std::size_t>(at - from));
    if (text_.size() + run.size() > bounds_.most_entry) {
        fail("a number is too long");
        return at;
    }
    text_ += run;
    if (at < end) end_word();
    return at;
}

void ListReader::on_escape(char c) {
    static constexpr std::string_view from = "\"\\/bfnrt", to = "\"\\/\b\f\n\r\t";
    at_ = At::string;
    if (const auto place = from.find(c); place != std::string_view::npos) return add(to.substr(place, 1));
    if (c != 'u') return fail("an escape that JSON has not");
    code_ = high_ = 0;
    digits_ = 0;
    at_ = At::hex;
}

void ListReader::on_hex(char c) {
    if (!is_digit(c) && !((c | 0x20) >= 'a' && (c | 0x20) <= 'f')) return fail("an escape that JSON has not");
    code_ = code_ * 16 + hex_digit(c);
    if (++digits_ < 4) return;
    digits_ = 0;
    if (high_ == 0 && code_ >= 0xd800 && code_ < 0xdc00) {
        high_ = std::exchange(code_, 0);
        at_ = At::low_mark;
        return;
    }
    if (high_ != 0) {
        if (code_ < 0xdc00 || code_ > 0xdfff) return fail("half a surrogate pair");
        code_ = 0x10000 + ((high_ - 0xd800) << 10) + (code_ - 0xdc00);
    }
    at_ = At::string;
    add(utf8(code_));
}

void ListReader::end_string() {
    if (!is_name_) return end_scalar(false);
    end_name();
    at_ = At::colon;
}

void ListReader::end_word() {
    if (text_ == "null") return end_scalar(true);
    if (text_ != "true" && text_ != "false" && !is_number(text_)) return fail("a value that JSON has not");
    end_scalar(false);
}

void ListReader::end_scalar(bool null) {
    at_ = At::after;
    if (in_targets_ && depth_ == 2) ++left_out_.unreadable;
    if (!wanted()) return;
    if (joined_depth_ == 0) {
        if (!null) put(as_kept(text_));
        field_ = Field::none;
    } else {
        if (joined_items_++ > 0) joined_ += ',';
        if (!null) joined_ += as_kept(text_);
        if (joined_.size() + (in_entry_ ? entry_bytes_ : 0) > bounds_.most_entry) {
            too_large_ = true;
            joined_.clear();
        }
    }
}

void ListReader::end_name() {
    static constexpr std::array<std::pair<std::string_view, Field>, 3> head{
        {{"rev", Field::rev}, {"all", Field::all}, {"targets", Field::targets}}};
    static constexpr std::array<std::pair<std::string_view, Field>, entry_fields> entry{
        {{"uid", Field::uid},
         {"endpoint", Field::endpoint},
         {"pod_group", Field::pod_group},
         {"az", Field::az},
         {"model", Field::model},
         {"state", Field::state},
         {"capacity_hint", Field::capacity_hint}}};
    const auto look = [this](const auto& names) {
        field_ = Field::none;
        for (const auto& [name, field] : names)
            if (name == name_) field_ = field;
    };
    if (depth_ == 1)
        look(head);
    else if (in_entry_ && depth_ == 3)
        look(entry);
}

void ListReader::open(bool object) {
    if (depth_ >= most_depth) return fail("the list is nested too deep");
    if (in_targets_ && depth_ == 2) {
        in_entry_ = object;
        if (!object) ++left_out_.unreadable;
        for (auto& text : fields_) text.clear();
        entry_bytes_ = 0;
        too_large_ = false;
        field_ = Field::none;
    } else if (joined_depth_ != 0) {
        if (depth_ == joined_depth_) joined_plain_ = false;
    } else if (field_ == Field::targets && !object) {
        if (listed_) return fail("targets is given twice");
        listed_ = in_targets_ = true;
        field_ = Field::none;
    } else if (field_ != Field::none && !object) {
        joined_depth_ = depth_ + 1;
        joined_items_ = 0;
        joined_plain_ = true;
        joined_.clear();
    } else {
        field_ = Field::none;
    }
    ++depth_;
    objects_ = (objects_ & ~(std::uint64_t{1} << depth_)) | std::uint64_t{object} << depth_;
    at_ = object ? At::first_name : At::first_item;
}

void ListReader::close(bool object) {
    if (((objects_ >> depth_ & 1) != 0) != object) return fail("a bracket that does not fit");
    if (joined_depth_ == depth_) {
        joined_depth_ = 0;
        if (joined_plain_) put(joined_);
        field_ = Field::none;
    } else if (in_entry_ && depth_ == 3) {
        end_entry();
    } else if (in_targets_ && depth_ == 2) {
        in_targets_ = false;
    }
    if (broken_) return;
    at_ = At::after;
    if (depth_ == 1) return end_object();
    --depth_;
}

void ListReader::put(std::string& text) {
    if (field_ == Field::rev || field_ == Field::all) return put_head(text);
    entry_bytes_ += text.size();
    text_of(field_).swap(text);
}

void ListReader::put_head(const std::string& text) {
    if (begun_) {
        const bool same =
            field_ == Field::rev ? version_of(text) == head_.version : (text == "true") == head_.whole;
        if (!same) fail("rev or all is given again with another value");
        return;
    }
    (field_ == Field::rev ? rev_ : all_) = text;
    (field_ == Field::rev ? rev_known_ : all_known_) = true;
    if (rev_known_ && all_known_) begin();
}

std::optional<std::uint32_t> ListReader::version_of(const std::string& text) {
    const auto number = number_of(text);
    if (!number || *number < 0 || *number > 4294967295.0) return std::nullopt;
    return static_cast<std::uint32_t>(*number);
}

bool ListReader::begin() {
    const auto version = version_of(rev_);
    if (!version) {
        fail("no rev that can be read");
        return false;
    }
    check_size();
    if (broken_) return false;
    head_ = {*version, all_ == "true"};
    begun_ = true;
    sink_.begin(head_);
    for (auto& line : std::exchange(early_, {})) sink_.line(std::move(line));
    return true;
}

void ListReader::end_entry() {
    in_entry_ = false;
    News::Line line;
    const auto address = runtime::parse_address(text_of(Field::endpoint));
    const auto group = number_of(text_of(Field::pod_group));
    const auto& state = text_of(Field::state);
    if (text_of(Field::uid).empty() || too_large_ || !group || (!address && state != "Gone")) {
        ++left_out_.unreadable;
        return;
    }
    if (*group < 0 || *group > static_cast<double>(most_destination)) {
        ++left_out_.out_of_range;
        return;
    }
    line.uid = text_of(Field::uid);
    if (address) line.address = *address;
    auto& listing = line.listing;
    listing.destination = static_cast<DestinationId>(*group);
    listing.zone = place_or_first<decltype(listing.zone)>(config_.zones, text_of(Field::az));
    listing.kind = place_or_first<decltype(listing.kind)>(config_.kinds, text_of(Field::model));
    listing.state = state == "Ready"  ? ListingState::ready
                    : state == "Gone" ? ListingState::gone
                                      : ListingState::draining;
    listing.weight = number_of(text_of(Field::capacity_hint)).value_or(0);
    if (begun_)
        sink_.line(std::move(line));
    else
        early_.push_back(std::move(line));
}

void ListReader::end_object() {
    check_size();
    if (broken_ || (!begun_ && !begin())) return;
    depth_ = 0;
    at_ = At::between;
    begun_ = false;
    sink_.end();
}

void ListReader::fail(std::string why) {
    broken_ = true;
    fault_ = std::move(why);
    depth_ = 0;
    early_.clear();
    if (std::exchange(begun_, false)) sink_.cut(fault_);
}

}  // namespace brasslift::cluster
