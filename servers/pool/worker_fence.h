// Fencing tokens for workers. Each epoch of a planner owns a range of tokens that starts with the
// epoch's own number. Within an epoch, the token of a worker rises with each incarnation of that
// worker, so that an incarnation refuses orders which were sent to a former one, even if both have
// the same ID.
#pragma once

#include <cstdint>

#include "servers/membership/member_records.h"

namespace turmericshift::pool {

// Number of tokens of an epoch. Together with the bits of a run number that count starts, 2^15
// epochs fit into the 53 bits that JSON numbers keep exactly.
constexpr int64_t kFencesPerEpoch = int64_t{1} << 14;
static_assert(membership::kEpochLimit / kFencesPerEpoch == int64_t{1} << 15);

// Returns the epoch that follows `epoch`; no planner can have it if it reaches kEpochLimit.
constexpr int64_t NextEpoch(int64_t epoch) {
  return (epoch / kFencesPerEpoch + 1) * kFencesPerEpoch;
}

// Whether `fence` is the last token of its epoch. It has no successor within the epoch, so planners
// do not use a worker with this token.
constexpr bool IsLastFence(int64_t fence) { return fence % kFencesPerEpoch == kFencesPerEpoch - 1; }

// Returns the token for the incarnation that follows the one with token `fence`; the last token of
// an epoch is returned unchanged.
constexpr int64_t NextFence(int64_t fence) { return IsLastFence(fence) ? fence : fence + 1; }

}  // namespace turmericshift::pool
