// Reads a whole list of discovery's as it streams: list_bench [HOSTS [BYTES A READ]]. Prints its size, the
// time of the thread, and the longest single read.
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster/list_reader.hpp"

namespace {

using namespace brasslift;

double thread_ms() {
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

struct Counted : cluster::ListSink {
    std::size_t lines = 0, ends = 0;
    void begin(const cluster::ListHead&) override {}
    void line(cluster::News::Line&&) override { ++lines; }
    void end() override { ++ends; }
    void cut(std::string_view) override {}
};

}  // namespace

int main(int argc, char** argv) {
    const auto hosts = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 420000;
    const auto part = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 16384;
    config::Config config;
    config.zones = {"az-1", "az-2", "az-3", "az-4", "az-5"};
    config.kinds = {"standard", "large"};
    std::string text = "{\"rev\":1,\"all\":true,\"targets\":[";
    for (unsigned long i = 0; i < hosts; ++i) {
        char one[256];
        std::snprintf(one, sizeof one,
                      "%s{\"uid\":\"host-%08lx-%lu\",\"endpoint\":\"10.%lu.%lu.%lu:8080\",\"pod_group\":%lu,"
                      "\"az\":\"az-%lu\",\"model\":\"standard\",\"state\":\"Ready\",\"capacity_hint\":12.5}",
                      i > 0 ? "," : "", i * 2654435761UL % 0xffffffffUL, i, i >> 16 & 255, i >> 8 & 255,
                      i & 255, i % 60000, i % 5 + 1);
        text += one;
    }
    text += "]}\n";
    Counted counted;
    cluster::ListReader reader(config, {}, counted);
    double total = 0, longest = 0;
    for (std::string_view rest = text; !rest.empty(); rest.remove_prefix(std::min(part, rest.size()))) {
        const double from = thread_ms();
        if (!reader.feed(rest.substr(0, part))) return std::printf("%s\n", reader.fault().c_str()), 1;
        const double took = thread_ms() - from;
        total += took;
        longest = std::max(longest, took);
    }
    const double mb = static_cast<double>(text.size()) / 1e6;
    std::printf("%zu entries, %.1f MB, %.0f ms, %.0f MB/s, longest read %.2f ms, %zu lists\n", counted.lines,
                mb, total, mb / total * 1e3, longest, counted.ends);
}
