// The commands on configurations, as a shell sees them: what they print and how they end.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

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
    EXPECT_NE(run("config show a").out.find("pause: \"1s\"  # a:4:12"), std::string::npos)
        << run("config show a").out;
    const auto why = run("config explain a --tenant t --class c --dest 5");
    EXPECT_EQ(why.code, 0);
    EXPECT_TRUE(
        why.out.starts_with("route \"r\" (a:1:1): refused, pause 1s\nlimit \"l\" (a:7:1): rate 2/s\n"))
        << why.out;
}

}  // namespace
}  // namespace brasslift::test
