// The configuration language: one message for each fault, one layout, one meaning.
#include <google/protobuf/text_format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "lang/list_file.hpp"
#include "lang/meaning.hpp"
#include "lang/tree.hpp"
#include "lang/units.hpp"
#include "plan/index.hpp"

namespace brasslift::lang {
namespace {

namespace fs = std::filesystem;

std::string contents(const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::vector<fs::path> files_in(const std::string& folder) {
    std::vector<fs::path> found;
    for (const auto& entry : fs::directory_iterator(fs::path(BRASSLIFT_TEST_CONFIG) / folder))
        if (entry.is_regular_file()) found.push_back(entry.path());
    std::sort(found.begin(), found.end());
    return found;
}

// Files as a test writes them; "folder" and "locked" are what their names say.
class Shelf : public Files {
public:
    std::map<std::string, std::string> files;
    std::map<std::string, std::string> links;
    std::variant<std::string, Failure> find(const std::string& path) const override {
        const auto plain = fs::path("/shelf") / path;
        const auto key = plain.lexically_normal().string();
        const auto link = links.find(key);
        return link == links.end() ? key : link->second;
    }
    std::variant<std::string, Failure> read(const std::string& path, std::size_t most) const override {
        if (path == "/shelf/locked") return Failure{"it cannot be read"};
        const auto found = files.find(path);
        if (found == files.end()) return Failure{"there is no such file"};
        if (found->second.size() > most)
            return Failure{"it is larger than " + std::to_string(most) + " bytes"};
        reads_.push_back(path);
        return found->second;
    }
    mutable std::vector<std::string> reads_;
};

struct Result {
    Document document;
    Findings findings;
    plan::Rules rules;
    std::string told() const {
        std::string all;
        for (const auto& f : findings.sorted()) all += to_text(f) + '\n';
        return all;
    }
};

void load(const Files& files, const std::string& path, Result& result, const Platform* platform = nullptr) {
    read(path, files, result.document, result.findings);
    result.rules = compile(result.document, platform, result.findings);
}

void load_text(const std::string& text, Result& result) {
    Shelf shelf;
    shelf.files["/shelf/f"] = text;
    load(shelf, "f", result);
}

std::string told(const Shelf& shelf, const std::string& path = "main") {
    Result result;
    load(shelf, path, result);
    return result.told();
}

Platform platform() {
    return {{{"safe", 16000}, {"keyed", 16000}, {"payment", 16000}}, {"acme"}, 4, 500, 3000, 3000};
}

TEST(Language, HasOneMessageForEachBrokenFile) {
    const auto own = platform();
    const auto before = fs::current_path();
    fs::current_path(fs::path(BRASSLIFT_TEST_CONFIG) / "broken");
    int files = 0;
    for (const auto& path : files_in("broken")) {
        const auto text = contents(path);
        const auto first = text.substr(0, text.find('\n'));
        const auto colon = first.find(": ");
        ASSERT_NE(colon, std::string::npos) << path;
        Result result;
        load(Disk(), path.filename().string(), result,
             first.starts_with("# expect (platform)") ? &own : nullptr);
        EXPECT_EQ(result.told(), first.substr(colon + 2) + '\n') << path.filename();
        ++files;
    }
    fs::current_path(before);
    EXPECT_GE(files, 80);
}

TEST(Language, TellsAllFaultsInOneRun) {
    Result result;
    load_text(
        "pool { nam: \"p\" destination: \"1\" }\nroute { name: 5 refuse { pause: \"1\" } }\n}\nlimit { name: "
        "\"l\" rate: \"1/s\" by: X }\n",
        result);
    EXPECT_EQ(result.findings.sorted().size(), 5u) << result.told();
}

// A number that a pool does not hold is none that it holds with other upper bits.
TEST(Language, ComparesDestinationsWhole) {
    const auto told = [](const std::string& pool, const std::string& route) {
        Result result;
        load_text("pool { name: \"p\" destination: \"" + pool +
                      "\" }\nroute { name: \"r\" match { destination: \"" + route + "\" } pool: \"p\" }\n",
                  result);
        return result.told();
    };
    EXPECT_EQ(told("4294967200-4294967295", "4294967290-4294967295"), "");
    EXPECT_EQ(told("0-4294967295", "70000"), "");
    EXPECT_NE(told("0-65535", "70000").find("sends destination 70000 to pool"), std::string::npos);
    EXPECT_NE(told("0-4294967294", "4294967295").find("sends destination 4294967295 to pool"),
              std::string::npos);
    EXPECT_NE(told("0-65535", "65530-65540").find("which does not hold all of it"), std::string::npos);
}

TEST(Language, SaysSoWhereThereAreMoreClassesThanItTellsApart) {
    auto own = platform();
    own.classes.clear();
    for (std::size_t i = 0; i < plan::Index::most_classes; ++i)
        own.classes.push_back({"c" + std::to_string(i), 16000});
    Shelf shelf;
    shelf.files["/shelf/f"] = "route { name: \"r\" match { class: \"c7\" } refuse { pause: \"1s\" } }\n";
    const auto told = [&] {
        Result result;
        load(shelf, "f", result, &own);
        return result.told();
    };
    EXPECT_EQ(told(), "");
    own.classes.push_back({"more", 16000});
    EXPECT_NE(told().find("there are more than 16382 classes"), std::string::npos);
}

TEST(Includes, AreReadOnceHoweverTheyAreReached) {
    Shelf shelf;
    shelf.files["/shelf/main"] = "include: [\"a/one\", \"a/two\"]\ninclude: \"./a/../a/one\"\n";
    shelf.files["/shelf/a/one"] = "include: \"two\"\n";
    shelf.files["/shelf/a/two"] = "route { name: \"r\" refuse { pause: \"1s\" } }\n";
    EXPECT_EQ(told(shelf), "");
    EXPECT_EQ(shelf.reads_.size(), 3u);
}

TEST(Includes, PrintTheLoopThatTheyMake) {
    Shelf shelf;
    shelf.files["/shelf/main"] = "include: \"a\"\n";
    shelf.files["/shelf/a"] = "include: \"b\"\n";
    shelf.files["/shelf/b"] = "include: \"a\"\n";
    EXPECT_EQ(told(shelf),
              "b:1:10: error: the include closes a loop: a -> b -> a; fix: remove one of these includes\n");
}

TEST(Includes, StayWithinTheFolderAlsoThroughLinks) {
    Shelf shelf;
    shelf.files["/shelf/sub/main"] = "include: \"inner\"\n";
    shelf.files["/elsewhere"] = "";
    shelf.links["/shelf/sub/inner"] = "/elsewhere";
    EXPECT_EQ(told(shelf, "sub/main"),
              "sub/main:1:10: error: the include \"inner\" leaves the folder of the first file; fix: move "
              "the file there, or "
              "start from a file above both\n");
}

TEST(Includes, SayWhatCannotBeRead) {
    Shelf shelf;
    shelf.files["/shelf/main"] = "include: \"locked\"\n";
    EXPECT_EQ(told(shelf),
              "main:1:10: error: the included file \"locked\" cannot be read: it cannot be read; fix: "
              "correct the path, or remove the include\n");
}

// Bounded memory and time, one clear message.
TEST(Includes, RefuseAHugeFile) {
    const auto path = fs::temp_directory_path() / ("brasslift-huge-" + std::to_string(::getpid()));
    std::ofstream(path) << "#";
    fs::resize_file(path, 64 << 20);  // a hole: NUL bytes
    Result result;
    load(Disk(), path.string(), result);
    fs::remove(path);
    EXPECT_EQ(result.told(),
              path.string() +
                  ": error: the file cannot be read: it is larger than 4194304 bytes; fix: check the path\n");
}

TEST(Includes, AreBoundedInNumber) {
    Shelf shelf;
    for (int i = 0; i < 1100; ++i)
        shelf.files["/shelf/f" + std::to_string(i)] = "include: \"f" + std::to_string(i + 1) + "\"\n";
    EXPECT_NE(told(shelf, "f0").find("more than 1000 files"), std::string::npos);
}

TEST(Findings, AreCutBetweenCharacters) {
    EXPECT_EQ(shown("\xc3\xa9\xc3\xa9", 3), "\"\xc3\xa9\"");
    EXPECT_EQ(shown("abc", 3), "\"abc\"");
}

TEST(Units, MeanTheSameHoweverTheyAreWritten) {
    const auto value = [](Unit unit, const char* text) {
        return std::get<Quantity>(read_quantity(unit, text)).value;
    };
    EXPECT_EQ(value(Unit::duration, "2s"), value(Unit::duration, "2000ms"));
    EXPECT_EQ(value(Unit::duration, "1.5m"), value(Unit::duration, "90s"));
    EXPECT_EQ(value(Unit::size, "1MiB"), value(Unit::size, "1024KiB"));
    EXPECT_NE(value(Unit::size, "1kB"), value(Unit::size, "1KiB"));
    EXPECT_EQ(value(Unit::rate, "2/s"), value(Unit::rate, "120/m"));
    EXPECT_EQ(value(Unit::rate, "0.5/s"), value(Unit::rate, "30/m"));
    EXPECT_EQ(value(Unit::share, "12.50%"), value(Unit::share, "12.5%"));
    EXPECT_TRUE(std::holds_alternative<Misread>(read_quantity(Unit::duration, "9223372036854775808us")));
    EXPECT_EQ(value(Unit::duration, "9223372036854775807us"), 9223372036854775807);
    EXPECT_TRUE(std::holds_alternative<Misread>(read_quantity(Unit::size, "0.5B")));
}

TEST(Units, AreReadAgainAsTheyAreWritten) {
    std::mt19937_64 random(7);
    for (const auto unit : {Unit::duration, Unit::size, Unit::rate, Unit::share})
        for (int i = 0; i < 5000; ++i) {
            const Quantity q{static_cast<std::int64_t>(random() >> (1 + random() % 62))};
            const auto text = write_quantity(unit, q);
            const auto again = read_quantity(unit, text);
            ASSERT_TRUE(std::holds_alternative<Quantity>(again)) << text;
            ASSERT_EQ(std::get<Quantity>(again).value, q.value) << text;
        }
}

// Google's own reader of the format is the yardstick: what it reads, we read as the same message.
TEST(Language, ReadsWhatProtobufReads) {
    for (const auto& path : files_in("good")) {
        Findings findings;
        const auto text = contents(path);
        const auto tree = read_tree("f", text, findings);
        config::v1::Operator own, theirs;
        Places places;
        places.begin("f");
        for (const auto& field : tree.fields) bind_field("f", field, own, places, findings);
        ASSERT_TRUE(findings.empty()) << path;
        ASSERT_TRUE(google::protobuf::TextFormat::ParseFromString(text, &theirs)) << path;
        EXPECT_EQ(own.DebugString(), theirs.DebugString()) << path;
    }
}

std::string formatted(const std::string& text) {
    Findings findings;
    const auto tree = read_tree("f", text, findings);
    EXPECT_TRUE(findings.empty()) << text;
    return format(tree);
}

std::vector<std::string> comments_of(const std::string& text) {
    Findings findings;
    std::string joined;
    for (const auto& token : read_tokens("f", text, findings))
        if (token.kind == Token::Kind::comment) joined += token.text;
    // Two that come to stand on one line become one: compared by their words.
    std::vector<std::string> words;
    std::string word;
    for (const char c : joined)
        if (c == ' ' || c == '#') {
            if (!word.empty()) words.push_back(std::exchange(word, {}));
        } else {
            word += c;
        }
    if (!word.empty()) words.push_back(word);
    std::sort(words.begin(), words.end());
    return words;
}

TEST(Format, TwiceChangesNothingAndKeepsEveryComment) {
    for (const auto& path : files_in("good")) {
        const auto text = contents(path);
        const auto once = formatted(text);
        EXPECT_EQ(formatted(once), once) << path;
        EXPECT_EQ(comments_of(once), comments_of(text)) << path;
    }
}

TEST(Format, IsWhatTheShippedFilesHave) {
    for (const char* const name :
         {"gateway.textproto", "limits.textproto", "partners.textproto", "minimal.textproto"}) {
        const auto text = contents(fs::path(BRASSLIFT_TEST_CONFIG) / "good" / name);
        EXPECT_EQ(formatted(text), text) << name;
    }
}

// The same tokens in another layout: spaces, lines, comments, brackets and separators.
std::string damaged(const std::string& text, std::mt19937_64& random) {
    Findings findings;
    const auto tokens = read_tokens("f", text, findings);
    std::string out;
    std::vector<bool> angle, list;
    for (std::size_t i = 0; i + 1 < tokens.size(); ++i) {
        const auto& t = tokens[i];
        const bool open = t.kind == Token::Kind::mark && (t.text == "{" || t.text == "<");
        const bool close = t.kind == Token::Kind::mark && (t.text == "}" || t.text == ">");
        if (open) {
            angle.push_back(random() % 2 == 0);
            out += angle.back() ? '<' : '{';
        } else if (close) {
            out += angle.back() ? '>' : '}';
            angle.pop_back();
        } else {
            out += t.text;
        }
        if (t.kind == Token::Kind::comment) out += '\n';
        switch (random() % 6) {
            case 0: out += "\n\n\n"; break;
            case 1: out += "\t "; break;
            case 2: out += " # damage " + std::to_string(random() % 100) + '\n'; break;
            case 3: out += "\r\n"; break;
            default: out += ' ';
        }
    }
    return out;
}

TEST(Format, LeavesTheMeaningOfDamagedLayouts) {
    std::mt19937_64 random(20261201);
    for (const auto& path : files_in("good")) {
        const auto text = contents(path);
        // What it includes is beside it.
        const auto load_beside = [](const std::string& main, Result& result) {
            Shelf shelf;
            for (const auto& other : files_in("good"))
                shelf.files["/shelf/" + other.filename().string()] = contents(other);
            shelf.files["/shelf/f"] = main;
            load(shelf, "f", result);
        };
        Result whole;
        load_beside(text, whole);
        if (path.filename() != "limits.textproto") {
            ASSERT_EQ(whole.told(), "");  // that one names destinations of another file
        }
        for (int i = 0; i < 200; ++i) {
            const auto odd = damaged(text, random);
            const auto once = formatted(odd);
            ASSERT_EQ(formatted(once), once) << odd;
            ASSERT_EQ(comments_of(once), comments_of(odd)) << odd;
            Result a, b;
            load_beside(odd, a);
            load_beside(once, b);
            ASSERT_EQ(to_text(differences(whole.document, a.document)), "") << odd;
            ASSERT_EQ(to_text(differences(a.document, b.document)), "") << odd;
        }
    }
}

std::string difference(const std::string& before, const std::string& after) {
    Result a, b;
    load_text(before, a);
    load_text(after, b);
    EXPECT_EQ(a.told() + b.told(), "");
    return to_text(differences(a.document, b.document));
}

TEST(Diff, SeesMeaningOnly) {
    const std::string base =
        "pool { name: \"p\" destination: [\"1\", \"2\"] dial_timeout: \"2s\" }\nroute { name: \"r\" pool: "
        "\"p\" }\n";
    EXPECT_EQ(difference(base,
                         "route { pool: \"p\" name: \"r\" }\npool { dial_timeout: \"2000ms\" destination: "
                         "[\"2\"] destination: \"1\" name: \"p\" }"),
              "");
    EXPECT_EQ(difference(base, base + "limit { name: \"l\" rate: \"1/s\" }\n"),
              "+ limit \"l\"\n+ limit \"l\": rate: \"1/s\"\n");
    EXPECT_EQ(difference("limit { name: \"l\" rate: \"120/m\" horizon: \"30s\" }",
                         "limit { name: \"l\" rate: \"2/s\" }"),
              "");  // the standard, said
    EXPECT_EQ(
        difference("limit { name: \"l\" rate: \"2/s\" }", "limit { name: \"l\" rate: \"3/s\" burst: 7 }"),
        "~ limit \"l\": burst: (absent) -> 7\n~ limit \"l\": rate: \"2/s\" -> \"3/s\"\n");
    EXPECT_EQ(difference("limit { name: \"l\" rate: \"2/s\" guarantee { tenant: \"a\" part: \"10%\" } }",
                         "limit { name: \"l\" rate: \"2/s\" guarantee { tenant: \"a\" part: \"12%\" } }"),
              "~ limit \"l\": guarantee[tenant \"a\"].part: \"10%\" -> \"12%\"\n");
    EXPECT_EQ(difference("bounds { }", ""), "");
}

TEST(Diff, DoesNotSeeInWhichFileARuleStands) {
    Shelf one, two;
    one.files["/shelf/main"] =
        "route { name: \"r\" refuse { pause: \"1s\" } }\nlimit { name: \"l\" held: 5 }\n";
    two.files["/shelf/main"] = "include: \"x/other\"\nlimit { name: \"l\" held: 5 }\n";
    two.files["/shelf/x/other"] = "route { refuse { pause: \"1000ms\" } name: \"r\" }\n";
    Result a, b;
    load(one, "main", a);
    load(two, "main", b);
    EXPECT_EQ(to_text(differences(a.document, b.document)), "");
}

TEST(Show, PrintsAFileThatMeansTheSame) {
    Result whole, again;
    load(Disk(), (fs::path(BRASSLIFT_TEST_CONFIG) / "good/gateway.textproto").string(), whole);
    ASSERT_EQ(whole.told(), "");
    const auto text = show(whole.document);
    load_text(text, again);
    EXPECT_EQ(again.told(), "");
    EXPECT_EQ(to_text(differences(whole.document, again.document)), "");
    EXPECT_NE(text.find("burst: 60  # "), std::string::npos);
    EXPECT_NE(text.find("# horizon: \"30s\"  (standard)"), std::string::npos);
}

TEST(Explain, NamesWhatHoldsAndWhyNotTheOthers) {
    Result r;
    load(Disk(), (fs::path(BRASSLIFT_TEST_CONFIG) / "good/gateway.textproto").string(), r);
    auto names = names_in(r.rules);
    names.classes.push_back("ride");
    const auto text = explain(r.document, r.rules, names, {"cooperative-1", "payment", 1}, false);
    EXPECT_TRUE(text.starts_with("route \"payments\"")) << text;
    EXPECT_NE(text.find("not route \"rides-a\""), std::string::npos);
    EXPECT_NE(text.find("its priority 0 is below 10"), std::string::npos);
    EXPECT_NE(text.find("policy \"payments-soon\""), std::string::npos);
    const auto far = explain(r.document, r.rules, names, {"cooperative-1", "ride", 5}, false);
    EXPECT_NE(far.find("guaranteed 30% of it"), std::string::npos) << far;
}

// Whatever a file says, the checker ends soon and without a crash. The long run is bench/config_mutants.
TEST(Language, SurvivesMutants) {
    std::mt19937_64 random(99);
    std::vector<std::string> seeds;
    for (const auto& path : files_in("good")) seeds.push_back(contents(path));
    for (const auto& path : files_in("broken")) seeds.push_back(contents(path));
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 3000; ++i) {
        auto text = seeds[random() % seeds.size()];
        for (std::uint64_t n = 1 + random() % 6; n > 0 && !text.empty(); --n) {
            const auto at = random() % text.size();
            switch (random() % 5) {
                case 0: text[at] = static_cast<char>(random()); break;
                case 1: text.erase(at, 1 + random() % 20); break;
                case 2: text.insert(at, text.substr(random() % text.size(), random() % 40)); break;
                case 3: text.insert(at, 1, "{}[]<>:,;-\"#\\"[random() % 13]); break;
                default: text.resize(at);
            }
        }
        Result result;
        load_text(text, result);
        if (result.findings.any_errors()) continue;
        // What is without fault is laid out in one way only and means what it meant.
        const auto once = formatted(text);
        ASSERT_EQ(formatted(once), once);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(60));
}

// Entries of named lists: each written one way, faults with their line and column.
TEST(ListFile, ReadsEntriesOfEachKind) {
    using plan::ListKind;
    const DestinationNames names{{"momo", 7}};
    const auto read = [&](const char* text, ListKind kind) {
        Findings findings;
        auto entries = read_list("f", text, kind, names, nullptr, findings);
        for (const auto& finding : findings.sorted()) entries["! " + to_text(finding)] = 0;
        return entries;
    };
    EXPECT_EQ(read("3 # shut for work\n\n  5-6\r\nmomo\n3\n", ListKind::destinations_shut),
              (ListEntries{{"3", 0}, {"5", 0}, {"6", 0}, {"7", 0}}));
    EXPECT_EQ(read("acme 2/s\nbolt 7200/h", ListKind::tenants_capped),
              (ListEntries{{"acme", 7'200'000}, {"bolt", 7'200'000}}));
    EXPECT_EQ(write_entry("acme", 7'200'000, ListKind::tenants_capped), "acme 2/s");
    EXPECT_EQ(read("s-5be2a07c\n", ListKind::endpoints_kept_out), (ListEntries{{"s-5be2a07c", 0}}));
    const auto fault = [&](const char* text, ListKind kind) {
        const auto entries = read(text, kind);
        return entries.empty() || !entries.begin()->first.starts_with("! ")
                   ? std::string("none")
                   : entries.begin()->first.substr(2);
    };
    EXPECT_TRUE(fault("\n mom*", ListKind::destinations_shut).starts_with("f:2:2: error: "));
    EXPECT_TRUE(fault("nowhere", ListKind::destinations_shut).starts_with("f:1:1: error: the rules name no"));
    EXPECT_TRUE(fault("acme 1/s\nacme 2/s", ListKind::tenants_capped).starts_with("f:2:1: error: "));
    EXPECT_TRUE(fault("acme 0/s", ListKind::tenants_capped).starts_with("f:1:6: error: a rate of 0"));
    EXPECT_TRUE(
        fault("a\n\xff", ListKind::endpoints_kept_out).starts_with("f:2:1: error: this is not UTF-8"));
    EXPECT_EQ(judge_entry("4294967296", ListKind::destinations_shut, nullptr),
              "\"4294967296\" is no destination");
    EXPECT_EQ(judge_entry("4294967295", ListKind::destinations_shut, nullptr), "");
    EXPECT_EQ(read("70000\n4294967294-4294967295\n", ListKind::destinations_shut),
              (ListEntries{{"70000", 0}, {"4294967294", 0}, {"4294967295", 0}}));
    EXPECT_TRUE(fault("4294967296", ListKind::destinations_shut)
                    .starts_with("f:1:1: error: \"4294967296\" is beyond the last destination"));
    EXPECT_EQ(read("1-65536", ListKind::destinations_shut).size(), 65536U);
    EXPECT_TRUE(fault("0-4294967295", ListKind::destinations_shut)
                    .starts_with("f:1:1: error: \"0-4294967295\" is more than 65536 destinations"));
    EXPECT_TRUE(fault("1-65537", ListKind::destinations_shut)
                    .starts_with("f:1:1: error: \"1-65537\" is more than 65536 destinations"));
    EXPECT_EQ(judge_entry("5-9", ListKind::destinations_shut, nullptr), "\"5-9\" is no destination");
}

TEST(Members, AreAThousandAtMost) {
    const auto told_of = [](int members) {
        std::string text = "members {\n  cluster: \"c\"\n";
        for (int i = 0; i < members; ++i)
            text += "  member { name: \"n" + std::to_string(i) +
                    "\" address: \"127.0.0.1:" + std::to_string(1000 + i) +
                    "\" voter: " + (i < 3 ? "ON" : "OFF") + " }\n";
        Result result;
        load_text(text + "}\n", result);
        return result.told();
    };
    EXPECT_EQ(told_of(1000), "");
    EXPECT_NE(told_of(1001).find("f:1003:3: error: more than 1000 members; fix: remove some"),
              std::string::npos)
        << told_of(1001);
}

}  // namespace
}  // namespace brasslift::lang
