// brasslift-hollow OPERATORS-FILE FOLDER DOWN-SINCE NAME...: hollow members in a process of their own; writes
// the address at which it tells of them into FOLDER/address. Runs until it is ended. Exit: 1 a member cannot
// begin, 2 misused.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>

#include "lab/hollow_members.hpp"

int main(int argc, char** argv) {
    if (argc < 4) {
        std::fprintf(stderr, "brasslift-hollow: OPERATORS-FILE FOLDER DOWN-SINCE NAME...\n");
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    try {
        brasslift::runtime::Scheduler scheduler;
        const std::string folder = argv[2];
        const brasslift::lab::HollowMembers hollow(scheduler, argv[1], folder, {argv + 4, argv + argc},
                                                   std::atof(argv[3]));
        // Whole or not there.
        std::ofstream(folder + "/address.new") << brasslift::lab::local_text(hollow.port()) << '\n';
        std::filesystem::rename(folder + "/address.new", folder + "/address");
        scheduler.run();
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "brasslift-hollow: %s\n", fault.what());
        return 1;
    }
    return 0;
}
