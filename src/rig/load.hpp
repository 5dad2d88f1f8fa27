// The applications: for each proxy of this process one, which calls when the seed says, whatever became of the calls
// before, on connections that it keeps, and writes down what it was answered.
#pragma once
#include <unordered_map>

#include "rig/arrivals.hpp"
#include "rig/part.hpp"

namespace myrtleroute::rig {

class Load : public Part {
public:
    Load(Experiment e, std::string directory, std::string name, int number, int of);

private:
    struct Line;
    struct Application {
        int proxy = 0;
        sockaddr_in at{};
        bool up = false;
        std::vector<Line*> idle;
        std::unique_ptr<Arrivals> arrivals;
    };
    void told(const std::string& word, std::istringstream& more) override;
    void woken(uint64_t cookie) override;
    void finish() override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    Application& application(int proxy) { return applications_[static_cast<size_t>(proxy / of_)]; }
    void call(Application& a);
    void send(Application& a, CallRecord& record, size_t place, bool fresh);
    void ask_if_up(Application& a);
    Line* connect(Application& a);
    void over(Line& line, CallEnd how);            // the call on it
    void answered(Line& line);
    void gone(Line& line, CallEnd how);            // the connection
    void done_if_all_are();

    int number_, of_;
    std::vector<double> rates_;
    std::vector<Application> applications_;
    std::vector<CallRecord> calls_;
    size_t out_ = 0, waiting_ = 0, coming_ = 0;
    bool told_done_ = false;
};

}  // namespace myrtleroute::rig
