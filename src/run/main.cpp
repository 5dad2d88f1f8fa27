#include <cstdlib>
#include <iostream>

#include "run/proxy.hpp"

int main() {
    using namespace myrtleroute::run;
    try {
        return Proxy(read_config([](const char* name) -> const char* { return std::getenv(name); })).run();
    } catch (const std::exception& trouble) {
        std::cerr << "myrtleroute: " << trouble.what() << '\n';
        return 1;
    }
}
