#include "servers/pool/announcement_verifier.h"

#include <algorithm>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// Bounds the memory that other writers can take. Workers repeat their announcements.
constexpr size_t kMaxUnverified = 16;

// Whether the answer shows which incarnation the worker is.
bool IsFromWorker(OrderAnswer answer) {
  return answer == OrderAnswer::kAccepted || answer == OrderAnswer::kOtherIncarnation ||
         answer == OrderAnswer::kInvalid;
}

}  // namespace

bool AnnouncementVerifier::IsVerified(const WorkerAnnouncement& announcement,
                                      int64_t start_time_ms) const {
  return announcement.facts.id == verified_id_ &&
         announcement.facts.start_time_ms == verified_start_time_ms_ &&
         verified_start_time_ms_ == start_time_ms;
}

void AnnouncementVerifier::Add(const WorkerAnnouncement& announcement) {
  const auto same = std::find_if(unverified_.begin(), unverified_.end(), [&](const auto& known) {
    return known.facts.id == announcement.facts.id &&
           known.facts.start_time_ms == announcement.facts.start_time_ms;
  });
  if (same != unverified_.end()) {
    if (announcement.sequence > same->sequence) *same = announcement;
    return;
  }
  if (unverified_.size() == kMaxUnverified) unverified_.pop_front();
  unverified_.push_back(announcement);
}

bool AnnouncementVerifier::Remove(const std::string& worker_id) {
  return std::erase_if(unverified_, [&](const auto& each) { return each.facts.id == worker_id; }) >
         0;
}

std::optional<std::string> AnnouncementVerifier::NextId() {
  if (check_in_flight_ || unverified_.empty()) return std::nullopt;
  check_in_flight_ = true;
  return unverified_.front().facts.id;
}

std::optional<WorkerAnnouncement> AnnouncementVerifier::HandleAnswer(const std::string& worker_id,
                                                                     const HoldAnswer& answer) {
  check_in_flight_ = false;
  if (!IsFromWorker(answer.answer)) {
    // The next check is for another ID, if there is one.
    std::rotate(unverified_.begin(), unverified_.begin() + (unverified_.empty() ? 0 : 1),
                unverified_.end());
    return std::nullopt;
  }
  std::optional<WorkerAnnouncement> verified;
  for (const WorkerAnnouncement& each : unverified_) {
    if (each.facts.id != worker_id) continue;
    const bool accepted = answer.answer == OrderAnswer::kAccepted;
    if (accepted && each.facts.start_time_ms == answer.lists.start_time_ms) {
      verified = each;
      verified_id_ = worker_id;
      verified_start_time_ms_ = each.facts.start_time_ms;
      continue;
    }
    LogEvent(LogLevel::kWarning, "announcement_rejected",
             {{"worker", worker_id},
              {"service", each.facts.service},
              {"born_ms", each.facts.start_time_ms},
              {"answer", OrderAnswerName(answer.answer)},
              {"answered_born_ms", answer.lists.start_time_ms}});
  }
  std::erase_if(unverified_, [&](const auto& each) { return each.facts.id == worker_id; });
  return verified;
}

}  // namespace turmericshift::pool
