#include "tests/stand_ins/descriptor_shortage.h"

#include <fcntl.h>
#include <unistd.h>

namespace turmericshift {
namespace {

constexpr rlim_t kLimit = 256;

}  // namespace

DescriptorShortage::DescriptorShortage() {
  getrlimit(RLIMIT_NOFILE, &before_);
  rlimit low = before_;
  low.rlim_cur = kLimit;
  setrlimit(RLIMIT_NOFILE, &low);
  for (int fd = open("/dev/null", O_RDONLY); fd >= 0; fd = open("/dev/null", O_RDONLY)) {
    taken_.push_back(fd);
  }
  close(taken_.back());
  taken_.pop_back();
}

DescriptorShortage::~DescriptorShortage() {
  for (const int fd : taken_) close(fd);
  setrlimit(RLIMIT_NOFILE, &before_);
}

}  // namespace turmericshift
