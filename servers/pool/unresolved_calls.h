// Submissions of which this process could not say what became of them. Their record may still be
// kept and run, so that a later try that this process can't pass on must not be told that the job
// never runs: a caller that believed it would order a second time.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

class UnresolvedCalls {
 public:
  // `call`: host and path of the submission.
  void Note(const std::string& call, Time now);
  bool Contains(const std::string& call, Time now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Time> noted_at_;
};

}  // namespace turmericshift::pool
