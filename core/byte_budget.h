// A bound on memory that several holders share. Thread-safe.
#pragma once

#include <atomic>
#include <cstddef>

namespace turmericshift {

class ByteBudget {
 public:
  explicit ByteBudget(size_t bytes) : bytes_(bytes) {}

  size_t bytes() const { return bytes_; }
  size_t taken() const { return taken_.load(); }
  // Takes `count` bytes if at least `left` remain after that; returns whether it did.
  bool Take(size_t count, size_t left) {
    size_t taken = taken_.load();
    do {
      const size_t free = bytes_ - taken;
      if (count > free || free - count < left) return false;
    } while (!taken_.compare_exchange_weak(taken, taken + count));
    return true;
  }
  void Return(size_t count) { taken_.fetch_sub(count); }

 private:
  const size_t bytes_;
  std::atomic<size_t> taken_{0};
};

// Bytes that one holder has taken from a budget; returns them when destroyed.
class ByteClaim {
 public:
  // `budget` must outlive the claim; null: unlimited.
  explicit ByteClaim(ByteBudget* budget) : budget_(budget) {}
  ~ByteClaim() { Release(); }
  ByteClaim(const ByteClaim&) = delete;
  ByteClaim& operator=(const ByteClaim&) = delete;

  // Makes the claim at least `bytes` large if the budget still has `left` bytes then; returns
  // whether it is.
  bool GrowTo(size_t bytes, size_t left) {
    if (budget_ == nullptr || bytes <= bytes_) return true;
    if (!budget_->Take(bytes - bytes_, left)) return false;
    bytes_ = bytes;
    return true;
  }
  void Release() {
    if (budget_ != nullptr) budget_->Return(bytes_);
    bytes_ = 0;
  }

 private:
  ByteBudget* const budget_;
  size_t bytes_ = 0;
};

}  // namespace turmericshift
