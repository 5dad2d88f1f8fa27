// Starts child processes and collects their exit: each child is killed when its parent ends, for whatever reason.
#pragma once
#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace myrtleroute::rig {

struct ProcessOptions {
    std::vector<std::string> arguments;                            // program (looked up in PATH) and arguments
    std::vector<std::pair<std::string, std::string>> environment; // added to the environment
    std::string output;                                        // file to which stdout and stderr are appended
    int control_fd = -1;                                          // becomes descriptor 3; below 0: none
    size_t max_descriptors = 0;                                    // RLIMIT_NOFILE; 0: as this process
};

// Returns the child's process id, or below 0 with errno set if the fork fails. Exit status 127: the program can't be run.
pid_t spawn(const ProcessOptions& what);

struct ProcessExit {
    pid_t pid = 0;
    bool by_signal = false;
    int code = 0;             // exit status, or the signal
    double cpu = 0;           // user and system time, seconds
    long max_memory = 0;     // peak resident set, KiB
};
// Collects one exited child without waiting; pid 0: none has exited.
ProcessExit next_exit();

}  // namespace myrtleroute::rig
