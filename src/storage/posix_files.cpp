#include "storage/posix_files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace myrtleroute::storage {
namespace {

class PosixFile : public File {
public:
    explicit PosixFile(int descriptor) : descriptor_(descriptor) {}
    ~PosixFile() override { ::close(descriptor_); }

    bool write(uint64_t offset, std::string_view bytes) override {
        while (!bytes.empty()) {
            const auto n = ::pwrite(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(offset));
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return false;
            bytes.remove_prefix(static_cast<size_t>(n));
            offset += static_cast<uint64_t>(n);
        }
        return true;
    }

    bool sync() override { return ::fdatasync(descriptor_) == 0; }

    std::string read(uint64_t offset, size_t length) override {
        std::string bytes(length, '\0');
        size_t taken = 0;
        while (taken < length) {
            const auto at = static_cast<off_t>(offset + taken);
            const auto n = ::pread(descriptor_, bytes.data() + taken, length - taken, at);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) break;
            taken += static_cast<size_t>(n);
        }
        bytes.resize(taken);
        return bytes;
    }

private:
    int descriptor_;
};

FileError fault(const std::string& path) {
    const int error = errno;
    const bool lasting = error == ENOENT || error == ENOTDIR || error == EACCES || error == EPERM || error == EROFS;
    return {{path, std::strerror(error)}, !lasting};
}

// A name lasts once its folder is synced.
bool sync_directory(const std::string& directory) {
    const int descriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

}   // namespace

std::variant<std::vector<std::unique_ptr<File>>, FileError> open_files(const std::string& directory, size_t count,
                                                                       uint64_t bytes) {
    if (::mkdir(directory.c_str(), 0755) != 0 && errno != EEXIST) return fault(directory);
    std::vector<std::unique_ptr<File>> files;
    bool made = false;
    for (size_t i = 0; i < count; ++i) {
        const auto path = directory + "/replica-" + std::to_string(i) + ".ring";
        const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        if (descriptor < 0) return fault(path);
        files.push_back(std::make_unique<PosixFile>(descriptor));
        struct stat found {};
        if (::fstat(descriptor, &found) != 0) return fault(path);
        if (static_cast<uint64_t>(found.st_size) >= bytes) continue;
        made = true;
        if (::fallocate(descriptor, 0, 0, static_cast<off_t>(bytes)) != 0 &&
            ::ftruncate(descriptor, static_cast<off_t>(bytes)) != 0)
            return fault(path);
        if (::fsync(descriptor) != 0) return fault(path);
    }
    if (made && !sync_directory(directory)) return fault(directory);
    return files;
}

}   // namespace myrtleroute::storage
