// The list in the config's file: parted from the rest wherever the reads fall, and read within its bounds.
#include "cluster/known.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace brasslift::cluster {
namespace {

struct Parts {
    std::string rest, known;
    bool operator==(const Parts&) const = default;
};

Parts parted(std::initializer_list<std::string_view> reads) {
    Parts parts;
    config::KnownSplit split;
    for (const auto part : reads)
        split.feed(part, parts.rest, [&](std::string_view bytes) { parts.known += bytes; });
    return parts;
}

TEST(KnownSplit, PartsTheListFromTheRestWhereverTheReadsFall) {
    const std::string list = R"({"rev":1,"all":true,"targets":[{"uid":"}\"]{","known":{"a":[]}}, [ ] ]})";
    const std::string before = R"( {"name" : "known", "a\"known" : {"known":{"b":1}} , "known": )";
    const std::string after = R"( , "x":["known",{"known":[2]}],"knownx":{}, "y":"{" }
)";
    const auto whole = before + list + after;
    const Parts wanted{before + "null" + after, list};
    ASSERT_EQ(parted({whole}), wanted);
    for (std::size_t cut = 0; cut <= whole.size(); ++cut)
        for (std::size_t then = cut; then <= whole.size(); then += 5) {
            const std::string_view text = whole;
            ASSERT_EQ(parted({text.substr(0, cut), text.substr(cut, then - cut), text.substr(then)}), wanted)
                << cut << ' ' << then;
        }
    EXPECT_TRUE(config::flatten(wanted.rest));
}

TEST(KnownSplit, LeavesAConfigWithoutAListAsItIs) {
    for (const std::string text : {"{}", "{\"known\":null,\"a\":1}", "{\"known\":\"{}\",\"b\":{}}",
                                   "[\"known\",{}]", "{\"a\":{\"known\":{}}}", "", "}}{", "{\"known\"", "x"})
        EXPECT_EQ(parted({text}), (Parts{text, ""})) << text;
}

// A file of the test's own; its list is read as at a start.
class Known : public testing::Test {
protected:
    void SetUp() override {
        char path[] = "/tmp/brasslift-known-XXXXXX";
        const int fd = ::mkstemp(path);
        ASSERT_GE(fd, 0);
        ::close(fd);
        config_.file = path;
    }
    void TearDown() override { std::remove(config_.file.c_str()); }
    void write(const std::string& known, const std::string& more = "") {
        std::ofstream(config_.file) << "{\"known\":" + known + more + ",\"name\":\"n1\"}";
    }
    static std::string list(std::size_t count) {
        std::string text = "{\"rev\":3,\"all\":true,\"targets\":[";
        for (std::size_t i = 0; i < count; ++i)
            text += (i > 0 ? ",{\"uid\":\"host-" : "{\"uid\":\"host-") + std::to_string(i) +
                    "\",\"endpoint\":\"10.0.0.1:80\",\"pod_group\":" + std::to_string(i % 50000) +
                    ",\"state\":\"Ready\",\"note\":\"as long as a host's line is where lists are large\"}";
        return text + "]}";
    }
    config::Config config_;
};

TEST_F(Known, IsReadFromAFileFarBeyondWhatTheRestMayTake) {
    write(list(70000));
    std::ifstream file(config_.file, std::ios::ate);
    EXPECT_GT(file.tellg(), 8 << 20);
    EXPECT_EQ(config::read_file(config_.file), "{\"known\":null,\"name\":\"n1\"}");
    const auto news = read_known(config_);
    ASSERT_TRUE(news);
    EXPECT_TRUE(news->whole);
    EXPECT_EQ(news->version, 3u);
    ASSERT_EQ(news->lines.size(), 70000u);
    EXPECT_EQ(news->lines.back().uid, "host-69999");
    EXPECT_EQ(news->lines.back().listing.destination, 19999);
}

TEST_F(Known, WhatIsTooLargeOrBrokenIsNotTaken) {
    const auto taken = [&](ListBounds bounds) {
        ListGatherer lists;
        const bool sound = read_known(config_, lists, bounds);
        EXPECT_EQ(lists.whole.size(), sound ? 1u : 0u);
        return sound;
    };
    write(list(100));
    EXPECT_TRUE(taken({100, 1 << 20}));
    EXPECT_FALSE(taken({99, 1 << 20}));
    EXPECT_FALSE(taken({100, 2000}));
    for (const auto* const broken :
         {"{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":tru}]}", "[]", "{}", "{\"rev\":-1,\"all\":true}"}) {
        write(broken);
        EXPECT_FALSE(read_known(config_)) << broken;
        EXPECT_EQ(config::read_file(config_.file), "{\"known\":null,\"name\":\"n1\"}") << broken;
    }
    write("null");
    EXPECT_FALSE(read_known(config_));
    write("{\"rev\":1,\"all\":true,\"targets\":[]}");
    EXPECT_TRUE(read_known(config_));
    std::ofstream(config_.file) << "{\"known\":{\"rev\":1,\"all\":true,\"targets\":[";  // torn
    EXPECT_FALSE(read_known(config_));
    EXPECT_FALSE(config::flatten(config::read_file(config_.file)));
    config_.file += "-gone";
    EXPECT_FALSE(read_known(config_));
    config_.file.clear();
    EXPECT_FALSE(read_known(config_));
}

TEST_F(Known, TheRestHasItsOwnBound) {
    write("{\"rev\":1}", ",\"x\":\"" + std::string(std::size_t{8} << 20, 'x') + '"');
    EXPECT_THROW(config::read_file(config_.file), config::BadConfig);
}

}  // namespace
}  // namespace brasslift::cluster
