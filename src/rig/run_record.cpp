#include "rig/run_record.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace myrtleroute::rig {

namespace {

using nlohmann::json;

template <class Record>
void collect(const std::string& directory, const char* what, std::vector<Record>& all) {
    for (const auto& entry : std::filesystem::directory_iterator(directory))
        if (entry.path().extension() == std::string(".") + what) read_records(entry.path().string(), all);
}

}  // namespace

void write_record(const RunRecord& d) {
    json j{{"arm", d.arm},
           {"program", d.program},
           {"repeat", d.repeat},
           {"whole", d.complete},
           {"start", d.start},
           {"end", d.end},
           {"started_in", d.started_in},
           {"ended_in", d.ended_in},
           {"lost", d.lost},
           {"left", d.left},
           {"cpu", d.cpu},
           {"memory_mb", d.memory_mb},
           {"most_memory_mb", d.max_memory_mb},
           {"seed", d.e.seed},
           {"relayed", {d.relayed.connections, d.relayed.max_at_once, d.relayed.bytes}}};
    for (const auto& b : d.applied_faults) j["befell"].push_back({b.fault, b.from, b.to, b.who});
    for (const auto& l : d.incarnations) j["lives"].push_back({l.proxy, l.from, l.to, l.exit});
    for (const auto& p : d.parts) j["parts"].push_back({p.part, p.busiest, p.cpu, p.memory_mb});
    const auto path = d.directory + "/run.json";
    std::ofstream file(path);
    file << j.dump(1) << '\n';
    if (!file.flush()) throw std::runtime_error(path + " can't be written");
}

RunRecord read_record(const std::string& directory) {
    RunRecord d;
    d.directory = directory;
    const auto path = directory + "/run.json";
    std::ifstream file(path);
    if (!file) throw std::runtime_error(path + " can't be read");
    try {
        const json j = json::parse(file);
        d.e = read_experiment(directory + "/experiment.toml");
        d.e.seed = j.at("seed");
        d.arm = j.at("arm");
        d.program = j.at("program");
        d.repeat = j.at("repeat");
        d.complete = j.at("whole");
        d.start = j.at("start");
        d.end = j.at("end");
        d.started_in = j.at("started_in");
        d.ended_in = j.at("ended_in");
        d.lost = j.at("lost").get<std::vector<std::string>>();
        d.left = j.at("left").get<std::vector<std::string>>();
        d.cpu = j.at("cpu");
        d.memory_mb = j.at("memory_mb");
        d.max_memory_mb = j.at("most_memory_mb");
        d.relayed = {j.at("relayed").at(0), j.at("relayed").at(1), j.at("relayed").at(2)};
        for (const auto& b : j.value("befell", json::array()))
            d.applied_faults.push_back({b.at(0), b.at(1), b.at(2), b.at(3).get<std::vector<int>>()});
        for (const auto& l : j.value("lives", json::array()))
            d.incarnations.push_back({l.at(0), l.at(1), l.at(2), l.at(3)});
        for (const auto& p : j.value("parts", json::array())) d.parts.push_back({p.at(0), p.at(1), p.at(2), p.at(3)});
    } catch (const json::exception& fault) {
        throw std::runtime_error(path + ": " + fault.what());
    }
    collect(directory, "calls", d.calls);
    collect(directory, "shots", d.attempts);
    collect(directory, "connections", d.connections);
    collect(directory, "tips", d.overloads);
    collect(directory, "told", d.discovery_records);
    collect(directory, "list", d.list);
    collect(directory, "starved", d.starved);
    std::sort(d.calls.begin(), d.calls.end(), [](auto& a, auto& b) { return a.call < b.call; });
    std::sort(d.attempts.begin(), d.attempts.end(),
              [](auto& a, auto& b) { return a.call != b.call ? a.call < b.call : a.received < b.received; });
    std::sort(d.discovery_records.begin(), d.discovery_records.end(), [](auto& a, auto& b) { return a.at < b.at; });
    std::sort(d.list.begin(), d.list.end(), [](auto& a, auto& b) { return a.rev < b.rev; });
    std::sort(d.starved.begin(), d.starved.end(), [](auto& a, auto& b) { return a.from < b.from; });
    return d;
}

}  // namespace myrtleroute::rig
