#include <iostream>

#include "run/posix_system.hpp"
#include "run/proxy.hpp"

int main() {
    using namespace myrtleroute::run;
    try {
        PosixSystem system;
        return Proxy(read_config(system, [&](const char* name) { return system.environment_variable(name); }), system)
            .run();
    } catch (const std::exception& trouble) {
        std::cerr << "myrtleroute: " << trouble.what() << '\n';
        return 1;
    }
}
