#include "rig/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

namespace myrtleroute::rig {

pid_t start(const Start& what) {
    // All that allocates comes before the fork.
    std::vector<char*> words;
    for (const auto& word : what.words) words.push_back(const_cast<char*>(word.c_str()));
    words.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    // Ends with its parent, also where that was killed; one that has gone already is not waited for.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::setpgid(0, 0);   // an interrupt at the terminal is the conductor's to act on
    for (const int number : {SIGPIPE, SIGTERM, SIGINT, SIGHUP, SIGUSR1}) ::signal(number, SIG_DFL);
    const int null = ::open("/dev/null", O_RDONLY);
    ::dup2(null, 0);
    if (!what.output.empty()) {
        const int out = ::open(what.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (out < 0) ::_exit(127);
        ::dup2(out, 1);
        ::dup2(out, 2);
    }
    if (what.control >= 0) {
        if (what.control == 3) ::fcntl(3, F_SETFD, 0);
        else ::dup2(what.control, 3);
    }
    if (what.descriptors) {
        const rlimit most{what.descriptors, what.descriptors};
        ::setrlimit(RLIMIT_NOFILE, &most);
    }
    for (const auto& [name, value] : what.variables) ::setenv(name.c_str(), value.c_str(), 1);
    // Nothing else that this process has open goes along.
    for (int fd = what.control >= 0 ? 4 : 3; fd < 1024; ++fd) ::fcntl(fd, F_SETFD, FD_CLOEXEC);
    ::execvp(words[0], words.data());
    ::_exit(127);
}

Ended next_ended() {
    Ended e;
    int status = 0;
    rusage used{};
    e.pid = ::wait4(-1, &status, WNOHANG, &used);
    if (e.pid <= 0) return {};
    e.by_signal = WIFSIGNALED(status);
    e.code = e.by_signal ? WTERMSIG(status) : WEXITSTATUS(status);
    e.cpu = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
            static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
    e.most_memory = used.ru_maxrss;
    return e;
}

}  // namespace myrtleroute::rig
