#include "lab/control/disk.hpp"

#include <utility>

namespace myrtleroute::lab::control {

class VirtualDisk::OpenFile : public storage::File {
public:
    OpenFile(VirtualDisk& disk, size_t number) : disk_(disk), number_(number) {}
    bool write(uint64_t offset, std::string_view bytes) override {
        if (disk_.refuses || offset + bytes.size() > file_bytes) return false;
        disk_.asked_.push_back({number_, false, offset, std::string(bytes)});
        return true;
    }
    bool sync() override {
        if (disk_.refuses) return false;
        disk_.asked_.push_back({number_, true, 0, {}});
        return true;
    }
    std::string read(uint64_t offset, size_t length) override {
        const auto& seen = disk_.contents_[number_].seen;
        return offset >= seen.size() ? std::string{} : seen.substr(offset, length);
    }

private:
    VirtualDisk& disk_;
    size_t number_;
};

storage::RecordRing VirtualDisk::open() {
    std::vector<std::unique_ptr<storage::File>> opened;
    for (size_t i = 0; i < files; ++i) opened.push_back(std::make_unique<OpenFile>(*this, i));
    return {std::move(opened), storage::RingOptions{file_bytes}};
}

void VirtualDisk::put(std::string& content, uint64_t offset, std::string_view bytes) {
    if (content.size() < offset + bytes.size()) content.resize(offset + bytes.size(), '\0');
    content.replace(offset, bytes.size(), bytes);
}

void VirtualDisk::apply(const Operation& operation) {
    auto& content = contents_[operation.file];
    if (!operation.sync) {
        put(content.seen, operation.offset, operation.bytes);
        content.unsynced.push_back(operation);
        return;
    }
    for (const auto& write : std::exchange(content.unsynced, {})) put(content.safe, write.offset, write.bytes);
}

void VirtualDisk::complete() {
    for (const auto& operation : std::exchange(asked_, {})) apply(operation);
}

void VirtualDisk::interrupt(RandomStream& chance) {
    auto asked = std::exchange(asked_, {});
    const auto happened = static_cast<size_t>(chance.below(static_cast<int>(asked.size()) + 1));
    for (size_t i = 0; i < happened; ++i) apply(asked[i]);
}

void VirtualDisk::lose_power(RandomStream& chance) {
    interrupt(chance);
    const bool all_lost = chance.bernoulli(0.3);
    for (auto& content : contents_) {
        for (const auto& write : std::exchange(content.unsynced, {})) {
            const int fate = all_lost ? 0 : chance.below(3);
            const size_t kept = fate == 0 ? 0
                                : fate == 1
                                    ? write.bytes.size()
                                    : static_cast<size_t>(chance.below(static_cast<int>(write.bytes.size()) + 1));
            if (kept) put(content.safe, write.offset, std::string_view(write.bytes).substr(0, kept));
        }
        content.seen = content.safe;
    }
}

void VirtualDisk::wipe() {
    for (auto& content : contents_) content = {};
    asked_.clear();
}

void VirtualDisk::rot(RandomStream& chance) {
    auto& content = contents_[chance.below(static_cast<int>(files))];
    if (content.safe.empty()) return;
    const auto begin = static_cast<size_t>(chance.number() % content.safe.size());
    const size_t length = 1 + static_cast<size_t>(chance.below(600));
    for (size_t i = begin; i < std::min(content.safe.size(), begin + length); ++i)
        content.safe[i] = static_cast<char>(chance.number());
    content.seen = content.safe;
    content.unsynced.clear();
}

storage::Recovered VirtualDisk::safe() const {
    VirtualDisk copy;
    for (size_t i = 0; i < files; ++i) copy.contents_[i].seen = contents_[i].safe;
    return copy.open().recover();
}

}   // namespace myrtleroute::lab::control
