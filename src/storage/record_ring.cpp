#include "storage/record_ring.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

namespace myrtleroute::storage {
namespace {

constexpr uint32_t record_mark = 0x4d59524c, seal_mark = 0x4d59534c;

struct Header {
    uint32_t mark = record_mark;
    uint32_t length = 0;   // of the payload, without its padding
    uint64_t generation = 0;
    uint64_t offset = 0;
    uint64_t checksum = 0;
};
static_assert(sizeof(Header) == 32);

constexpr uint64_t place = sizeof(Header);        // everything begins at a multiple of this
constexpr size_t scanned_at_a_time = 64 * 1024;   // a multiple of `place`
constexpr uint64_t scanned_share = 4;             // a part of the file so large is searched behind what can't be read

uint64_t padded(uint64_t length) { return (length + place - 1) / place * place; }
uint64_t room(uint64_t payload) { return place + padded(payload) + place; }   // with the seal

uint64_t checksum(Header header, std::string_view payload) {
    header.checksum = XXH3_64bits(payload.data(), payload.size());
    return XXH3_64bits(&header, sizeof header);
}

std::string record(uint32_t mark, uint64_t generation, uint64_t offset, std::string_view payload) {
    Header header{mark, static_cast<uint32_t>(payload.size()), generation, offset, 0};
    header.checksum = checksum(header, payload);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    bytes.append(payload);
    bytes.resize(place + padded(payload.size()), '\0');
    return bytes;
}

// The header at the beginning of `bytes` where there is one that claims to lie at `offset`.
std::optional<Header> read_header(std::string_view bytes, uint64_t offset) {
    if (bytes.size() < sizeof(Header)) return {};
    Header header;
    std::memcpy(&header, bytes.data(), sizeof header);
    const bool known = header.mark == record_mark || header.mark == seal_mark;
    return known && header.offset == offset ? std::optional(header) : std::nullopt;
}

struct Sound {
    Header header;
    std::string payload;
};

// The record or seal at that offset, if it is sound.
std::optional<Sound> read_sound(File& file, uint64_t offset, uint64_t file_bytes) {
    const auto header = read_header(file.read(offset, sizeof(Header)), offset);
    if (!header || header->length > file_bytes) return {};
    auto payload = file.read(offset + sizeof(Header), header->length);
    if (payload.size() < header->length || checksum(*header, payload) != header->checksum) return {};
    return Sound{*header, std::move(payload)};
}

}   // namespace

RecordRing::RecordRing(std::vector<std::unique_ptr<File>> files, RingOptions options)
    : files_(std::move(files)), options_(options) {}

RecordRing::Found RecordRing::read_file(File& file) const {
    Found found;
    for (;;) {
        auto sound = read_sound(file, found.end, options_.file_bytes);
        if (!sound || sound->header.mark != record_mark) break;
        if (!found.records.empty() && sound->header.generation != found.generation) break;
        found.generation = sound->header.generation;
        found.end += room(sound->payload.size());
        found.records.push_back(std::move(sound->payload));
    }
    found.behind = newest_behind(file, found.end);
    return found;
}

uint64_t RecordRing::newest_behind(File& file, uint64_t from) const {
    uint64_t newest = 0;
    const uint64_t until = std::min(options_.file_bytes, from + options_.file_bytes / scanned_share);
    for (uint64_t at = from; at < until; at += scanned_at_a_time) {
        const auto bytes = file.read(at, std::min<uint64_t>(scanned_at_a_time, until - at));
        for (uint64_t i = 0; i + place <= bytes.size(); i += place) {
            const auto header = read_header(std::string_view(bytes).substr(i), at + i);
            if (header && header->generation > newest && read_sound(file, at + i, options_.file_bytes))
                newest = header->generation;
        }
    }
    return newest;
}

Recovered RecordRing::recover() {
    Found newest;
    uint64_t newest_behind = 0;
    for (size_t i = 0; i < files_.size(); ++i) {
        auto found = read_file(*files_[i]);
        newest_behind = std::max(newest_behind, found.behind);
        if (found.records.empty() || found.generation <= newest.generation) continue;
        newest = std::move(found);
        current_ = i;
    }
    end_ = newest.end;
    sound_ = false;   // what lies behind the last record may be half of one: go on in a new file
    // Of an older generation there may be anything behind the last record, or in a file whose first one is torn.
    const bool damaged = newest_behind > 0 && newest_behind >= newest.generation;
    generation_ = std::max(newest.generation, newest_behind);
    if (damaged) newest.records.clear();
    return {std::move(newest.records), damaged};
}

bool RecordRing::seal(File& file, uint64_t generation, uint64_t at) {
    return file.write(at, record(seal_mark, generation, at, {}));
}

bool RecordRing::begin_file(std::string_view whole) {
    const size_t next = generation_ == 0 ? 0 : (current_ + 1) % files_.size();
    const auto bytes = record(record_mark, generation_ + 1, 0, whole);
    if (room(whole.size()) > options_.file_bytes) return false;
    // A failed attempt is made again in the same file: the one before it still holds the last safe state.
    auto& file = *files_[next];
    if (!file.write(0, bytes) || !file.sync()) return false;
    // Without its seal a first record that rots would pass for one that was never safe.
    if (!seal(file, generation_ + 1, bytes.size()) || !file.sync()) return false;
    ++generation_;
    current_ = next;
    end_ = room(whole.size());
    sound_ = true;
    return true;
}

bool RecordRing::append(std::string_view change, const std::function<std::string()>& whole) {
    if (!sound_ || end_ + room(change.size()) > options_.file_bytes) return begin_file(whole());
    auto& file = *files_[current_];
    const auto bytes = record(record_mark, generation_, end_, change);
    sound_ = file.write(end_, bytes) && file.sync();
    if (!sound_) return false;
    seal(file, generation_, end_ + bytes.size());   // reaches the disk with the next sync, or by itself
    end_ += room(change.size());
    return true;
}

}   // namespace myrtleroute::storage
