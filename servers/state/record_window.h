// Ids of the most recent records of a stream, for ignoring duplicates. A writer that lost the
// answer to an append appends again, so the log may contain a record twice. The second copy must
// not undo the records in between: a repeated "zone out" after another operator's "zone in", or a
// repeated planner claim.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_set>

namespace turmericshift {

// Bounded by a number of records and not by time, so that all readers forget the same ids at the
// same offset. Writers give up within seconds; at several hundred records a second, this window
// covers more than ten seconds.
inline constexpr size_t kRecordWindowSize = 8192;

class RecordWindow {
 public:
  // Remembers the id. Returns false if the id is in the window already.
  bool Add(const std::string& id);

  nlohmann::json Snapshot() const;
  void Restore(const nlohmann::json& state);

 private:
  std::deque<uint64_t> order_;
  std::unordered_set<uint64_t> known_;
};

}  // namespace turmericshift
