// Discovery's lists read as they stream: in agreement with the reader that held whole objects, and the cases
// that are hard for a list of any size.
#include "cluster/list_reader.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <tuple>

#include "list_reference.hpp"

namespace brasslift::cluster {
namespace {

using Random = std::mt19937;

std::size_t up_to(Random& random, std::size_t most) { return random() % (most + 1); }
bool one_in(Random& random, std::size_t chances) { return random() % chances == 0; }

config::Config names() {
    config::Config config;
    config.zones = {"north", "south", "far_west"};
    config.kinds = {"small", "large"};
    return config;
}

auto fields_of(const News::Line& line) {
    const auto& listing = line.listing;
    return std::make_tuple(line.uid, line.address, listing.zone, listing.destination, listing.kind,
                           listing.state, listing.weight);
}
bool same(const News& a, const News& b) {
    return a.whole == b.whole && a.version == b.version &&
           std::equal(a.lines.begin(), a.lines.end(), b.lines.begin(), b.lines.end(),
                      [](const auto& x, const auto& y) { return fields_of(x) == fields_of(y); });
}

// Keeps what it is told, and that it is told in order.
struct Kept : ListSink {
    std::vector<News> news;   // those that were whole
    std::optional<News> now;  // the one that is coming
    std::vector<std::string> cuts;
    std::vector<LeftOut> left_out;  // of those
    std::string order;              // a letter for each call
    const ListReader* reader = nullptr;

    void begin(const ListHead& head) override {
        EXPECT_FALSE(now) << order;
        now.emplace();
        now->version = head.version;
        now->whole = head.whole;
        order += 'b';
    }
    void line(News::Line&& line) override {
        ASSERT_TRUE(now) << order;
        now->lines.push_back(std::move(line));
        order += 'l';
    }
    void end() override {
        ASSERT_TRUE(now) << order;
        news.push_back(std::move(*now));
        left_out.push_back(reader->left_out());
        now.reset();
        order += 'e';
    }
    void cut(std::string_view why) override {
        EXPECT_TRUE(now) << order;
        now.reset();
        cuts.emplace_back(why);
        order += 'c';
    }
};

struct Reading {
    explicit Reading(ListBounds bounds = {}) : reader(config, bounds, kept) { kept.reader = &reader; }
    bool feed(std::string_view bytes) { return reader.feed(bytes); }
    config::Config config = names();
    Kept kept;
    ListReader reader;
};

std::string entry(const std::string& uid, const std::string& group = "7",
                  const std::string& state = "Ready") {
    return "{\"uid\":\"" + uid + "\",\"endpoint\":\"10.0.0.1:80\",\"pod_group\":" + group +
           ",\"az\":\"south\",\"model\":\"large\",\"state\":\"" + state + "\",\"capacity_hint\":1.5}";
}
std::string list(int rev, bool whole, const std::string& entries) {
    return "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (whole ? "true" : "false") + ",\"targets\":[" +
           entries + "]}\n";
}

// ---- agreement with the reader that held whole objects ----------------------------------------------------

// Writes lists in every layout that JSON has, mostly sound.
class Writer {
public:
    explicit Writer(Random& random) : random_(random) {}

    std::string stream() {
        std::string text;
        for (auto count = up_to(random_, 4); count > 0; --count) text += space() + object() + space();
        if (one_in(random_, 20)) text += "x";
        if (one_in(random_, 2)) return text;
        for (auto faults = up_to(random_, 2); faults > 0 && !text.empty(); --faults) {
            const auto at = up_to(random_, text.size() - 1);
            static constexpr std::string_view marks = "{}[]\",:\\ 0a-\n\x01\xff";
            const char mark = marks[up_to(random_, marks.size() - 1)];
            switch (up_to(random_, 3)) {
                case 0: text.erase(at, 1 + up_to(random_, 3)); break;
                case 1: text.insert(at, 1, mark); break;
                case 2: text[at] = mark; break;
                default: text.resize(at);
            }
        }
        return text;
    }

private:
    std::string space() {
        std::string text;
        if (one_in(random_, 3))
            for (auto count = up_to(random_, 3); count > 0; --count) text += " \t\r\n"[up_to(random_, 3)];
        return text;
    }
    std::string pick(std::initializer_list<const char*> choices) {
        return choices.begin()[up_to(random_, choices.size() - 1)];
    }
    std::string text_of(const std::string& text) {
        std::string out = "\"";
        for (const char c : text) {
            if (c != '"' && c != '\\' && !one_in(random_, 8)) {
                out += c;
                continue;
            }
            char code[8];
            std::snprintf(code, sizeof code, one_in(random_, 2) ? "\\u%04x" : "\\u%04X",
                          static_cast<unsigned>(static_cast<unsigned char>(c)));
            out += code;
        }
        return out + '"';
    }
    std::string odd() {
        return pick({"0",
                     "-0",
                     "1e3",
                     "0x10",
                     "-0x2",
                     "12.50",
                     "1.",
                     "01",
                     "1e-400",
                     "null",
                     "true",
                     "false",
                     "\"\"",
                     "\"a b,c\\n\"",
                     "\"\\ud83d\\ude00\"",
                     "\"\\udc00\"",
                     "\"\\\"}\\\\\"",
                     "\"12\"",
                     "\"inf\"",
                     "\"0x1f\"",
                     "\"\\t5\"",
                     "4294967295",
                     "4294967296",
                     "-1",
                     "65535",
                     "65536"});
    }
    std::string faulty() {
        return pick({"1e999", "nul", "+1", "-", "0x", "inf", "-inf", "\"\\ud83d\"", "\"\\ud83d\\u0041\"",
                     "\"\\x\"", "\"\n\"", "", "1 2", "\"\\u12g4\"", "{]", "[}"});
    }
    std::string value(int depth) {
        if (one_in(random_, 400)) return faulty();
        if (depth > 3 || one_in(random_, 2)) return odd();
        std::string text = one_in(random_, 2) ? "[" : "{";
        const bool list = text == "[";
        for (auto count = up_to(random_, 3), i = count; i > 0; --i) {
            if (i < count) text += space() + ',';
            text += space();
            if (!list) text += text_of(pick({"uid", "a", "rev", "state", "x y"})) + space() + ':' + space();
            text += value(depth + 1);
        }
        return text + space() + (list ? ']' : '}');
    }
    std::string member(const std::string& name, const std::string& value) {
        return space() + text_of(name) + space() + ':' + space() + value + space();
    }
    std::string joined(std::vector<std::string> parts) {
        if (one_in(random_, 3)) std::shuffle(parts.begin(), parts.end(), random_);
        std::string text;
        for (const auto& part : parts) text += (text.empty() ? "" : ",") + part;
        return text;
    }
    std::string host() {
        if (one_in(random_, 20)) return value(0);
        std::vector<std::string> parts;
        const auto add = [&](const char* name, const std::string& sound) {
            if (one_in(random_, 30)) return;
            parts.push_back(member(name, one_in(random_, 20) ? value(0) : sound));
            if (one_in(random_, 30)) parts.push_back(member(name, value(0)));
        };
        add("uid", text_of("s-" + std::to_string(up_to(random_, 99))));
        add("endpoint",
            text_of(pick({"127.0.0.1:80", "10.1.2.3:65535", "10.1.2.3:65536", "10.1.2:80", "1"})));
        add("pod_group", std::to_string(up_to(random_, 70000) * (one_in(random_, 2) ? 1 : 65536)));
        add("az", text_of(pick({"north", "south", "far west", "nowhere"})));
        add("model", text_of(pick({"small", "large", "other"})));
        add("state", text_of(pick({"Ready", "Gone", "Draining", "ready"})));
        add("capacity_hint", pick({"1", "2.5", "0.1", "1e2", "\"3\""}));
        if (one_in(random_, 4)) add("unknown", value(0));
        return '{' + joined(parts) + space() + '}';
    }
    std::string object() {
        std::string hosts = "[" + space();
        for (auto count = up_to(random_, 5), i = count; i > 0; --i) hosts += (i < count ? "," : "") + host();
        hosts += ']';
        std::vector<std::string> parts;
        const auto add = [&](const char* name, const std::string& sound) {
            if (!one_in(random_, 40)) parts.push_back(member(name, sound));
        };
        add("rev", one_in(random_, 10) ? odd() : std::to_string(up_to(random_, 1000)));
        if (one_in(random_, 4)) add("other", value(0));
        add("all", one_in(random_, 10) ? odd() : pick({"true", "false"}));
        add("targets", one_in(random_, 20) ? odd() : hosts);
        if (one_in(random_, 4)) add("more", value(0));
        return '{' + joined(parts) + space() + '}';
    }

    Random& random_;
};

TEST(ListReader, AgreesWithTheReaderOfWholeObjects) {
    const auto config = names();
    std::size_t lists = 0, lines = 0, unreadable = 0, unfinished = 0;
    for (unsigned seed = 0; seed < 3000; ++seed) {
        Random random(seed);
        const auto text = Writer(random).stream();
        Reading now;
        reference::Objects objects(8 << 20);
        std::vector<News> before;
        std::vector<std::size_t> left_out;
        bool sound = true, sound_now = true;
        const auto most_part = one_in(random, 2) ? std::size_t{3} : text.size();
        for (std::string_view rest = text; !rest.empty() && sound;) {
            const auto part = rest.substr(0, 1 + up_to(random, most_part));
            rest.remove_prefix(part.size());
            sound_now = now.feed(part);
            std::vector<std::string> whole;
            sound = objects.feed(part, whole);
            for (const auto& object : whole) {
                const auto flat = config::flatten(object);
                std::size_t left = 0;
                auto news = flat ? reference::read_news(*flat, config, left) : std::nullopt;
                sound = sound && news;
                if (!news) break;
                before.push_back(std::move(*news));
                left_out.push_back(left);
            }
        }
        ASSERT_EQ(now.kept.news.size(), before.size()) << seed << ' ' << now.reader.fault() << '\n' << text;
        for (std::size_t i = 0; i < before.size(); ++i) {
            ASSERT_TRUE(same(now.kept.news[i], before[i])) << seed << '\n' << text;
            const auto& left = now.kept.left_out[i];
            ASSERT_EQ(left.unreadable + left.out_of_range, left_out[i]) << seed << '\n' << text;
            lines += before[i].lines.size();
        }
        // What holds whole objects cannot judge one that has not ended; a fault in it is seen sooner now.
        if (sound && objects.inside())
            ++unfinished;
        else
            ASSERT_EQ(sound_now, sound) << seed << ' ' << now.reader.fault() << '\n' << text;
        ASSERT_EQ(sound_now, now.reader.fault().empty()) << seed;
        lists += before.size();
        unreadable += sound ? 0 : 1;
    }
    // The streams were of all sorts.
    EXPECT_GT(lists, 1500u);
    EXPECT_GT(lines, 1500u);
    EXPECT_GT(unreadable, 150u);
    EXPECT_GT(unfinished, 150u);
}

TEST(ListReader, TellsTheSameWhereverTheBytesAreCut) {
    const std::string text =
        "\r\n " + list(7, true, entry("s-\\ud83d\\ude00\\\"", "12") + " , {\"uid\":null}") +
        "{ \"all\" : null , \"x\" : [ { } , -1.5e3 , \"\\n\" ] , \"targets\" : [ ] , \"rev\" : 9 }\n\n" +
        list(10, false, entry("b", "1e1", "Gone"));
    Reading whole;
    ASSERT_TRUE(whole.feed(text));
    EXPECT_EQ(whole.kept.order, "blebeble");
    ASSERT_EQ(whole.kept.news.size(), 3u);
    EXPECT_EQ(whole.kept.news[0].lines.at(0).uid, "s-\xf0\x9f\x98\x80\"");
    EXPECT_EQ(whole.kept.news[2].lines.at(0).listing.destination, 10);
    for (std::size_t first = 0; first <= text.size(); ++first)
        for (const std::size_t second : {first, first + 1, first + 7, text.size()}) {
            const auto middle = std::min(second, text.size());
            Reading cut;
            ASSERT_TRUE(cut.feed(std::string_view(text).substr(0, first)));
            ASSERT_TRUE(cut.feed(std::string_view(text).substr(first, middle - first)));
            ASSERT_TRUE(cut.feed(std::string_view(text).substr(middle)));
            ASSERT_EQ(cut.kept.order, whole.kept.order) << first << ' ' << middle;
            for (std::size_t i = 0; i < 3; ++i)
                ASSERT_TRUE(same(cut.kept.news[i], whole.kept.news[i])) << first << ' ' << middle;
        }
}

// ---- what it is compared with ---------------------------------------------------------------------------

// Lists may come indented, and cut at any byte; a brace within a text is none.
TEST(Objects, AreCutByTheirBracesWhereverTheReadsFall) {
    const std::string one = "{\n  \"rev\": 2,\r\n\t\"targets\": [ {\n\"uid\": \"}\\\"]{\"\n } ]\n}";
    const std::string two = "{\"rev\":3,\"targets\":[]}";
    const std::string all = "\n\n" + one + "\r\n \n" + two + two + "\n\n";
    for (std::size_t cut = 0; cut <= all.size(); ++cut)
        for (std::size_t then = cut; then <= all.size(); then += 7) {
            reference::Objects objects(1000);
            std::vector<std::string> whole;
            for (const auto& part : {all.substr(0, cut), all.substr(cut, then - cut), all.substr(then)})
                ASSERT_TRUE(objects.feed(part, whole));
            ASSERT_EQ(whole, (std::vector<std::string>{one, two, two})) << cut << ' ' << then;
        }
}

TEST(Objects, EndWithWhatIsNoneAndKeepNoMoreThanTheirLimit) {
    std::vector<std::string> whole;
    reference::Objects noise(100);
    EXPECT_FALSE(noise.feed("{}\nx{}", whole));
    EXPECT_EQ(whole, std::vector<std::string>{"{}"});
    EXPECT_FALSE(noise.feed("{}", whole));
    EXPECT_EQ(whole.size(), 1u);
    reference::Objects large(100);
    EXPECT_TRUE(large.feed("{\"a\":\"" + std::string(90, 'x'), whole));
    EXPECT_FALSE(large.feed(std::string(20, 'x'), whole));
    EXPECT_FALSE(large.feed("\"}", whole));
    reference::Objects at_once(100);
    EXPECT_FALSE(at_once.feed("{\"a\":\"" + std::string(200, 'x') + "\"}", whole));
    EXPECT_EQ(whole.size(), 1u);
}

// The same bytes as lists.
TEST(ListReader, CutsIndentedListsWhereverTheReadsFallAndEndsWithWhatIsNone) {
    const std::string one = "{\n  \"rev\": 2,\r\n\t\"targets\": [ {\n\"uid\": \"}\\\"]{\"\n } ]\n}";
    const std::string two = "{\"rev\":3,\"targets\":[]}";
    const std::string all = "\n\n" + one + "\r\n \n" + two + two + "\n\n";
    for (std::size_t cut = 0; cut <= all.size(); ++cut)
        for (std::size_t then = cut; then <= all.size(); then += 7) {
            Reading reading;
            for (const auto& part : {all.substr(0, cut), all.substr(cut, then - cut), all.substr(then)})
                ASSERT_TRUE(reading.feed(part));
            ASSERT_EQ(reading.kept.order, "bebebe") << cut << ' ' << then;
            ASSERT_EQ(reading.kept.left_out[0], (LeftOut{1, 0}));
            ASSERT_EQ(reading.kept.news[0].version, 2u);
            ASSERT_EQ(reading.kept.news[2].version, 3u);
        }
    Reading noise;
    EXPECT_FALSE(noise.feed("{\"rev\":1}\nx{\"rev\":2}"));
    EXPECT_EQ(noise.kept.order, "be");
    EXPECT_EQ(noise.reader.fault(), "what is between two lists is no space");
    EXPECT_FALSE(noise.feed("{\"rev\":2}"));
    EXPECT_EQ(noise.kept.order, "be");
    Reading none;
    EXPECT_FALSE(none.feed("{}"));
    EXPECT_EQ(none.kept.order, "");
    EXPECT_EQ(none.reader.fault(), "no rev that can be read");
}

// ---- the hard cases ---------------------------------------------------------------------------------------

TEST(ListReader, AWholeListInTheMiddleOfABurstKeepsItsPlace) {
    std::string burst;
    for (int rev = 1; rev <= 50; ++rev) {
        std::string entries = entry("s-" + std::to_string(rev));
        if (rev == 25)
            for (int i = 0; i < 500; ++i) entries += ',' + entry("w-" + std::to_string(i));
        burst += list(rev, rev == 25, entries);
    }
    Reading reading;
    for (std::string_view rest = burst; !rest.empty();
         rest.remove_prefix(std::min<std::size_t>(rest.size(), 999)))
        ASSERT_TRUE(reading.feed(rest.substr(0, 999)));
    ASSERT_EQ(reading.kept.news.size(), 50u);
    for (int rev = 1; rev <= 50; ++rev) {
        const auto& news = reading.kept.news[static_cast<std::size_t>(rev - 1)];
        EXPECT_EQ(news.version, static_cast<unsigned>(rev));
        EXPECT_EQ(news.whole, rev == 25);
        EXPECT_EQ(news.lines.size(), rev == 25 ? 501u : 1u);
        EXPECT_EQ(news.lines.at(0).uid, "s-" + std::to_string(rev));
    }
}

TEST(ListReader, AListThatShrinksToNothingReturns) {
    Reading reading;
    ASSERT_TRUE(reading.feed(list(1, true, entry("a")) + list(2, true, "") + list(3, true, entry("a"))));
    EXPECT_EQ(reading.kept.order, "blebeble");
    EXPECT_TRUE(reading.kept.news.at(1).whole);
    EXPECT_TRUE(reading.kept.news.at(1).lines.empty());
}

TEST(ListReader, OfAListThatIsCutOffNothingHolds) {
    const auto before = list(1, true, entry("a"));
    const auto text = list(2, true, entry("b") + ',' + entry("c"));
    const auto head = text.find(",\"targets\"");
    for (std::size_t size = 1; size < text.size() - 1; ++size) {
        Reading reading;
        ASSERT_TRUE(reading.feed(before + text.substr(0, size)));
        EXPECT_TRUE(reading.reader.inside());
        reading.reader.stop();
        ASSERT_EQ(reading.kept.news.size(), 1u) << size;
        EXPECT_EQ(reading.kept.cuts.size(), size >= head + 1 ? 1u : 0u) << size;
        EXPECT_FALSE(reading.kept.now) << size;
        EXPECT_EQ(reading.reader.fault(), "the list is cut off");
        EXPECT_FALSE(reading.feed(text.substr(size)));  // what comes later belongs to another connection
        EXPECT_EQ(reading.kept.news.size(), 1u);
    }
    Reading sound;
    ASSERT_TRUE(sound.feed(before + text));
    sound.reader.stop();
    EXPECT_EQ(sound.kept.order, "bleblle");
    EXPECT_EQ(sound.reader.fault(), "");
}

TEST(ListReader, AFaultInTheMiddleCutsWhatHasBegun) {
    Reading reading;
    EXPECT_FALSE(reading.feed(list(1, true, entry("a")) + list(2, true, entry("b") + ",{\"uid\":}")));
    EXPECT_EQ(reading.kept.order, "bleblc");
    EXPECT_EQ(reading.kept.news.size(), 1u);
    EXPECT_FALSE(reading.feed(list(3, true, "")));
    EXPECT_EQ(reading.kept.news.size(), 1u);
}

TEST(ListReader, AListBeyondItsBoundsIsCutWithAClearError) {
    const auto three = entry("a") + ',' + entry("b") + ",5";  // those that cannot be read count too
    const auto text = list(2, true, three);
    const auto size = text.size() - 1;  // without the line's end
    for (const bool late : {false, true})
        for (const auto& [bounds, why] :
             {std::pair<ListBounds, std::string>{{2, 1 << 20, 1 << 20, 100},
                                                 "the list has more than 2 entries"},
              {{3, size - 1, 1 << 20, 100},
               "the list is larger than " + std::to_string(size - 1) + " bytes"}}) {
            Reading reading(bounds);
            ASSERT_TRUE(reading.feed(list(1, true, entry("a"))));
            bool sound = true;
            for (const char& c : text)
                sound = sound && reading.feed(late ? std::string_view(text) : std::string_view(&c, 1));
            EXPECT_FALSE(sound);
            EXPECT_EQ(reading.reader.fault(), why);
            EXPECT_EQ(reading.kept.cuts, std::vector<std::string>{why});
            EXPECT_EQ(reading.kept.news.size(), 1u);
        }
    Reading most({3, size, 1 << 20, 100});
    EXPECT_TRUE(most.feed(text + text));
    EXPECT_EQ(most.kept.order, "blleblle");
}

TEST(ListReader, EntriesAheadOfTheHeadAreKeptWithinABound) {
    std::string hosts = entry("a");
    for (int i = 0; i < 99; ++i) hosts += ',' + entry("s-" + std::to_string(i));
    const auto text = "{\"targets\":[" + hosts + "],\"rev\":4,\"all\":true}";
    Reading enough({1000, 1 << 20, text.size(), 100});
    ASSERT_TRUE(enough.feed(text));
    ASSERT_EQ(enough.kept.news.size(), 1u);
    EXPECT_EQ(enough.kept.news[0].lines.size(), 100u);

    const std::string why = "neither rev nor all within the first 5000 bytes of the list";
    for (const std::size_t part : {std::size_t{1}, text.size()}) {
        Reading few({1000, 1 << 20, 5000, 100});
        bool sound = true;
        for (std::string_view rest = text; !rest.empty() && sound; rest.remove_prefix(part))
            sound = few.feed(rest.substr(0, part));
        EXPECT_FALSE(sound);
        EXPECT_EQ(few.reader.fault(), why);
        EXPECT_EQ(few.kept.order, "");
    }
    // Where the head comes first, it is no bound.
    Reading first({1000, 1 << 20, 5000, 100});
    EXPECT_TRUE(first.feed(list(4, true, hosts)));
    EXPECT_EQ(first.kept.news.at(0).lines.size(), 100u);
}

TEST(ListReader, NamesMayComeInAnyOrder) {
    const std::vector<std::string> parts{"\"rev\":5", "\"all\":true", "\"targets\":[" + entry("a") + "]",
                                         "\"more\":{\"rev\":6}"};
    std::vector<std::size_t> order{0, 1, 2, 3};
    do {
        Reading reading;
        std::string text;
        for (const auto i : order) {
            const auto part = (text.empty() ? "{" : ",") + parts[i];
            text += part;
            ASSERT_TRUE(reading.feed(part));
            // Told as it streams where the head comes first.
            const auto place = [&](std::size_t at) { return std::find(order.begin(), order.end(), at); };
            const bool head_first = place(0) < place(2) && place(1) < place(2);
            if (i == 2) {
                EXPECT_EQ(reading.kept.order, head_first ? "bl" : "") << text;
            }
        }
        ASSERT_TRUE(reading.feed("}"));
        ASSERT_EQ(reading.kept.order, "ble") << text;
        EXPECT_EQ(reading.kept.news[0].version, 5u);
        EXPECT_TRUE(reading.kept.news[0].whole);
    } while (std::next_permutation(order.begin(), order.end()));
    // Changes need not say that they are.
    Reading changes;
    ASSERT_TRUE(changes.feed("{\"rev\":5,\"targets\":[" + entry("a") + "]}"));
    EXPECT_EQ(changes.kept.order, "ble");
    EXPECT_FALSE(changes.kept.news[0].whole);
}

TEST(ListReader, WhatIsGivenTwiceHoldsOnlyWhereItIsTheSame) {
    const auto ends = [](const std::string& text) {
        Reading reading;
        reading.feed(text);
        return reading.kept.order + '|' + reading.reader.fault();
    };
    const std::string again = "rev or all is given again with another value";
    EXPECT_EQ(ends("{\"rev\":1,\"all\":true,\"rev\":1.0,\"all\":\"true\",\"rev\":null}"), "be|");
    EXPECT_EQ(ends("{\"rev\":1,\"all\":true,\"rev\":2}"), "bc|" + again);
    EXPECT_EQ(ends("{\"rev\":1,\"all\":true,\"all\":false}"), "bc|" + again);
    EXPECT_EQ(ends("{\"rev\":1,\"rev\":2,\"all\":true}"), "be|");
    EXPECT_EQ(ends("{\"rev\":1,\"all\":true,\"targets\":[],\"targets\":[]}"), "bc|targets is given twice");
    Reading entry;
    ASSERT_TRUE(entry.feed(list(1, true,
                                "{\"uid\":\"a\",\"uid\":\"b\",\"uid\":null,\"endpoint\":\"1.2.3.4:5\","
                                "\"pod_group\":1}")));
    EXPECT_EQ(entry.kept.news.at(0).lines.at(0).uid, "b");
}

// ---- entries ----------------------------------------------------------------------------------------------

TEST(ListReader, EscapesInAUidAreItsCharacters) {
    Reading reading;
    ASSERT_TRUE(reading.feed(list(1, true,
                                  entry("\\u0073-\\u00e9\\u20ac\\ud83d\\ude00\\/\\\"\\\\") + ',' +
                                      entry("a b,c\\nd\\te") +
                                      ",{\"\\u0075id\":\"x\",\"endpoint\":\"1.2.3.4:5\","
                                      "\"pod_group\":\"3\"}")));
    const auto& lines = reading.kept.news.at(0).lines;
    ASSERT_EQ(lines.size(), 3u);
    EXPECT_EQ(lines[0].uid, "s-\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80/\"\\");
    EXPECT_EQ(lines[1].uid, "a_b_c_d\te");
    EXPECT_EQ(lines[2].uid, "x");
    EXPECT_EQ(lines[2].listing.destination, 3);
}

TEST(ListReader, HalfASurrogatePairIsNoText) {
    for (const char* const half : {"\\ud83d", "\\ud83dx", "\\ud83d\\n", "\\ud83d\\u0041", "\\ud83d\\ud83d"}) {
        Reading reading;
        EXPECT_FALSE(reading.feed(list(1, true, entry(half)))) << half;
        EXPECT_EQ(reading.reader.fault(), "half a surrogate pair") << half;
    }
}

TEST(ListReader, ANumberBeyondTheDestinationsIsNeverAnotherOnes) {
    const auto beyond = static_cast<unsigned long long>(most_destination) + 1;
    Reading reading;
    ASSERT_TRUE(reading.feed(
        list(1, true,
             entry("a", std::to_string(most_destination)) + ',' + entry("b", std::to_string(beyond)) + ',' +
                 entry("c", std::to_string(beyond + 7)) + ',' + entry("d", "-1") + ',' + entry("e", "1e300") +
                 ',' + entry("f", "\"x\"") + ',' + entry("g", "0"))));
    const auto& lines = reading.kept.news.at(0).lines;
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0].uid, "a");
    EXPECT_EQ(lines[0].listing.destination, most_destination);
    EXPECT_EQ(lines[1].uid, "g");
    EXPECT_EQ(reading.reader.left_out(), (LeftOut{1, 4}));
    EXPECT_EQ(as_text(reading.reader.left_out()),
              "1 entries of the list cannot be read; 4 entries have a pod_group that is not within 0 to " +
                  std::to_string(most_destination));
    ASSERT_TRUE(reading.feed(list(2, true, entry("a"))));
    EXPECT_FALSE(reading.reader.left_out().any());  // each list has its own count
    EXPECT_EQ(as_text(reading.reader.left_out()), "");
}

TEST(ListReader, AnEntryOfTooMuchTextIsLeftOutAndUnknownTextIsNotKept) {
    const std::string large(20000, 'x');
    const ListBounds bounds{1000, 1 << 20, 1 << 20, 16384};
    Reading reading(bounds);
    std::string joined = "[\"" + large.substr(0, 9000) + "\",\"" + large.substr(0, 9000) + "\"]";
    ASSERT_TRUE(reading.feed(list(1, true,
                                  entry(large) + ",{\"note\":\"" + large + "\",\"" + large + "\":1," +
                                      entry("a").substr(1) + ",{\"uid\":" + joined + ',' +
                                      entry("", "7").substr(10) + ',' + entry(large.substr(0, 16000)))));
    ASSERT_EQ(reading.kept.news.at(0).lines.size(), 2u);
    EXPECT_EQ(reading.kept.news[0].lines[0].uid, "a");
    EXPECT_EQ(reading.kept.news[0].lines[1].uid.size(), 16000u);
    EXPECT_EQ(reading.reader.left_out(), (LeftOut{2, 0}));
    // It is not as if the value were not there.
    ASSERT_TRUE(
        reading.feed(list(2, true, "{\"az\":\"" + large + "\"," + entry("b").substr(1) + ',' + entry("c"))));
    ASSERT_EQ(reading.kept.news.at(1).lines.size(), 1u);
    EXPECT_EQ(reading.kept.news[1].lines[0].uid, "c");
    Reading word(bounds);
    EXPECT_FALSE(word.feed("{\"rev\":" + std::string(20000, '1')));
    EXPECT_EQ(word.reader.fault(), "a number is too long");
}

TEST(ListReader, NestsAsDeepAsTheConfigsReader) {
    for (const std::size_t deep : {31u, 32u, 33u, 40u}) {
        const auto text = "{\"rev\":1,\"x\":" + std::string(deep, '[') + std::string(deep, ']') + "}";
        Reading reading;
        EXPECT_EQ(reading.feed(text), config::flatten(text).has_value()) << deep;
        EXPECT_EQ(reading.feed(""), deep <= 32) << deep;
    }
}

TEST(ListReader, ReadsAListThatNoObjectCouldHold) {
    constexpr std::size_t count = 100000;  // over the 8 MiB and the 20,000 entries that were held at once
    Reading reading;
    ASSERT_TRUE(reading.feed("{\"rev\":1,\"all\":true,\"targets\":["));
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const auto one = (i > 0 ? "," : "") + entry("host-" + std::to_string(i), std::to_string(i % 60000));
        bytes += one.size();
        ASSERT_TRUE(reading.feed(one));
        ASSERT_EQ(reading.kept.now->lines.size(), i + 1);  // told as it comes
    }
    ASSERT_TRUE(reading.feed("]}"));
    EXPECT_GT(bytes, std::size_t{8} << 20);
    ASSERT_EQ(reading.kept.news.size(), 1u);
    EXPECT_EQ(reading.kept.news[0].lines.back().uid, "host-99999");
}

}  // namespace
}  // namespace brasslift::cluster
