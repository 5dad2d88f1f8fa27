// The record ring on disks that fail writes, and with power losses that drop or tear unsynced writes.
#include <doctest/doctest.h>

#include <map>

#include "random.hpp"
#include "storage/record_ring.hpp"

using namespace myrtleroute;
using storage::RecordRing;

namespace {

constexpr uint64_t file_bytes = 4096;

// Contents of a simulated file: durable bytes, and writes since the last sync.
struct FileState {
    struct Unsynced {
        uint64_t offset;
        std::string bytes;
    };
    std::string durable = std::string(file_bytes, '\0'), written = durable;
    std::vector<Unsynced> unsynced;
    bool fails = false;               // writes and syncs fail
    int* operations_left = nullptr;   // writes and syncs until the power is lost; null: no power loss

    // Keeps, drops or tears each unsynced write at random.
    void lose_power(Pcg& rng) {
        for (const auto& write : unsynced) {
            const auto outcome = rng.next() % 3;
            if (outcome == 0) continue;
            const size_t kept = outcome == 1 ? write.bytes.size() : rng.next() % (write.bytes.size() + 1);
            durable.replace(write.offset, kept, write.bytes, 0, kept);
        }
        unsynced.clear();
        written = durable;
    }
};

struct PowerLost {};

class FakeFile : public storage::File {
public:
    explicit FakeFile(FileState& state) : state_(state) {}
    bool write(uint64_t offset, std::string_view bytes) override {
        count_operation();
        if (state_.fails || offset + bytes.size() > file_bytes) return false;
        state_.written.replace(offset, bytes.size(), bytes);
        state_.unsynced.push_back({offset, std::string(bytes)});
        return true;
    }
    bool sync() override {
        count_operation();
        if (state_.fails) return false;
        state_.durable = state_.written;
        state_.unsynced.clear();
        return true;
    }
    std::string read(uint64_t offset, size_t length) override {
        return offset > state_.written.size() ? std::string{} : state_.written.substr(offset, length);
    }

private:
    void count_operation() const {
        if (state_.operations_left && (*state_.operations_left)-- <= 0) throw PowerLost{};
    }
    FileState& state_;
};

RecordRing open_ring(std::vector<FileState>& states) {
    std::vector<std::unique_ptr<storage::File>> files;
    for (auto& state : states) files.push_back(std::make_unique<FakeFile>(state));
    return RecordRing(std::move(files), {file_bytes});
}

// A state is a number and padding. A change and the snapshot that includes it have the same text.
std::string state(uint64_t number, size_t padding) { return std::to_string(number) + ":" + std::string(padding, 'x'); }
uint64_t number_of(const storage::Records& records) { return records.empty() ? 0 : std::stoull(records.back()); }

}   // namespace

TEST_CASE("an empty disk has no records") {
    std::vector<FileState> files(3);
    CHECK(open_ring(files).recover().records.empty());
}

TEST_CASE("records are recovered in order, beginning with a snapshot") {
    std::vector<FileState> files(3);
    auto ring = open_ring(files);
    ring.recover();
    REQUIRE(ring.append("change 1", "snapshot 1"));
    REQUIRE(ring.append("change 2", "snapshot 2"));
    REQUIRE(ring.append("change 3", "snapshot 3"));
    CHECK(open_ring(files).recover().records == storage::Records{"snapshot 1", "change 2", "change 3"});
}

TEST_CASE("acknowledged records survive any power loss") {
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        Pcg rng(seed);
        std::vector<FileState> files(2 + seed % 2);
        uint64_t written = 0, acknowledged = 0;
        for (int restart = 0; restart < 8; ++restart) {
            auto ring = open_ring(files);
            const auto recovered = ring.recover();
            const auto found = number_of(recovered.records);
            REQUIRE_FALSE(recovered.damaged);   // a power loss isn't damage
            REQUIRE(found >= acknowledged);     // no acknowledged state is lost
            REQUIRE(found <= written);          // no state is recovered that was never written
            acknowledged = std::max(acknowledged, found);
            const auto writes = rng.next() % 60;
            for (uint64_t i = 0; i < writes; ++i) {
                for (auto& file : files) file.fails = rng.next() % 10 == 0;
                const auto text = state(++written, rng.next() % 400);
                if (ring.append(text, text)) acknowledged = written;
            }
            for (auto& file : files) {
                file.fails = false;
                file.lose_power(rng);
            }
        }
    }
}

TEST_CASE("a power loss between any two steps of a write isn't damage and loses no acknowledged record") {
    for (int steps = 0; steps < 40; ++steps)
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(steps);
            CAPTURE(seed);
            Pcg rng(seed);
            std::vector<FileState> files(2);
            int left = steps;
            for (auto& file : files) file.operations_left = &left;
            uint64_t acknowledged = 0;
            try {
                auto ring = open_ring(files);
                ring.recover();
                for (uint64_t number = 1; number <= 20; ++number) {   // each file holds only a few
                    const auto text = state(number, 900);
                    if (ring.append(text, text)) acknowledged = number;
                }
            } catch (const PowerLost&) {
            }
            for (auto& file : files) {
                file.operations_left = nullptr;
                file.lose_power(rng);
            }
            const auto recovered = open_ring(files).recover();
            CHECK_FALSE(recovered.damaged);
            CHECK(number_of(recovered.records) >= acknowledged);
        }
}

TEST_CASE("a flipped bit anywhere is reported as damage unless no record is lost") {
    constexpr size_t alignment = 32, written = 3 * 3 * alignment;   // three records: header, payload, seal
    for (size_t at = 0; at < written; ++at) {
        CAPTURE(at);
        std::vector<FileState> files(2);
        auto ring = open_ring(files);
        ring.recover();
        REQUIRE(ring.append("1:snapshot", "1:snapshot"));
        REQUIRE(ring.append("2:change", "2:snapshot"));
        REQUIRE(ring.append("3:change", "3:snapshot"));
        files[0].written[at] = static_cast<char>(files[0].written[at] ^ 4);
        const auto recovered = open_ring(files).recover();
        const storage::Records all{"1:snapshot", "2:change", "3:change"};
        CHECK((recovered.damaged || recovered.records == all));
        CHECK(recovered.damaged == recovered.records.empty());
    }
}

TEST_CASE("an unreadable first record of the newest file is damage, also if it is the only record") {
    for (const bool more : {false, true}) {
        CAPTURE(more);
        std::vector<FileState> files(2);
        auto ring = open_ring(files);
        ring.recover();
        REQUIRE(ring.append("1:snapshot", "1:snapshot"));
        files[0].fails = true;
        CHECK_FALSE(ring.append("2:change", "2:snapshot"));
        files[0].fails = false;
        REQUIRE(ring.append("3:change", "3:snapshot"));   // goes into the next file
        if (more) REQUIRE(ring.append("4:change", "4:snapshot"));
        files[1].written[34] ^= 1;
        CHECK(open_ring(files).recover().damaged);
    }
}

TEST_CASE("a damaged disk can be written again, and the new records are recovered") {
    std::vector<FileState> files(3);
    {
        auto ring = open_ring(files);
        ring.recover();
        REQUIRE(ring.append("1:snapshot", "1:snapshot"));
        REQUIRE(ring.append("2:change", "2:snapshot"));
    }
    files[0].written[34] ^= 1;
    auto ring = open_ring(files);
    REQUIRE(ring.recover().damaged);
    REQUIRE(ring.append("9:new", "9:new"));
    const auto again = open_ring(files).recover();
    CHECK_FALSE(again.damaged);
    CHECK(again.records == storage::Records{"9:new"});
}

TEST_CASE("a snapshot larger than a file is rejected, and earlier records are kept") {
    std::vector<FileState> files(2);
    auto ring = open_ring(files);
    ring.recover();
    REQUIRE(ring.append("1:a", "1:a"));
    CHECK_FALSE(ring.append(state(2, 2 * file_bytes), state(2, 2 * file_bytes)));
    CHECK(number_of(open_ring(files).recover().records) == 1);
}
