#include "rig/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

namespace myrtleroute::rig {

pid_t spawn(const ProcessOptions& what) {
    // All allocation happens before the fork.
    std::vector<char*> words;
    for (const auto& word : what.arguments) words.push_back(const_cast<char*>(word.c_str()));
    words.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    // The child is killed with its parent, also if that is killed; a parent that has exited before this call is detected by its id.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::setpgid(0, 0);   // so that an interrupt at the terminal reaches only the conductor
    for (const int number : {SIGPIPE, SIGTERM, SIGINT, SIGHUP, SIGUSR1}) ::signal(number, SIG_DFL);
    const int null = ::open("/dev/null", O_RDONLY);
    ::dup2(null, 0);
    if (!what.output.empty()) {
        const int out = ::open(what.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (out < 0) ::_exit(127);
        ::dup2(out, 1);
        ::dup2(out, 2);
    }
    if (what.control_fd >= 0) {
        if (what.control_fd == 3) ::fcntl(3, F_SETFD, 0);
        else ::dup2(what.control_fd, 3);
    }
    if (what.max_descriptors) {
        const rlimit most{what.max_descriptors, what.max_descriptors};
        ::setrlimit(RLIMIT_NOFILE, &most);
    }
    for (const auto& [name, value] : what.environment) ::setenv(name.c_str(), value.c_str(), 1);
    // The child inherits no other descriptor.
    ::close_range(what.control_fd >= 0 ? 4 : 3, ~0U, CLOSE_RANGE_CLOEXEC);
    ::execvp(words[0], words.data());
    ::_exit(127);
}

ProcessExit next_exit() {
    ProcessExit e;
    int status = 0;
    rusage used{};
    e.pid = ::wait4(-1, &status, WNOHANG, &used);
    if (e.pid <= 0) return {};
    e.by_signal = WIFSIGNALED(status);
    e.code = e.by_signal ? WTERMSIG(status) : WEXITSTATUS(status);
    e.cpu = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
            static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
    e.max_memory = used.ru_maxrss;
    return e;
}

}  // namespace myrtleroute::rig
