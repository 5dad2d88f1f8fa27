#include "roles/control/runtime.hpp"

#include <asio.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <thread>

#include "roles/control/disk_writer.hpp"
#include "roles/control/http_api.hpp"
#include "roles/control/metrics_server.hpp"
#include "roles/control/node.hpp"
#include "roles/control/peer_network.hpp"
#include "roles/control/replica_status_log.hpp"
#include "roles/control/start.hpp"
#include "roles/control/work_report.hpp"
#include "roles/log.hpp"
#include "storage/posix_files.hpp"

namespace myrtleroute::control {
namespace {

constexpr std::chrono::milliseconds tick_interval{100}, shutdown_check_interval{400}, disk_open_retry{200};
// For others to store what this node holds; at most a third of the termination grace period.
constexpr Span shutdown_timeout{2.5};
constexpr size_t ring_files = 3;
constexpr int exit_startup_error = 2;

Time at(std::chrono::steady_clock::time_point moment) {
    return {std::chrono::duration<double>(moment.time_since_epoch()).count()};
}
Time now() { return at(std::chrono::steady_clock::now()); }

uint64_t random_number() {
    std::random_device source;
    return (static_cast<uint64_t>(source()) << 32 | source()) >> 1;
}

class Runtime {
public:
    explicit Runtime(const configuration::NodeSettings& settings)
        : settings_(settings),
          signals_(context_, SIGTERM, SIGINT, SIGHUP),
          timer_(context_),
          network_(context_, {[this](ConnectionId connection, const messages::Message& message,
                                     std::chrono::steady_clock::time_point began) {
                                  node_->received(connection, message, now());
                                  dispatch_outputs();
                                  work_.record(work_kind(message), now() - at(began));
                              },
                              [this](ConnectionId connection) { node_->connection_closed(connection, now()); },
                              [this](const Endpoint& peer) {
                                  node_->connected(peer, now());
                                  dispatch_outputs();
                              }}) {}

    int run() {
        if (const int code = start()) return code;
        wait_for_signal();
        tick();
        context_.run();
        return exit_code_;
    }

private:
    int start() {
        storage::Recovered found;
        if (!settings_.data_directory.empty() && !open_disk(found)) return exit_startup_error;
        if (found.damaged)
            log_error() << "dataDir: " << settings_.data_directory
                        << ": synced records can't be read; this node joins as a new replica";
        node_ = std::make_unique<Node>(node_options(settings_, random_number()),
                                       stored_state(found, settings_, random_number()), now());
        const auto at = peer_endpoint(settings_, settings_.address);
        try {
            network_.listen(at);
        } catch (const asio::system_error& error) {
            log_error() << "internalPorts: can't listen at " << at.text() << ": " << error.code().message();
            return exit_startup_error;
        }
        http_ = std::make_unique<HttpApi>(
            context_, *settings_.control,
            [this](const HttpRequest& request) {
                if (request.method == "PUT" && request.path == "/config")
                    logged_requests_[request.number] = "configuration based on version " + request.if_match;
                if (request.method == "POST") logged_requests_[request.number] = "POST " + request.path;
                const auto began = now();
                node_->request(request, began);
                dispatch_outputs();
                work_.record(WorkKind::requests, now() - began);
            },
            [this](const std::string& reason) {
                log_error() << "listen.control: can't listen at " << settings_.control->text() << ": " << reason;
                exit_code_ = exit_startup_error;
                context_.stop();
            });
        if (settings_.metrics) serve_metrics();
        log_info() << "control node " << settings_.node_name << " starts as " << node_->replica().self().text();
        return 0;
    }

    void serve_metrics() {
        const Endpoint at{settings_.address, settings_.metrics->port};
        const auto render = [this] {
            auto state = node_->state(now());
            state.bounds.queued_bytes = network_.slow_readers();
            node_metrics_.update(state);
            return registry_.render();
        };
        metrics_server_ = std::make_unique<MetricsServer>(
            context_, at, settings_.metrics->path, render, [at](const std::string& reason) {
                log_error() << "metrics: can't listen at " << at.text() << ": " << reason;
            });
    }

    bool open_disk(storage::Recovered& found) {
        for (;;) {
            auto opened = storage::open_files(settings_.data_directory, ring_files, storage::RingOptions{}.file_bytes);
            if (auto* files = std::get_if<0>(&opened)) {
                storage::RecordRing ring(std::move(*files), {});
                found = ring.recover();
                disk_ = std::make_unique<DiskWriter>(std::move(ring), [this](uint64_t number) {
                    asio::post(context_, [this, number] { persisted(number); });
                });
                return true;
            }
            const auto& error = std::get<storage::FileError>(opened);
            log_error() << "dataDir: " << error.finding.location << ": " << error.finding.message;
            if (!error.transient) return false;
            std::this_thread::sleep_for(disk_open_retry);
        }
    }

    void persisted(uint64_t number) {
        const auto began = now();
        node_->persisted(number, began);
        dispatch_outputs();
        work_.record(WorkKind::writes, now() - began);
    }

    void dispatch_outputs() {
        for (auto& output : node_->take_outputs()) {
            if (const auto* peer = std::get_if<SendToPeer>(&output))
                network_.send(peer->peer, peer->message);
            else if (const auto* connection = std::get_if<SendToConnection>(&output))
                network_.send(connection->connection, connection->message);
            else if (const auto* response = std::get_if<HttpResponse>(&output))
                respond(*response);
            else
                write(std::get<Write>(std::move(output)));
        }
    }

    // Logs the operator's requests, which are few; heartbeats are frequent and not logged.
    void respond(const HttpResponse& response) {
        const auto order = logged_requests_.extract(response.request);
        if (!order.empty())
            log_info() << order.mapped() << ": " << response.status << ' '
                       << (response.status == 200      ? ""
                           : response.location.empty() ? response.body
                                                       : response.location);
        http_->respond(response);
    }

    // A machine without a disk keeps its state only in memory, for the lifetime of the process.
    void write(Write write) {
        if (disk_) return disk_->write(std::move(write));
        asio::post(context_, [this, number = write.number] { persisted(number); });
    }

    void tick() {
        const auto began = now();
        if (const auto line = work_.tick(began, Span{std::chrono::duration<double>(tick_interval).count()}))
            log_info() << *line;
        node_->tick(began);
        dispatch_outputs();
        network_.keep_connected(node_->peers());
        for (const auto& line : node_->take_log()) log_info() << line;
        for (const auto& line :
             status_log_.changes(replica_status(node_->replica(), node_->lease_service().grants_leases(), began)))
            log_info() << line;
        work_.record(WorkKind::ticks, now() - began);
        timer_.expires_after(tick_interval);
        timer_.async_wait([this](asio::error_code error) {
            if (!error) tick();
        });
    }

    void wait_for_signal() {
        signals_.async_wait([this](asio::error_code error, int number) {
            if (error) return;
            if (number == SIGHUP) return wait_for_signal();   // the control role has no settings to reload
            shutdown_deadline_ = now() + std::min(shutdown_timeout, settings_.termination_grace * (1.0 / 3));
            shut_down();
        });
    }

    // Hands over leadership first, then waits until others have stored the state: what only this disk holds might be
    // lost.
    void shut_down() {
        node_->start_shutdown(now());
        dispatch_outputs();
        shutdown_timer_.expires_after(shutdown_check_interval);
        shutdown_timer_.async_wait([this](asio::error_code) {
            if (node_->may_shut_down() || now() >= shutdown_deadline_) return context_.stop();
            shut_down();
        });
    }

    const configuration::NodeSettings& settings_;
    asio::io_context context_{1};
    asio::signal_set signals_;
    asio::steady_timer timer_, shutdown_timer_{context_};
    PeerNetwork network_;
    std::unique_ptr<Node> node_;
    std::unique_ptr<HttpApi> http_;
    metrics::Registry registry_;
    NodeMetrics node_metrics_{registry_};
    WorkReport work_{registry_};
    ReplicaStatusLog status_log_;
    std::unique_ptr<MetricsServer> metrics_server_;   // null if the settings have no metrics address
    std::unique_ptr<DiskWriter> disk_;
    std::map<RequestId, std::string> logged_requests_;   // operators' requests that wait for a response, for the log
    Time shutdown_deadline_;
    int exit_code_ = 0;
};

}   // namespace

int run(const configuration::NodeSettings& settings) {
    if (!settings.control) {
        log_error() << "listen.control: is missing";
        return exit_startup_error;
    }
    return Runtime(settings).run();
}

}   // namespace myrtleroute::control
