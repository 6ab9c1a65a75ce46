#include "servers/state/record_window.h"

#include <nlohmann/json.hpp>

#include "core/digest.h"

namespace turmericshift {
namespace {

constexpr size_t kDigits = 16;
constexpr int kHexadecimal = 16;

uint64_t HashOf(const std::string& id) {
  return std::stoull(Digest(id).substr(0, kDigits), nullptr, kHexadecimal);
}

}  // namespace

bool RecordWindow::Add(const std::string& id) {
  const uint64_t key = HashOf(id);
  if (!known_.insert(key).second) return false;
  order_.push_back(key);
  if (order_.size() > kRecordWindowSize) {
    known_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

nlohmann::json RecordWindow::Snapshot() const { return order_; }

void RecordWindow::Restore(const nlohmann::json& state) {
  order_ = state.get<std::deque<uint64_t>>();
  known_ = {order_.begin(), order_.end()};
}

}  // namespace turmericshift
