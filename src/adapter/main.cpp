#include <iostream>

#include "wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        myrtleroute::serve(std::cin, std::cout);
    } catch (const std::exception& trouble) {
        std::cerr << "myrtleroute_adapter: " << trouble.what() << '\n';
        return 1;
    }
}
