// The ids of the newest records of a stream. A writer that lost an append's answer appends again,
// so a record may stand in the log twice, the second time after others that it must not undo: a
// repeated "zone out" after another operator's "zone in", or a repeated claim of a planner's duty.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_set>

namespace turmericshift {

// Bounded by a count of records and not by time, so that all readers forget the same ids at the
// same offset. Writers give up within seconds; at several hundred records a second this many cover
// more than ten.
inline constexpr size_t kRecordWindowSize = 8192;

class RecordWindow {
 public:
  // Whether the id was not seen within the window; remembers it.
  bool Add(const std::string& id);

  nlohmann::json Snapshot() const;
  void Restore(const nlohmann::json& state);

 private:
  std::deque<uint64_t> order_;
  std::unordered_set<uint64_t> known_;
};

}  // namespace turmericshift
