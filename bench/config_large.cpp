// Prints the large file that the benchmarks read. config_large [ROUTES [POOLS]]
#include <cstdio>
#include <cstdlib>

#include "config_files.hpp"

int main(int argc, char** argv) {
    const int routes = argc > 1 ? std::atoi(argv[1]) : 10000, pools = argc > 2 ? std::atoi(argv[2]) : 1000;
    if (routes < 1 || pools < 1) return std::fprintf(stderr, "usage: config_large [ROUTES [POOLS]]\n"), 2;
    return std::fputs(brasslift::bench::large(routes, pools).c_str(), stdout) < 0 ? 1 : 0;
}
