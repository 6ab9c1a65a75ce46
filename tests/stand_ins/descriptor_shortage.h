// A process that has run out of descriptors.
#pragma once

#include <sys/resource.h>

#include <vector>

namespace turmericshift {

// Uses up all descriptors of the process except one during its lifetime.
class DescriptorShortage {
 public:
  DescriptorShortage();
  ~DescriptorShortage();
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

 private:
  rlimit before_{};
  std::vector<int> taken_;
};

}  // namespace turmericshift
