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
#include "roles/control/standing_log.hpp"
#include "roles/control/start.hpp"
#include "roles/control/work_report.hpp"
#include "roles/log.hpp"
#include "storage/posix_files.hpp"

namespace myrtleroute::control {
namespace {

constexpr std::chrono::milliseconds tick_every{100}, leave_after{400}, disk_retry{200};
constexpr Span leave_within{2.5};   // for others to hold what this node holds; and a third of the grace at the most
constexpr size_t ring_files = 3;
constexpr int exit_fault = 2;

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
          network_(context_, {[this](ConnectionId link, const messages::Message& message,
                                     std::chrono::steady_clock::time_point began) {
                                  node_->received(link, message, now());
                                  carry_out();
                                  work_.note(work_kind(message), now() - at(began));
                              },
                              [this](ConnectionId link) { node_->connection_closed(link, now()); },
                              [this](const Endpoint& peer) {
                                  node_->connected(peer, now());
                                  carry_out();
                              }}) {}

    int run() {
        if (const int code = start()) return code;
        hear_signals();
        tick();
        context_.run();
        return exit_code_;
    }

private:
    int start() {
        storage::Recovered found;
        if (!settings_.data_directory.empty() && !open_disk(found)) return exit_fault;
        if (found.damaged)
            log_error() << "dataDir: " << settings_.data_directory
                        << ": records that were safe can't be read; this node joins as a new replica";
        node_ = std::make_unique<Node>(node_options(settings_, random_number()),
                                       stored_state(found, settings_, random_number()), now());
        const auto at = peer_endpoint(settings_, settings_.address);
        try {
            network_.listen(at);
        } catch (const asio::system_error& fault) {
            log_error() << "internalPorts: can't listen at " << at.text() << ": " << fault.code().message();
            return exit_fault;
        }
        http_ = std::make_unique<HttpApi>(
            context_, *settings_.control,
            [this](const HttpRequest& request) {
                if (request.method == "PUT" && request.path == "/config")
                    orders_[request.number] = "configuration on top of " + request.if_match;
                if (request.method == "POST") orders_[request.number] = "order at " + request.path;
                const auto began = now();
                node_->request(request, began);
                carry_out();
                work_.note(WorkKind::requests, now() - began);
            },
            [this](const std::string& reason) {
                log_error() << "listen.control: can't listen at " << settings_.control->text() << ": " << reason;
                exit_code_ = exit_fault;
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
            figures_.update(state);
            return registry_.render();
        };
        metrics_ = std::make_unique<MetricsServer>(
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
            const auto& fault = std::get<storage::FileError>(opened);
            log_error() << "dataDir: " << fault.finding.location << ": " << fault.finding.message;
            if (!fault.transient) return false;
            std::this_thread::sleep_for(disk_retry);
        }
    }

    void persisted(uint64_t number) {
        const auto began = now();
        node_->persisted(number, began);
        carry_out();
        work_.note(WorkKind::writes, now() - began);
    }

    void carry_out() {
        for (auto& output : node_->take_outputs()) {
            if (const auto* peer = std::get_if<SendToPeer>(&output))
                network_.send(peer->peer, peer->message);
            else if (const auto* connection = std::get_if<SendToConnection>(&output))
                network_.send(connection->connection, connection->message);
            else if (const auto* answer = std::get_if<HttpResponse>(&output))
                answered(*answer);
            else
                write(std::get<Write>(std::move(output)));
        }
    }

    // Orders are few and matter; heartbeats are many and go unlogged.
    void answered(const HttpResponse& answer) {
        const auto order = orders_.extract(answer.request);
        if (!order.empty())
            log_info() << order.mapped() << ": " << answer.status << ' '
                       << (answer.status == 200      ? ""
                           : answer.location.empty() ? answer.body
                                                     : answer.location);
        http_->answer(answer);
    }

    // A machine without a disk keeps its state in memory alone, for as long as it runs.
    void write(Write write) {
        if (disk_) return disk_->write(std::move(write));
        asio::post(context_, [this, number = write.number] { persisted(number); });
    }

    void tick() {
        const auto began = now();
        if (const auto line = work_.tick(began, Span{std::chrono::duration<double>(tick_every).count()}))
            log_info() << *line;
        node_->tick(began);
        carry_out();
        network_.keep_connected(node_->peers());
        for (const auto& line : node_->take_log()) log_info() << line;
        for (const auto& line : standing_.changes(standing_of(node_->replica(), node_->lending().lends(), began)))
            log_info() << line;
        work_.note(WorkKind::ticks, now() - began);
        timer_.expires_after(tick_every);
        timer_.async_wait([this](asio::error_code error) {
            if (!error) tick();
        });
    }

    void hear_signals() {
        signals_.async_wait([this](asio::error_code error, int number) {
            if (error) return;
            if (number == SIGHUP) return hear_signals();   // nothing of the control role changes while it runs
            leave_until_ = now() + std::min(leave_within, settings_.termination_grace * (1.0 / 3));
            leave();
        });
    }

    // Leadership first, and then the copies: what only this disk holds would be lost with it.
    void leave() {
        node_->start_shutdown(now());
        carry_out();
        leave_.expires_after(leave_after);
        leave_.async_wait([this](asio::error_code) {
            if (node_->may_shut_down() || now() >= leave_until_) return context_.stop();
            leave();
        });
    }

    const configuration::NodeSettings& settings_;
    asio::io_context context_{1};
    asio::signal_set signals_;
    asio::steady_timer timer_, leave_{context_};
    PeerNetwork network_;
    std::unique_ptr<Node> node_;
    std::unique_ptr<HttpApi> http_;
    metrics::Registry registry_;
    NodeMetrics figures_{registry_};
    WorkReport work_{registry_};
    StandingLog standing_;
    std::unique_ptr<MetricsServer> metrics_;   // null: the settings name no address for figures
    std::unique_ptr<DiskWriter> disk_;
    std::map<RequestId, std::string> orders_;   // that wait for their answer, for the log
    Time leave_until_;
    int exit_code_ = 0;
};

}   // namespace

int run(const configuration::NodeSettings& settings) {
    if (!settings.control) {
        log_error() << "listen.control: is missing";
        return exit_fault;
    }
    return Runtime(settings).run();
}

}   // namespace myrtleroute::control
