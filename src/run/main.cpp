#include <iostream>

#include "run/posix_home.hpp"
#include "run/proxy.hpp"

int main() {
    using namespace myrtleroute::run;
    try {
        PosixHome home;
        return Proxy(read_config(home, [&](const char* name) { return home.variable(name); }), home).run();
    } catch (const std::exception& trouble) {
        std::cerr << "myrtleroute: " << trouble.what() << '\n';
        return 1;
    }
}
