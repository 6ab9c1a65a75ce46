// Arithmetic of guaranteed cells: sizes on one zone's workers, and whether cells of several levels
// can be carved out of a supply. Cells nest as in a buddy allocator: two accelerators make a pair,
// two pairs a half, two halves a worker, some workers a rack.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "servers/config/environment.h"

namespace turmericshift {

// A number for each cell level. As a supply: how many cells of that level could be carved out.
using CellCounts = std::array<int64_t, kCellLevelCount>;

class CellSizes {
 public:
  CellSizes() = default;
  CellSizes(const TaskShape& worker, int workers_per_rack);

  const TaskShape& worker() const { return worker_; }
  int workers_per_rack() const { return workers_per_rack_; }
  // Only workers with a power of two of at least four accelerators split into smaller cells; on
  // others each smaller cell is given a whole worker.
  bool splits() const { return splits_; }
  // The level at which a cell of `level` is carved here.
  CellLevel Normalize(CellLevel level) const;
  // Accelerators of one cell; of a rack, in all its workers.
  int Accelerators(CellLevel level) const;
  // A cell's own part of its worker's processors, memory and accelerators.
  TaskShape Shape(CellLevel level) const;
  // The smallest level, up to a worker, whose shape holds `shape`; none if a worker does not.
  std::optional<CellLevel> LevelFor(const TaskShape& shape) const;
  // Cells of each level that `cells` use up or yield, counted at that level.
  CellCounts Cumulative(const std::vector<CellCount>& cells) const;
  // Cells of `inner` within one of `outer`.
  int64_t Ratio(CellLevel outer, CellLevel inner) const;
  // Aligned masks of the blocks of `level` on one worker; kRack counts as the worker.
  const std::vector<uint32_t>& Blocks(CellLevel level) const;

 private:
  TaskShape worker_;
  int workers_per_rack_ = 1;
  bool splits_ = false;
  std::array<std::vector<uint32_t>, kCellLevelCount> blocks_;
};

// Whether `shape` fits in `room`.
bool FitsIn(const TaskShape& shape, const TaskShape& room);
// `count` tasks of `shape` taken together.
TaskShape MultiplyShape(const TaskShape& shape, int count);
// The mask of accelerators 0 to count - 1.
uint32_t FirstAccelerators(int count);

}  // namespace turmericshift
