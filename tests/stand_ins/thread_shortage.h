// Lets the process start no thread.
#pragma once

#include <sys/resource.h>

#include <array>
#include <latch>
#include <memory>
#include <vector>

#include "core/error.h"
#include "core/thread.h"

namespace turmericshift {

// Lets no thread start during its lifetime, for lack of address space for stacks.
class ThreadShortage {
 public:
  ThreadShortage() {
    ReserveHeap();
    threads_.reserve(kMaxThreads);
    getrlimit(RLIMIT_AS, &before_);
    rlimit low = before_;
    low.rlim_cur = 1;
    setrlimit(RLIMIT_AS, &low);
    // The C library reuses the stacks of threads that have ended.
    try {
      while (true) threads_.emplace_back("filler", [this] { ended_.wait(); });
    } catch (const Error&) {
      return;
    }
  }
  ~ThreadShortage() {
    setrlimit(RLIMIT_AS, &before_);
    ended_.count_down();
  }
  ThreadShortage(const ThreadShortage&) = delete;
  ThreadShortage& operator=(const ThreadShortage&) = delete;

 private:
  static constexpr size_t kMaxThreads = 1000;

  // Leaves free blocks on the heap, which can't grow during the shortage.
  static void ReserveHeap() {
    constexpr size_t kBlocks = 1000;
    constexpr size_t kBlockBytes = 1000;
    std::vector<std::unique_ptr<std::array<char, kBlockBytes>>> blocks(kBlocks);
    for (auto& block : blocks) block = std::make_unique<std::array<char, kBlockBytes>>();
  }

  rlimit before_{};
  std::latch ended_{1};
  std::vector<Thread> threads_;
};

}  // namespace turmericshift
