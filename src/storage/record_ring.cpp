#include "storage/record_ring.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

namespace myrtleroute::storage {
namespace {

// Magic numbers at the start of a record and of a seal.
constexpr uint32_t record_magic = 0x4d59524c, seal_magic = 0x4d59534c;

struct Header {
    uint32_t magic = record_magic;
    uint32_t length = 0;   // of the payload without its padding
    uint64_t generation = 0;
    uint64_t offset = 0;
    uint64_t checksum = 0;
};
static_assert(sizeof(Header) == 32);

constexpr uint64_t alignment = sizeof(Header);   // records and seals begin at multiples of this
constexpr size_t scan_chunk_bytes = 64 * 1024;   // a multiple of `alignment`
constexpr uint64_t scan_divisor = 4;             // behind an unreadable record 1/4 of the file's size is scanned

uint64_t padded(uint64_t length) { return (length + alignment - 1) / alignment * alignment; }
// Bytes of a record with its header and its seal.
uint64_t record_size(uint64_t payload) { return alignment + padded(payload) + alignment; }

uint64_t checksum(Header header, std::string_view payload) {
    header.checksum = XXH3_64bits(payload.data(), payload.size());
    return XXH3_64bits(&header, sizeof header);
}

// The bytes of a record, or of a seal, with its padding.
std::string encode(uint32_t magic, uint64_t generation, uint64_t offset, std::string_view payload) {
    Header header{magic, static_cast<uint32_t>(payload.size()), generation, offset, 0};
    header.checksum = checksum(header, payload);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    bytes.append(payload);
    bytes.resize(alignment + padded(payload.size()), '\0');
    return bytes;
}

// The header at the start of `bytes`; nullopt unless its magic number is known and its offset field equals `offset`.
std::optional<Header> read_header(std::string_view bytes, uint64_t offset) {
    if (bytes.size() < sizeof(Header)) return {};
    Header header;
    std::memcpy(&header, bytes.data(), sizeof header);
    const bool known = header.magic == record_magic || header.magic == seal_magic;
    return known && header.offset == offset ? std::optional(header) : std::nullopt;
}

struct ValidRecord {
    Header header;
    std::string payload;
};

// Reads the record or seal at that offset; nullopt if it is invalid.
std::optional<ValidRecord> read_valid(File& file, uint64_t offset, uint64_t file_bytes) {
    const auto header = read_header(file.read(offset, sizeof(Header)), offset);
    if (!header || header->length > file_bytes) return {};
    auto payload = file.read(offset + sizeof(Header), header->length);
    if (payload.size() < header->length || checksum(*header, payload) != header->checksum) return {};
    return ValidRecord{*header, std::move(payload)};
}

}   // namespace

RecordRing::RecordRing(std::vector<std::unique_ptr<File>> files, RingOptions options)
    : files_(std::move(files)), options_(options) {}

RecordRing::FileContents RecordRing::read_file(File& file) const {
    FileContents contents;
    for (;;) {
        auto record = read_valid(file, contents.end, options_.file_bytes);
        if (!record || record->header.magic != record_magic) break;
        if (!contents.records.empty() && record->header.generation != contents.generation) break;
        contents.generation = record->header.generation;
        contents.end += record_size(record->payload.size());
        contents.records.push_back(std::move(record->payload));
    }
    contents.newest_generation_after = newest_generation_after(file, contents.end);
    return contents;
}

uint64_t RecordRing::newest_generation_after(File& file, uint64_t from) const {
    uint64_t newest = 0;
    const uint64_t until = std::min(options_.file_bytes, from + options_.file_bytes / scan_divisor);
    for (uint64_t at = from; at < until; at += scan_chunk_bytes) {
        const auto bytes = file.read(at, std::min<uint64_t>(scan_chunk_bytes, until - at));
        for (uint64_t i = 0; i + alignment <= bytes.size(); i += alignment) {
            const auto header = read_header(std::string_view(bytes).substr(i), at + i);
            if (header && header->generation > newest && read_valid(file, at + i, options_.file_bytes))
                newest = header->generation;
        }
    }
    return newest;
}

Recovered RecordRing::recover() {
    FileContents newest;
    uint64_t newest_after_end = 0;
    for (size_t i = 0; i < files_.size(); ++i) {
        auto contents = read_file(*files_[i]);
        newest_after_end = std::max(newest_after_end, contents.newest_generation_after);
        if (contents.records.empty() || contents.generation <= newest.generation) continue;
        newest = std::move(contents);
        current_ = i;
    }
    end_ = newest.end;
    appendable_ = false;   // a partly written record may follow the last one: continue in a new file
    // Data of an older generation may remain behind the last record, or in a file whose first record is torn.
    const bool damaged = newest_after_end > 0 && newest_after_end >= newest.generation;
    generation_ = std::max(newest.generation, newest_after_end);
    if (damaged) newest.records.clear();
    return {std::move(newest.records), damaged};
}

bool RecordRing::seal(File& file, uint64_t generation, uint64_t at) {
    return file.write(at, encode(seal_magic, generation, at, {}));
}

bool RecordRing::start_file(std::string_view snapshot) {
    const size_t next = generation_ == 0 ? 0 : (current_ + 1) % files_.size();
    const auto bytes = encode(record_magic, generation_ + 1, 0, snapshot);
    if (record_size(snapshot.size()) > options_.file_bytes) return false;
    // A failed attempt is retried in the same file, because the previous file still holds the last durable state.
    auto& file = *files_[next];
    if (!file.write(0, bytes) || !file.sync()) return false;
    // Without the seal, bit rot in the first record would look like a record that was never acknowledged.
    if (!seal(file, generation_ + 1, bytes.size()) || !file.sync()) return false;
    ++generation_;
    current_ = next;
    end_ = record_size(snapshot.size());
    appendable_ = true;
    return true;
}

bool RecordRing::append(std::string_view change, const std::function<std::string()>& snapshot) {
    if (!appendable_ || end_ + record_size(change.size()) > options_.file_bytes) return start_file(snapshot());
    auto& file = *files_[current_];
    const auto bytes = encode(record_magic, generation_, end_, change);
    appendable_ = file.write(end_, bytes) && file.sync();
    if (!appendable_) return false;
    seal(file, generation_, end_ + bytes.size());   // durable after the next sync, or earlier by write-back
    end_ += record_size(change.size());
    return true;
}

}   // namespace myrtleroute::storage
