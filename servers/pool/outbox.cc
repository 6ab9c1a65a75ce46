#include "servers/pool/outbox.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// Length field and key length of a record on the wire, rounded up.
constexpr size_t kRecordOverhead = 8;

}  // namespace

Ticket Outbox::Put(const std::string& key, const std::string& value) {
  const Ticket ticket = next_++;
  const auto earlier =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const PendingRecord& each) { return each.record.key == key; });
  if (earlier == waiting_.end()) {
    waiting_.push_back({{key, value, kNoOffset}, ticket});
  } else {
    // The record keeps its position and earlier ticket: a caller that waits for that ticket must
    // not wait for all records queued in between.
    earlier->record.value = value;
  }
  return ticket;
}

bool Outbox::Withdraw(const std::string& key) {
  return std::erase_if(waiting_,
                       [&](const PendingRecord& each) { return each.record.key == key; }) > 0;
}

std::vector<KeyedRecord> Outbox::Take() {
  std::vector<KeyedRecord> records;
  size_t bytes = 0;
  auto last = waiting_.begin();
  for (; last != waiting_.end(); ++last) {
    bytes += last->record.key.size() + last->record.value.size() + kRecordOverhead;
    if (!records.empty() && bytes > max_bytes_) break;
    records.push_back(last->record);
  }
  waiting_.erase(waiting_.begin(), last);
  newest_in_flight_ = waiting_.empty() ? next_ - 1 : waiting_.front().ticket - 1;
  return records;
}

void Outbox::MarkDurable() { durable_ = std::max(durable_, newest_in_flight_); }

}  // namespace turmericshift::pool
