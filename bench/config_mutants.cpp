// Seeded mutants of the files of a folder through the checker: it must end each of them, soon and without a
// crash. config_mutants FOLDER [COUNT [SEED]]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "lang/load.hpp"
#include "lang/tree.hpp"

namespace {

using namespace brasslift;

class One : public lang::Files {
public:
    explicit One(const std::string& text) : text_(text) {}
    std::variant<std::string, Failure> find(const std::string& path) const override { return "/" + path; }
    std::variant<std::string, Failure> read(const std::string& path, std::size_t) const override {
        if (path != "/f") return Failure{"there is no such file"};
        return text_;
    }

private:
    const std::string& text_;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc < 2) return std::fprintf(stderr, "usage: config_mutants FOLDER [COUNT [SEED]]\n"), 2;
    const int count = argc > 2 ? std::atoi(argv[2]) : 100000;
    std::mt19937_64 random(argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1);
    std::vector<std::string> seeds;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(argv[1])) {
        if (!entry.is_regular_file()) continue;
        std::ifstream in(entry.path(), std::ios::binary);
        seeds.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    if (seeds.empty()) return std::fprintf(stderr, "config_mutants: no files in %s\n", argv[1]), 2;
    int sound = 0, unstable = 0;
    double longest = 0;
    const auto now = [] {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
    };
    const double start = now();
    for (int i = 0; i < count; ++i) {
        auto text = seeds[random() % seeds.size()];
        for (auto n = 1 + random() % 8; n > 0 && !text.empty(); --n) {
            const auto at = random() % text.size();
            const auto& other = seeds[random() % seeds.size()];
            switch (random() % 7) {
                case 0: text[at] = static_cast<char>(random()); break;
                case 1: text.erase(at, 1 + random() % 30); break;
                case 2: text.insert(at, text.substr(random() % text.size(), random() % 60)); break;
                case 3: text.insert(at, 1, "{}[]<>:,;-\"#\\"[random() % 13]); break;
                case 4: text.insert(at, std::to_string(random())); break;
                case 5: text.insert(at, other.substr(0, random() % (other.size() + 1))); break;
                default: text.resize(at);
            }
        }
        const double begun = now();
        lang::Document document;
        lang::Findings findings;
        lang::read("f", One(text), document, findings);
        lang::compile(document, nullptr, findings);
        longest = std::max(longest, now() - begun);
        if (findings.any_errors()) continue;
        ++sound;
        lang::Findings none;
        const auto tree = lang::read_tree("f", text, none);
        const auto once = lang::format(tree);
        const auto again = lang::read_tree("f", once, none);
        if (lang::format(again) != once || none.any_errors()) ++unstable;
    }
    std::printf(
        "%d mutants in %.1f s, %d without errors, longest %.1f ms, %d whose layout is no fixed point\n",
        count, (now() - start) / 1000, sound, longest, unstable);
    return unstable == 0 ? 0 : 1;
}
