#include "roles/log.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace myrtleroute {
namespace {

bool enabled_levels[] = {false, true, true, true};

}   // namespace

void start_log(int, const char* const*, const std::string& level) {
    constexpr const char* names[] = {"debug", "info", "warning", "error"};
    bool enabled = false;
    for (size_t i = 0; i < std::size(names); ++i) {
        enabled = enabled || level == names[i];
        enabled_levels[i] = enabled;
    }
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

LogLine::~LogLine() {
    if (!enabled_levels[static_cast<size_t>(level_)]) return;
    switch (level_) {
        case Level::debug: LOG(DEBUG) << text_.str(); break;
        case Level::info: LOG(INFO) << text_.str(); break;
        case Level::warning: LOG(WARNING) << text_.str(); break;
        case Level::error: LOG(ERROR) << text_.str(); break;
    }
}

}   // namespace myrtleroute
