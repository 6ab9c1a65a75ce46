#include "servers/pool/outbox.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// Length field and key length of a record on the wire, rounded up.
constexpr size_t kRecordOverhead = 8;

}  // namespace

Ticket Outbox::Put(const std::string& key, const std::string& value) {
  const Ticket ticket = next_++;
  const auto earlier = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const Waiting& each) { return each.record.key == key; });
  if (earlier == waiting_.end()) {
    waiting_.push_back({{key, value, kNoOffset}, ticket});
  } else {
    // Keeps its place: who waits for the earlier ticket must not wait for all put in between.
    earlier->record.value = value;
  }
  return ticket;
}

bool Outbox::Withdraw(const std::string& key) {
  return std::erase_if(waiting_, [&](const Waiting& each) { return each.record.key == key; }) > 0;
}

std::vector<KeyedRecord> Outbox::Take() {
  std::vector<KeyedRecord> records;
  size_t bytes = 0;
  auto last = waiting_.begin();
  for (; last != waiting_.end(); ++last) {
    bytes += last->record.key.size() + last->record.value.size() + kRecordOverhead;
    if (!records.empty() && bytes > most_bytes_) break;
    records.push_back(last->record);
  }
  waiting_.erase(waiting_.begin(), last);
  on_way_ = waiting_.empty() ? next_ - 1 : waiting_.front().ticket - 1;
  return records;
}

void Outbox::MarkDurable() { kept_ = std::max(kept_, on_way_); }

}  // namespace turmericshift::pool
