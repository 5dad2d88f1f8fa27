// The body that a host stand-in makes for one run: every line names the run's stamp, so that two runs never have the
// same bytes.
#pragma once
#include <cstdio>
#include <string>

namespace standin {

inline std::string body_of(const std::string& stamp, size_t bytes) {
    std::string body;
    body.reserve(bytes + 64);
    char number[16];
    for (unsigned line = 0; body.size() < bytes; ++line) {
        std::snprintf(number, sizeof number, " %08u\n", line);
        body += stamp + number;
    }
    body.resize(bytes);
    return body;
}

}   // namespace standin
