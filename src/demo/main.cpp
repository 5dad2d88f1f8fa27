// Starts a small fleet on loopback with simulated hosts and serves one streamed response: three control nodes, two
// proxies and a configuration. Exit status: 0 the response was complete, 1 it was not, 2 invalid command line.
#include <tclap/CmdLine.h>

#include <signal.h>
#include <stdlib.h>

#include <filesystem>
#include <iostream>
#include <memory>
#include <stdexcept>

#include "soak/clients.hpp"
#include "soak/fleet.hpp"
#include "soak/event_stream_check.hpp"
#include "soak/hosts.hpp"
#include "soak/operator.hpp"
#include "soak/timing.hpp"

namespace {

using namespace myrtleroute;
using namespace myrtleroute::soak;
namespace fs = std::filesystem;

constexpr int success = 0, failed = 1, usage_error = 2;
constexpr size_t control_nodes = 3, proxies = 2, hosts = 2;
constexpr uint16_t host_port = 9000;
constexpr double tick_interval = 0.02, retry_delay = 0.2, timeout = 30;   // seconds
constexpr uint64_t version = 1;

// A temporary directory for settings, logs and data, removed by the destructor.
class TemporaryDirectory {
public:
    TemporaryDirectory() {
        std::string name = (fs::temp_directory_path() / "myrtleroute-demo-XXXXXX").string();
        if (!::mkdtemp(name.data())) throw std::runtime_error("can't create a temporary directory");
        path_ = name;
    }
    ~TemporaryDirectory() {
        std::error_code ignored;
        fs::remove_all(path_, ignored);
    }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
    std::string path() const { return path_.string(); }

private:
    fs::path path_;
};

class Demo {
public:
    Demo(const std::string& program, bool keep_running)
        : block_(context_),
          addresses_(block_.number(), control_nodes, false),
          fleet_(options(program), addresses_, [this](const std::string& what) { fail(what); }),
          keep_running_(keep_running) {
        for (size_t number = 0; number < hosts; ++number) add_host(number);
    }

    int run() {
        signals_.async_wait([this](asio::error_code error, int) {
            if (!error) context_.stop();
        });
        fleet_.start();
        for (size_t machine = 0; machine < control_nodes; ++machine)
            std::cout << "control node  http://" << addresses_.control(machine).text() << '\n';
        for (size_t machine = 0; machine < proxies; ++machine)
            std::cout << "proxy         http://" << front_address(machine).text() << '\n';
        std::cout << "host          " << addresses_.host(0) << " and " << hosts - 1 << " more" << std::endl;
        began_ = std::chrono::steady_clock::now();
        tick();
        configure(0);
        context_.run();
        fleet_.kill_all();
        return status_;
    }

private:
    FleetOptions options(const std::string& program) const {
        FleetOptions options;
        options.program = program;
        options.directory = directory_.path();
        options.size = {control_nodes, proxies};
        return options;
    }

    void add_host(size_t number) {
        HostOptions host;
        host.id = "i-model-" + std::to_string(number);
        host.service = "model";
        host.zone = "zone-" + std::to_string(number % 2);
        host.streams = true;
        host.address = {addresses_.host(number), host_port};
        host.seed = number + 1;
        for (size_t machine = 0; machine < control_nodes; ++machine)
            host.controls.push_back(addresses_.control(machine));
        hosts_.push_back(
            std::make_unique<Host>(context_, std::move(host),
                                   HostEvents{[](const std::string&, const std::string&) {}, [] { return false; },
                                              [] {
                                                  return false;
                                              }}));
    }

    Endpoint front_address(size_t machine) const { return {addresses_.machine(machine), Addresses::front_port}; }

    double now() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count(); }

    void tick() {
        fleet_.tick(now());
        if (now() > timeout && !served_) fail("no response was served in time");
        after(timer_, tick_interval, [this] { tick(); });
    }

    void fail(const std::string& why) {
        std::cout << "failed: " << why << std::endl;
        status_ = failed;
        context_.stop();
    }

    // Sends the configuration to one control node after the other, until the leader accepts it.
    void configure(size_t tries) {
        Limits limits;
        for (const auto& tenant : tenants()) limits[tenant.name] = tenant.limit;
        const auto to = addresses_.control(tries % control_nodes);
        const auto text = request_text("PUT", "/config", to.text(), {{"If-Match", "0"}, {"Connection", "close"}},
                                       configuration_text(version, limits));
        start_call(context_, {to, text, Span{1}, {}, [this, tries](const HttpReply& reply) {
                                  if (reply.status == 200) {
                                      std::cout << "configuration " << version << " is acknowledged" << std::endl;
                                      return request_ready();
                                  }
                                  after(retry_, retry_delay, [this, tries] { configure(tries + 1); });
                              }});
    }

    void request_ready() {
        const Endpoint to{addresses_.machine(0), Addresses::ready_port};
        const auto text = request_text("GET", "/ready", to.text(), {{"Connection", "close"}}, "");
        start_call(context_, {to, text, Span{1}, {}, [this](const HttpReply& reply) {
                                  if (reply.status == 200) return send_request();
                                  after(retry_, retry_delay, [this] { request_ready(); });
                              }});
    }

    void send_request() {
        const auto text = request_text("POST", "/stream/greeting", route_host,
                                       {{"Authorization", "Token " + tenants().front().key},
                                        {"X-Request-Id", request_id},
                                        {"X-Deadline-Ms", "5000"},
                                        {"X-Token-Count", "20,40"},
                                        {"Connection", "close"}},
                                       "a prompt");
        start_call(context_, {front_address(0), text, Span{6}, {}, [this](const HttpReply& reply) {
                                  // The proxy may not know the hosts yet, or may have no lease for the tenant.
                                  if (reply.status == 429 || reply.status == 503)
                                      return after(retry_, retry_delay, [this] { send_request(); });
                                  print_response(reply);
                              }});
    }

    void print_response(const HttpReply& reply) {
        served_ = true;
        const auto signature = field_of(reply.fields, "X-Server-Signature");
        std::cout << "POST /stream/greeting: " << reply.status << ", by " << signature << '\n'
                  << reply.body << std::flush;
        const auto stream = check_stream(reply.body, {request_id, signature, false, 0}, true);
        if (reply.status != 200 || !stream.violation.empty()) return fail("the response is incomplete");
        if (!keep_running_) return context_.stop();
        std::cout << "The fleet runs until Ctrl-C. Tenants have keys: Authorization: Token " << tenants().front().key
                  << std::endl;
    }

    static constexpr const char* request_id = "greeting-1";

    TemporaryDirectory directory_;
    asio::io_context context_;
    AddressBlock block_;
    Addresses addresses_;
    Fleet fleet_;
    std::vector<std::unique_ptr<Host>> hosts_;
    asio::steady_timer timer_{context_}, retry_{context_};
    asio::signal_set signals_{context_, SIGINT, SIGTERM};
    std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
    bool keep_running_ = false, served_ = false;
    int status_ = success;
};

}   // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("Starts a small router fleet on loopback and has it serve one streamed answer.", ' ',
                               "1.0.0");
        TCLAP::ValueArg<std::string> program("", "program", "Path of myrtlerouted.", true, "", "path", command);
        TCLAP::SwitchArg stay("", "stay", "Leave the fleet running until Ctrl-C.", command);
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        return Demo(fs::absolute(program.getValue()).string(), stay.getValue()).run();
    } catch (const TCLAP::ExitException& asked) {
        return asked.getExitStatus();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << fault.argId() << ": " << fault.error() << '\n';
        return usage_error;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return usage_error;
    }
}
