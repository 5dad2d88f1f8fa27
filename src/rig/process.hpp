// Starting and ending processes of other programs: each is ended with the one that started it, however that ends.
#pragma once
#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace myrtleroute::rig {

struct Start {
    std::vector<std::string> words;                            // program and arguments
    std::vector<std::pair<std::string, std::string>> variables; // added to the environment
    std::string output;                                        // a file that takes both outputs; appended
    int control = -1;                                          // becomes descriptor 3
    size_t descriptors = 0;                                    // that it may have; 0: as many as this one
};

// The process's id; below 0 with errno where the system has none to give. A program that can't be run ends with 127.
pid_t start(const Start& what);

struct Ended {
    pid_t pid = 0;
    bool by_signal = false;
    int code = 0;             // or the signal
    double cpu = 0;           // seconds
    long most_memory = 0;     // KiB
};
// Whichever has ended; pid 0: none has.
Ended next_ended();

}  // namespace myrtleroute::rig
