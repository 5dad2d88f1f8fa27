// The ring of files against losses of power that drop and tear what was not synced, and disks that refuse.
#include <doctest/doctest.h>

#include <map>

#include "random.hpp"
#include "storage/record_ring.hpp"

using namespace myrtleroute;
using storage::RecordRing;

namespace {

constexpr uint64_t file_bytes = 4096;

// What lies on a disk: bytes that are safe, and writes since the last sync.
struct Platter {
    struct Unsynced {
        uint64_t offset;
        std::string bytes;
    };
    std::string safe = std::string(file_bytes, '\0'), seen = safe;
    std::vector<Unsynced> unsynced;
    bool refuses = false;
    int* operations_left = nullptr;   // until power is lost in the middle of what is done

    // Each unsynced write is kept, lost or torn.
    void lose_power(Pcg& chance) {
        for (const auto& write : unsynced) {
            const auto fate = chance.next() % 3;
            if (fate == 0) continue;
            const size_t kept = fate == 1 ? write.bytes.size() : chance.next() % (write.bytes.size() + 1);
            safe.replace(write.offset, kept, write.bytes, 0, kept);
        }
        unsynced.clear();
        seen = safe;
    }
};

struct PowerLost {};

class FakeFile : public storage::File {
public:
    explicit FakeFile(Platter& platter) : platter_(platter) {}
    bool write(uint64_t offset, std::string_view bytes) override {
        spend();
        if (platter_.refuses || offset + bytes.size() > file_bytes) return false;
        platter_.seen.replace(offset, bytes.size(), bytes);
        platter_.unsynced.push_back({offset, std::string(bytes)});
        return true;
    }
    bool sync() override {
        spend();
        if (platter_.refuses) return false;
        platter_.safe = platter_.seen;
        platter_.unsynced.clear();
        return true;
    }
    std::string read(uint64_t offset, size_t length) override {
        return offset > platter_.seen.size() ? std::string{} : platter_.seen.substr(offset, length);
    }

private:
    void spend() const {
        if (platter_.operations_left && (*platter_.operations_left)-- <= 0) throw PowerLost{};
    }
    Platter& platter_;
};

RecordRing open_ring(std::vector<Platter>& platters) {
    std::vector<std::unique_ptr<storage::File>> files;
    for (auto& platter : platters) files.push_back(std::make_unique<FakeFile>(platter));
    return RecordRing(std::move(files), {file_bytes});
}

// The state is a number and its padding: a change is the same as the whole.
std::string state(uint64_t number, size_t padding) { return std::to_string(number) + ":" + std::string(padding, 'x'); }
uint64_t number_of(const storage::Records& records) { return records.empty() ? 0 : std::stoull(records.back()); }

}   // namespace

TEST_CASE("an empty disk has no records") {
    std::vector<Platter> platters(3);
    CHECK(open_ring(platters).recover().records.empty());
}

TEST_CASE("records come back in their order, the first one whole") {
    std::vector<Platter> platters(3);
    auto ring = open_ring(platters);
    ring.recover();
    REQUIRE(ring.append("change 1", "whole 1"));
    REQUIRE(ring.append("change 2", "whole 2"));
    REQUIRE(ring.append("change 3", "whole 3"));
    CHECK(open_ring(platters).recover().records == storage::Records{"whole 1", "change 2", "change 3"});
}

TEST_CASE("what was told to be safe outlives any loss of power") {
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        Pcg chance(seed);
        std::vector<Platter> platters(2 + seed % 2);
        uint64_t written = 0, safe = 0;
        for (int life = 0; life < 8; ++life) {
            auto ring = open_ring(platters);
            const auto recovered = ring.recover();
            const auto found = number_of(recovered.records);
            REQUIRE_FALSE(recovered.damaged);   // a loss of power is no damage
            REQUIRE(found >= safe);             // nothing that was told is lost
            REQUIRE(found <= written);          // and nothing is made up
            safe = std::max(safe, found);
            const auto writes = chance.next() % 60;
            for (uint64_t i = 0; i < writes; ++i) {
                for (auto& platter : platters) platter.refuses = chance.next() % 10 == 0;
                const auto text = state(++written, chance.next() % 400);
                if (ring.append(text, text)) safe = written;
            }
            for (auto& platter : platters) {
                platter.refuses = false;
                platter.lose_power(chance);
            }
        }
    }
}

TEST_CASE("a loss of power between any two steps of a write is no damage, and loses nothing that was told") {
    for (int steps = 0; steps < 40; ++steps)
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(steps);
            CAPTURE(seed);
            Pcg chance(seed);
            std::vector<Platter> platters(2);
            int left = steps;
            for (auto& platter : platters) platter.operations_left = &left;
            uint64_t safe = 0;
            try {
                auto ring = open_ring(platters);
                ring.recover();
                for (uint64_t number = 1; number <= 20; ++number) {   // files are full after a few
                    const auto text = state(number, 900);
                    if (ring.append(text, text)) safe = number;
                }
            } catch (const PowerLost&) {
            }
            for (auto& platter : platters) {
                platter.operations_left = nullptr;
                platter.lose_power(chance);
            }
            const auto recovered = open_ring(platters).recover();
            CHECK_FALSE(recovered.damaged);
            CHECK(number_of(recovered.records) >= safe);
        }
}

TEST_CASE("a flipped bit is found out, wherever it is: the disk has forgotten what it took, or nothing is lost") {
    constexpr size_t place = 32, written = 3 * 3 * place;   // three records: header, payload, seal
    for (size_t at = 0; at < written; ++at) {
        CAPTURE(at);
        std::vector<Platter> platters(2);
        auto ring = open_ring(platters);
        ring.recover();
        REQUIRE(ring.append("1:whole", "1:whole"));
        REQUIRE(ring.append("2:change", "2:whole"));
        REQUIRE(ring.append("3:change", "3:whole"));
        platters[0].seen[at] = static_cast<char>(platters[0].seen[at] ^ 4);
        const auto recovered = open_ring(platters).recover();
        const storage::Records all{"1:whole", "2:change", "3:change"};
        CHECK((recovered.damaged || recovered.records == all));
        CHECK(recovered.damaged == recovered.records.empty());
    }
}

TEST_CASE("a newest file whose beginning can't be read is damage, also when only that record was in it") {
    for (const bool more : {false, true}) {
        CAPTURE(more);
        std::vector<Platter> platters(2);
        auto ring = open_ring(platters);
        ring.recover();
        REQUIRE(ring.append("1:whole", "1:whole"));
        platters[0].refuses = true;
        CHECK_FALSE(ring.append("2:change", "2:whole"));
        platters[0].refuses = false;
        REQUIRE(ring.append("3:change", "3:whole"));   // in the next file
        if (more) REQUIRE(ring.append("4:change", "4:whole"));
        platters[1].seen[34] ^= 1;
        CHECK(open_ring(platters).recover().damaged);
    }
}

TEST_CASE("a damaged disk is written to again, and what is written then is found") {
    std::vector<Platter> platters(3);
    {
        auto ring = open_ring(platters);
        ring.recover();
        REQUIRE(ring.append("1:whole", "1:whole"));
        REQUIRE(ring.append("2:change", "2:whole"));
    }
    platters[0].seen[34] ^= 1;
    auto ring = open_ring(platters);
    REQUIRE(ring.recover().damaged);
    REQUIRE(ring.append("9:new", "9:new"));
    const auto again = open_ring(platters).recover();
    CHECK_FALSE(again.damaged);
    CHECK(again.records == storage::Records{"9:new"});
}

TEST_CASE("a state that does not fit into a file is refused, and what was there stays") {
    std::vector<Platter> platters(2);
    auto ring = open_ring(platters);
    ring.recover();
    REQUIRE(ring.append("1:a", "1:a"));
    CHECK_FALSE(ring.append(state(2, 2 * file_bytes), state(2, 2 * file_bytes)));
    CHECK(number_of(open_ring(platters).recover().records) == 1);
}
