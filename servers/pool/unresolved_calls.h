// Submissions whose outcome this process could not determine. Their record may still become durable
// and the job may run, so a later attempt that this process can't forward must not be answered with
// "never runs": a caller that believed that would submit the job a second time.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

class UnresolvedCalls {
 public:
  // `call`: host and path of the submission.
  void Record(const std::string& call, Time now);
  bool Contains(const std::string& call, Time now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Time> noted_at_;
};

}  // namespace turmericshift::pool
