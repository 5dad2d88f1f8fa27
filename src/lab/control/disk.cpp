#include "lab/control/disk.hpp"

#include <utility>

namespace myrtleroute::lab::control {

class VirtualDisk::OpenFile : public storage::File {
public:
    OpenFile(VirtualDisk& disk, size_t number) : disk_(disk), number_(number) {}
    bool write(uint64_t offset, std::string_view bytes) override {
        if (disk_.fails_writes || offset + bytes.size() > file_bytes) return false;
        disk_.requested_.push_back({number_, false, offset, std::string(bytes)});
        return true;
    }
    bool sync() override {
        if (disk_.fails_writes) return false;
        disk_.requested_.push_back({number_, true, 0, {}});
        return true;
    }
    std::string read(uint64_t offset, size_t length) override {
        const auto& visible = disk_.contents_[number_].visible;
        return offset >= visible.size() ? std::string{} : visible.substr(offset, length);
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

void VirtualDisk::write_bytes(std::string& content, uint64_t offset, std::string_view bytes) {
    if (content.size() < offset + bytes.size()) content.resize(offset + bytes.size(), '\0');
    content.replace(offset, bytes.size(), bytes);
}

void VirtualDisk::apply(const Operation& operation) {
    auto& content = contents_[operation.file];
    if (!operation.sync) {
        write_bytes(content.visible, operation.offset, operation.bytes);
        content.unsynced.push_back(operation);
        return;
    }
    for (const auto& write : std::exchange(content.unsynced, {}))
        write_bytes(content.durable, write.offset, write.bytes);
}

void VirtualDisk::complete() {
    for (const auto& operation : std::exchange(requested_, {})) apply(operation);
}

void VirtualDisk::interrupt(RandomStream& random) {
    auto requested = std::exchange(requested_, {});
    const auto applied = static_cast<size_t>(random.below(static_cast<int>(requested.size()) + 1));
    for (size_t i = 0; i < applied; ++i) apply(requested[i]);
}

void VirtualDisk::lose_power(RandomStream& random) {
    interrupt(random);
    const bool all_lost = random.bernoulli(0.3);
    for (auto& content : contents_) {
        for (const auto& write : std::exchange(content.unsynced, {})) {
            const int outcome = all_lost ? 0 : random.below(3);
            const size_t kept = outcome == 0 ? 0
                                : outcome == 1
                                    ? write.bytes.size()
                                    : static_cast<size_t>(random.below(static_cast<int>(write.bytes.size()) + 1));
            if (kept) write_bytes(content.durable, write.offset, std::string_view(write.bytes).substr(0, kept));
        }
        content.visible = content.durable;
    }
}

void VirtualDisk::wipe() {
    for (auto& content : contents_) content = {};
    requested_.clear();
}

void VirtualDisk::corrupt(RandomStream& random) {
    auto& content = contents_[random.below(static_cast<int>(files))];
    if (content.durable.empty()) return;
    const auto begin = static_cast<size_t>(random.number() % content.durable.size());
    const size_t length = 1 + static_cast<size_t>(random.below(600));
    for (size_t i = begin; i < std::min(content.durable.size(), begin + length); ++i)
        content.durable[i] = static_cast<char>(random.number());
    content.visible = content.durable;
    content.unsynced.clear();
}

storage::Recovered VirtualDisk::recover_durable() const {
    VirtualDisk copy;
    for (size_t i = 0; i < files; ++i) copy.contents_[i].visible = contents_[i].durable;
    return copy.open().recover();
}

}   // namespace myrtleroute::lab::control
