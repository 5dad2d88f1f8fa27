// Serves the proxy's figures over HTTP, on the proxy's loop, at a port of their own.
//
// A connection carries one request. A few connections are held at a time, each for a few seconds at most, so that
// nothing that reads figures can take room from clients.
#pragma once
#include <functional>
#include <string>

#include "memory/connection.hpp"
#include "roles/proxy/context.hpp"

namespace myrtleroute::proxy {

class MetricsListener : public memory::ConnectionHandler {
public:
    // `render` gives the text of the figures as they are now.
    MetricsListener(Context& context, std::function<std::string()> render)
        : context_(context), render_(std::move(render)) {}

    // Listens where the settings say, or nowhere where they say nothing. A port that can't be listened at is logged.
    void open();
    void close();   // takes no more connections; those that are open end as they would

    void on_readable(memory::Connection& connection) override;
    void on_written(memory::Connection& connection) override;
    void on_error(memory::Connection& connection, int error) override;
    void on_timer(memory::Connection& connection) override;

private:
    struct Reader;
    struct Scrape;
    void accept();
    void read(Scrape& scrape);
    void answer(Scrape& scrape);
    void end(Scrape& scrape, memory::CloseReason why);

    Context& context_;
    std::function<std::string()> render_;
    memory::Connection* listener_ = nullptr;
    size_t open_ = 0;   // connections
};

}   // namespace myrtleroute::proxy
