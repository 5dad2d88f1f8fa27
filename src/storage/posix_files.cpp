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
        size_t bytes_read = 0;
        while (bytes_read < length) {
            const auto position = static_cast<off_t>(offset + bytes_read);
            const auto n = ::pread(descriptor_, bytes.data() + bytes_read, length - bytes_read, position);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) break;
            bytes_read += static_cast<size_t>(n);
        }
        bytes.resize(bytes_read);
        return bytes;
    }

private:
    int descriptor_;
};

// The error in `errno` for that path.
FileError last_error(const std::string& path) {
    const int error = errno;
    const bool permanent = error == ENOENT || error == ENOTDIR || error == EACCES || error == EPERM || error == EROFS;
    return {{path, std::strerror(error)}, !permanent};
}

// A new file's directory entry is durable only after its directory is synced.
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
    if (::mkdir(directory.c_str(), 0755) != 0 && errno != EEXIST) return last_error(directory);
    std::vector<std::unique_ptr<File>> files;
    bool created_or_extended = false;
    for (size_t i = 0; i < count; ++i) {
        const auto path = directory + "/replica-" + std::to_string(i) + ".ring";
        const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        if (descriptor < 0) return last_error(path);
        files.push_back(std::make_unique<PosixFile>(descriptor));
        struct stat status {};
        if (::fstat(descriptor, &status) != 0) return last_error(path);
        if (static_cast<uint64_t>(status.st_size) >= bytes) continue;
        created_or_extended = true;
        if (::fallocate(descriptor, 0, 0, static_cast<off_t>(bytes)) != 0 &&
            ::ftruncate(descriptor, static_cast<off_t>(bytes)) != 0)
            return last_error(path);
        if (::fsync(descriptor) != 0) return last_error(path);
    }
    if (created_or_extended && !sync_directory(directory)) return last_error(directory);
    return files;
}

}   // namespace myrtleroute::storage
