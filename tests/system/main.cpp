// Runs the tests with checks of the program's invariants that throw.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "base/invariants.hpp"

int main(int argc, char** argv) {
    myrtleroute::throw_on_violations = true;
    return doctest::Context(argc, argv).run();
}
