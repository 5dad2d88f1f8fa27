// Serves the proxy's metrics over HTTP on a port of their own, from the proxy's event loop.
//
// Each connection carries one request. Few connections are open at a time, each for a few seconds at most, so that
// scrapers can't take connections from clients.
#pragma once
#include <functional>
#include <string>

#include "memory/connection.hpp"
#include "roles/proxy/context.hpp"

namespace myrtleroute::proxy {

class MetricsListener : public memory::ConnectionHandler {
public:
    // `render` returns the current metrics as text.
    MetricsListener(Context& context, std::function<std::string()> render)
        : context_(context), render_(std::move(render)) {}

    // Listens at the address in the settings, if there is one. A failure to listen is logged.
    void open();
    void close();   // accepts no more connections; open ones finish

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
    size_t open_ = 0;   // open connections
};

}   // namespace myrtleroute::proxy
