// Reads discovery's lists from their bytes as they come, cut anywhere, and tells a sink each entry as soon as
// it is whole: a list of any size costs its own bytes once and is never held. No I/O and no clock.
//
// An object is read as JSON whose names may come in any order and whose unknown values are skipped:
//   {"rev": NUMBER, "all": BOOL, "targets": [{"uid", "endpoint", "pod_group", "az", "model", "state",
//                                             "capacity_hint"}, ...]}
// Objects follow each other with nothing but space between them. A value is taken by its text, so "12" is as
// good as 12; a list of plain values is its items joined by commas; null is as if it were not there. Of a
// name given twice in an entry the last value holds. An entry that cannot be read is left out and counted.
//
// Errors: what is not such an object, "rev" or "all" given again with another value once the list has begun,
// a second list of "targets" (what an entry of the first has become can no longer be told), and a list beyond
// the bounds. Nothing is read any more after one; `fault` says what it was.
// Units: bytes. Memory: the texts of one entry, and the entries that come before "rev" and "all" are known:
// at most what most_before_head bytes hold of them. Threads: none of its own; the sink is called from feed
// and stop.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/news.hpp"
#include "config/config.hpp"

namespace brasslift::cluster {

struct ListHead {
    std::uint32_t version = 0;
    bool whole = false;
    bool operator==(const ListHead&) const = default;
};

// Whoever takes what is read. After `begin` come the lines, then either `end` or `cut`.
class ListSink {
public:
    virtual ~ListSink() = default;
    virtual void begin(const ListHead& head) = 0;  // an object's head is known
    virtual void line(News::Line&& line) = 0;      // each entry that can be read, in order
    virtual void end() = 0;  // the object was sound and whole; what was begun holds from now on
    virtual void cut(std::string_view why) = 0;  // it cannot be read on: nothing of what was begun holds
};

// Gathers each list whole.
struct ListGatherer : ListSink {
    News coming;
    std::vector<News> whole;

    void begin(const ListHead& head) override { coming = {head.whole, head.version, {}}; }
    void line(News::Line&& line) override { coming.lines.push_back(std::move(line)); }
    void end() override { whole.push_back(std::exchange(coming, {})); }
    void cut(std::string_view) override { coming = {}; }
};

struct ListBounds {
    std::size_t most_lines = 1'000'000;                   // entries of one list, those left out included
    std::size_t most_bytes = std::size_t{256} << 20;      // of one object
    std::size_t most_before_head = std::size_t{8} << 20;  // of one object until "rev" and "all" are known
    std::size_t most_entry = 16 * 1024;                   // of the texts of one entry that are kept
};

// Entries of one list that were left out, by reason.
struct LeftOut {
    std::size_t unreadable = 0;    // without a uid, an address or a group, or with texts beyond most_entry
    std::size_t out_of_range = 0;  // a pod_group that is below 0 or beyond most_destination
    bool any() const { return unreadable + out_of_range > 0; }
    bool operator==(const LeftOut&) const = default;
};
// For the log; empty where nothing was left out.
std::string as_text(const LeftOut& left);

// Destinations are as wide as the module has them: a number beyond is never another destination's.
constexpr DestinationId most_destination = std::numeric_limits<DestinationId>::max();

class ListReader {
public:
    // `config`: the names of zones and kinds; it and the sink outlive the reader.
    ListReader(const config::Config& config, ListBounds bounds, ListSink& sink);

    // False: what came cannot be read, and nothing behind it will be; objects before it were told whole.
    bool feed(std::string_view bytes);
    // The bytes have ended; where that was within a list, the sink is told so.
    void stop();

    bool inside() const { return depth_ > 0; }             // an object is still coming
    const std::string& fault() const { return fault_; }    // why nothing is read any more
    const LeftOut& left_out() const { return left_out_; }  // of the list that is coming or was told last

private:
    enum class At : std::uint8_t {
        between,     // objects
        first_name,  // a name or the end of an object
        name,
        colon,
        value,
        first_item,  // a value or the end of a list
        after,       // a value: a comma or the end
        string,
        escape,
        hex,
        low_mark,  // the \ of the second half of a surrogate pair
        low_u,     // its u
        word       // a number, true, false or null
    };
    enum class Field : std::uint8_t {
        uid,
        endpoint,
        pod_group,
        az,
        model,
        state,
        capacity_hint,
        rev,
        all,
        targets,
        none
    };
    static constexpr std::size_t entry_fields = 7;

    void read(std::string_view part);
    void on_mark(char c);
    void start_object();
    void start_value(char c);
    void start_string(std::string* into);
    const char* read_string(const char* at, const char* end);
    const char* read_word(const char* at, const char* end);
    void on_escape(char c);
    void on_hex(char c);
    void add(std::string_view text);
    void end_string();
    void end_word();
    void end_scalar(bool null);
    void open(bool object);
    void close(bool object);
    void end_name();
    void put(std::string& text);
    void put_head(const std::string& text);
    void end_entry();
    void end_object();
    bool begin();
    static std::optional<std::uint32_t> version_of(const std::string& text);
    std::size_t size() const;
    void check_size();
    void fail(std::string why);

    // The value that is coming is kept.
    bool wanted() const {
        return field_ != Field::none && field_ != Field::targets &&
               (joined_depth_ == 0 || depth_ == joined_depth_);
    }
    std::string& text_of(Field field) { return fields_[static_cast<std::size_t>(field)]; }

    const config::Config& config_;
    ListBounds bounds_;
    ListSink& sink_;

    At at_ = At::between;
    int depth_ = 0;                                 // containers that are open
    std::uint64_t objects_ = 0;                     // by depth: whether it is an object
    const char *from_ = nullptr, *here_ = nullptr;  // of the object, in the bytes that are being read
    std::size_t object_bytes_ = 0;                  // of it before them
    std::string* into_ = nullptr;  // where the string that is coming goes; none: it is skipped
    std::string name_, text_;      // the one that is coming
    bool is_name_ = false;
    unsigned code_ = 0, high_ = 0;  // of a \u escape, and of the first half of a pair
    int digits_ = 0;

    Field field_ = Field::none;  // whose value is coming
    int joined_depth_ = 0;       // of a list in place of that value; 0: none
    std::size_t joined_items_ = 0;
    bool joined_plain_ = true;
    std::string joined_;

    std::string rev_, all_;
    bool rev_known_ = false, all_known_ = false, begun_ = false, listed_ = false;
    ListHead head_;
    std::vector<News::Line> early_;  // before the head was known
    bool in_targets_ = false, in_entry_ = false, too_large_ = false;
    std::size_t entry_bytes_ = 0, items_ = 0;
    std::array<std::string, entry_fields> fields_;
    LeftOut left_out_;
    std::string fault_;
    bool broken_ = false;
};

}  // namespace brasslift::cluster
