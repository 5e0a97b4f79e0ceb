// The commands on configurations, as a shell sees them: what they print and how they end.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "dispatch/records.hpp"

namespace brasslift::test {
namespace {

namespace fs = std::filesystem;

struct Ended {
    std::string out;
    int code = -1;
};

class Commands : public ::testing::Test {
protected:
    Commands() : folder_((fs::temp_directory_path() / "brasslift-commands-XXXXXX").string()) {
        if (::mkdtemp(folder_.data()) == nullptr) folder_.clear();
    }
    ~Commands() override {
        std::error_code error;
        fs::remove_all(folder_, error);
    }
    // FILE arguments are within the test's folder.
    Ended run(const std::string& arguments) const {
        Ended ended;
        FILE* const pipe =
            ::popen(("cd " + folder_ + " && " BRASSLIFT_PROGRAM " " + arguments + " 2>&1").c_str(), "r");
        char part[4096];
        for (std::size_t got; (got = std::fread(part, 1, sizeof part, pipe)) > 0;)
            ended.out.append(part, got);
        const int status = ::pclose(pipe);
        ended.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return ended;
    }
    void write(const std::string& name, const std::string& text) const {
        std::ofstream(fs::path(folder_) / name) << text;
    }
    std::string read(const std::string& name) const {
        std::ifstream in(fs::path(folder_) / name);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    std::string folder_;
};

const std::string good = "route {\n  name: \"r\"\n  refuse {\n    pause: \"1s\"\n  }\n}\n";

TEST_F(Commands, CheckEndsWithOneWhereThereAreFindings) {
    write("good", good);
    write("bad", "route { name: \"r\" }\n");
    EXPECT_EQ(run("config check good").code, 0);
    const auto bad = run("config check good bad");
    EXPECT_EQ(bad.code, 1);
    EXPECT_EQ(bad.out,
              "bad:1:1: error: route \"r\" neither has a pool nor refuses; fix: add pool: \"...\" or refuse "
              "{ pause: \"...\" }\n");
    const auto json = run("config check --json bad");
    EXPECT_EQ(json.code, 1);
    EXPECT_TRUE(
        json.out.starts_with("[{\"file\":\"bad\",\"line\":1,\"column\":1,\"severity\":\"error\",\"what\":"
                             "\"route \\\"r\\\" neither"))
        << json.out;
    EXPECT_EQ(run("config check --json good").out, "[]\n");
}

TEST_F(Commands, EndWithTwoWhereTheyCannotBeUnderstood) {
    write("good", good);
    for (const char* const line : {"config", "config chek good", "config check", "config check --jsn good",
                                   "config diff good", "config show", "config format --check --write good",
                                   "config explain good", "config explain good --tenant a --class b --dest x",
                                   "nothing", "version-of-what", "serve extra arguments", "journal a b"})
        EXPECT_EQ(run(line).code, 2) << line << '\n' << run(line).out;
}

TEST_F(Commands, HaveHelpEach) {
    for (const char* const line : {"--help", "serve --help", "config --help", "config check --help",
                                   "config format --help", "config diff --help", "config show --help",
                                   "config explain --help", "check-config --help", "journal --help"}) {
        const auto ended = run(line);
        EXPECT_EQ(ended.code, 0) << line;
        EXPECT_GT(ended.out.size(), 80u) << line;
    }
}

TEST_F(Commands, FormatChecksPrintsAndWrites) {
    write("odd", "# why\nroute{name:'r' refuse:{pause:\"1s\"}}");
    EXPECT_EQ(run("config format --check odd").code, 1);
    EXPECT_EQ(run("config format odd").out,
              "# why\nroute {\n  name: 'r'\n  refuse {\n    pause: \"1s\"\n  }\n}\n");
    ASSERT_EQ(::chmod((folder_ + "/odd").c_str(), 0640), 0);
    fs::create_symlink("odd", fs::path(folder_) / "link");
    EXPECT_EQ(run("config format --write link").code, 0);
    EXPECT_EQ(run("config format --check odd").code, 0);
    EXPECT_TRUE(fs::is_symlink(fs::path(folder_) / "link"));  // the file behind it was replaced
    EXPECT_EQ(fs::status(fs::path(folder_) / "odd").permissions(), fs::perms(0640));
    write("broken", "route {");
    EXPECT_EQ(run("config format --write broken odd").code, 1);
    EXPECT_EQ(read("broken"), "route {");
}

TEST_F(Commands, DiffEndsWithZeroOnlyWhereNothingChanges) {
    write("a", good);
    write("b", "include: \"c\"\n");
    write("c", "route { refuse { pause: \"1000ms\" } name: \"r\" }\n");
    write("d", "route { refuse { pause: \"2s\" } name: \"r\" }\n");
    write("broken", "route {");
    EXPECT_EQ(run("config diff a b").code, 0);
    const auto changed = run("config diff a d");
    EXPECT_EQ(changed.code, 1);
    EXPECT_EQ(changed.out, "~ route \"r\": refuse.pause: \"1s\" -> \"2s\"\n");
    EXPECT_EQ(run("config diff --json a d").out,
              "[{\"change\":\"changed\",\"entry\":\"route\",\"name\":\"r\",\"field\":\"refuse.pause\","
              "\"before\":\"\\\"1s\\\"\",\"after\":\"\\\"2s\\\"\"}]\n");
    EXPECT_EQ(run("config diff a broken").code, 2);
}

TEST_F(Commands, ShowAndExplainNameTheirSources) {
    write("a", good + "limit { name: \"l\" rate: \"2/s\" }\n");
    write("wide", good + "limit { name: \"l\" match { destination: \"70000\" } rate: \"2/s\" }\n");
    EXPECT_NE(
        run("config explain wide --tenant t --class c --dest 70000").out.find("limit \"l\" (wide:7:1): rate"),
        std::string::npos);
    EXPECT_EQ(
        run("config explain wide --tenant t --class c --dest 4464").out.find("limit \"l\" (wide:7:1): rate"),
        std::string::npos);
    EXPECT_EQ(run("config explain wide --tenant t --class c --dest 4294967295").code, 0);
    for (const char* const beyond : {"4294967296", "4295037296", "1-2", "momo*", "''"})
        EXPECT_EQ(run(std::string("config explain wide --tenant t --class c --dest ") + beyond).code, 2)
            << beyond;
    EXPECT_NE(run("config show a").out.find("pause: \"1s\"  # a:4:12"), std::string::npos)
        << run("config show a").out;
    const auto why = run("config explain a --tenant t --class c --dest 5");
    EXPECT_EQ(why.code, 0);
    EXPECT_TRUE(
        why.out.starts_with("route \"r\" (a:1:1): refused, pause 1s\nlimit \"l\" (a:7:1): rate 2/s\n"))
        << why.out;
}

// A store with some messages, half of them over, as a dispatcher that was killed leaves it.
void fill_store(const std::string& folder) {
    fs::create_directory(folder);
    const auto files = store::files_in(folder);
    store::Options options;
    options.budget = 1 << 20;
    options.segment = 4096;
    options.keyspaces = dispatch::ledger_keyspaces();
    store::Store store(*files, options);
    store::Report report;
    ASSERT_EQ(store.open(1, report), store::Fault::none);
    for (MessageId id = 1; id <= 60; ++id) {
        dispatch::Owed m;
        m.id = id;
        m.name = "m" + std::to_string(id);
        m.due_wall = 1e12;
        m.body = std::make_shared<const std::string>(std::string(200, 'b'));
        store::Batch batch;
        dispatch::Messages::put(batch, id, m, 1);
        ASSERT_TRUE(store.write(batch));
        if (id % 2 == 0) {
            store::Batch over;
            dispatch::Messages::erase(over, id);
            ASSERT_TRUE(store.write(over));
        }
    }
}

TEST_F(Commands, StoreLooksChecksAndCompacts) {
    fill_store(folder_ + "/state");
    const auto stats = run("store stats state");
    EXPECT_EQ(stats.code, 0);
    EXPECT_NE(stats.out.find("message                    30"), std::string::npos) << stats.out;
    EXPECT_EQ(run("store verify state").code, 0);
    const auto dump = run("store dump state --keyspace message");
    EXPECT_EQ(std::count(dump.out.begin(), dump.out.end(), '\n'), 30);
    EXPECT_TRUE(dump.out.starts_with("{\"keyspace\":\"message\",\"key\":1,")) << dump.out;
    EXPECT_EQ(dump.out.find("value"), std::string::npos);
    EXPECT_NE(run("store dump state --values").out.find("\"value_hex\":\""), std::string::npos);
    const auto owed = run("journal state");
    EXPECT_NE(owed.out.find("30 messages"), std::string::npos) << owed.out;
    EXPECT_EQ(run("store compact state").code, 2);
    const auto compacted = run("store compact state --disk-mb 1");
    EXPECT_EQ(compacted.code, 0) << compacted.out;
    EXPECT_NE(run("store stats state").out.find("message                    30"), std::string::npos);
    EXPECT_NE(run("store stats nowhere").code, 0);
    EXPECT_EQ(run("store chek state").code, 2);
    EXPECT_EQ(run("store --help").code, 0);
}

TEST_F(Commands, StoreCopiesAndRestoresOnlyWhatIsWhole) {
    fill_store(folder_ + "/state");
    fs::create_directory(folder_ + "/copy");
    fs::create_directory(folder_ + "/back");
    EXPECT_EQ(run("store snapshot state copy").code, 0);
    EXPECT_NE(run("store snapshot state copy").code, 0);  // there is one already
    EXPECT_EQ(run("store verify copy").code, 0);
    EXPECT_NE(run("store restore copy state").code, 0);  // a store is there
    EXPECT_EQ(run("store restore copy back").code, 0);
    EXPECT_NE(run("journal back").out.find("30 messages"), std::string::npos);
    {
        std::fstream file(folder_ + "/copy/seg.00000001", std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(500);
        file.put('!');
    }
    fs::create_directory(folder_ + "/third");
    const auto verified = run("store verify copy");
    EXPECT_EQ(verified.code, 1);
    EXPECT_NE(verified.out.find("seg.00000001 is not as it was taken"), std::string::npos) << verified.out;
    EXPECT_NE(run("store restore copy third").code, 0);
    // And a store that is damaged is told, not copied.
    fs::copy_file(folder_ + "/copy/seg.00000001", folder_ + "/back/seg.00000001",
                  fs::copy_options::overwrite_existing);
    EXPECT_EQ(run("store verify back").code, 1);
    EXPECT_NE(run("store snapshot back third").code, 0);
}

}  // namespace
}  // namespace brasslift::test
