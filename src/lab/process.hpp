// Real dispatchers as children: started, signalled, reaped. Only processes that were started here are
// touched.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace brasslift::lab {

class Process {
public:
    Process() = default;
    ~Process();
    Process(Process&& other) noexcept;
    Process& operator=(Process&& other) noexcept;

    // False: it cannot be forked. Standard error goes to the file, behind what is there.
    bool start(const std::vector<std::string>& words, const std::map<std::string, std::string>& environment,
               const std::string& log,
               std::uint64_t most_file_bytes = 0);  // of any file it writes; 0: as it is
    // From its next start on it is killed where the thread that started it ends first, however that ends.
    void end_with_parent() { ends_with_parent_ = true; }
    bool running();  // reaps one that has ended
    void signal(int number);
    void kill();                             // and waits for its end
    int exit_code() const { return exit_; }  // of the last end; less the signal's number, if one ended it
    pid_t id() const { return id_; }

private:
    void ended(int status);
    pid_t id_ = 0;
    int exit_ = 0;
    bool ends_with_parent_ = false;
};

// Waits for the end of one command and answers its exit code; -1: it cannot be run.
int run_command(const std::vector<std::string>& words, const std::map<std::string, std::string>& environment);

}  // namespace brasslift::lab
