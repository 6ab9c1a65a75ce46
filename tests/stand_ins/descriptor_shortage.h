// Leaves the process with a single free descriptor.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <vector>

namespace turmericshift {

// Uses up all descriptors of the process except one during its lifetime.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit low = before_;
    low.rlim_cur = kLimit;
    setrlimit(RLIMIT_NOFILE, &low);
    for (int fd = open("/dev/null", O_RDONLY); fd >= 0; fd = open("/dev/null", O_RDONLY)) {
      taken_.push_back(fd);
    }
    FreeOne();
  }
  ~DescriptorShortage() {
    for (const int fd : taken_) close(fd);
    setrlimit(RLIMIT_NOFILE, &before_);
  }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

 private:
  static constexpr rlim_t kLimit = 256;

  void FreeOne() {
    close(taken_.back());
    taken_.pop_back();
  }

  rlimit before_{};
  std::vector<int> taken_;
};

}  // namespace turmericshift
