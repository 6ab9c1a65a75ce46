// Arithmetic of guaranteed cells: the sizes of cells on the workers of one zone, and how many cells
// of each level a set of cells uses up. Cells nest as in a buddy allocator: two accelerators make a
// pair, two pairs a half, two halves a worker, and a fixed number of workers a rack.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "servers/config/environment.h"

namespace turmericshift {

// A count for each cell level. As a supply, the count of a level is the number of cells of that
// level that the free room could provide.
using CellCounts = std::array<int64_t, kCellLevelCount>;

class CellSizes {
 public:
  CellSizes() = default;
  CellSizes(const TaskShape& worker, int workers_per_rack);

  const TaskShape& worker() const { return worker_; }
  int workers_per_rack() const { return workers_per_rack_; }
  // True if workers split into cells smaller than a worker, which requires a power of two of at
  // least four accelerators. On other workers each smaller cell takes a whole worker.
  bool splits() const { return splits_; }
  // The level at which a cell of `level` is allocated on these workers: kWorker or above if workers
  // don't split into smaller cells.
  CellLevel Normalize(CellLevel level) const;
  // Accelerators of one cell of `level`. For kRack, the accelerators of all workers of the rack.
  int Accelerators(CellLevel level) const;
  // The share of a worker's processors, memory and accelerators that belongs to one cell of
  // `level`. For kRack, the total of all its workers.
  TaskShape Shape(CellLevel level) const;
  // The smallest level, at most kWorker, whose cells hold `shape`; none if even a whole worker is
  // too small.
  std::optional<CellLevel> LevelFor(const TaskShape& shape) const;
  // For each level, the number of cells of that level into which `cells` could be split if no other
  // level were needed.
  CellCounts Cumulative(const std::vector<CellCount>& cells) const;
  // The number of `inner` cells in one `outer` cell; 0 if `inner` is the larger level.
  int64_t Ratio(CellLevel outer, CellLevel inner) const;
  // Accelerator masks of the aligned blocks of `level` on one worker. For kRack, one block that
  // covers the worker.
  const std::vector<uint32_t>& Blocks(CellLevel level) const;

 private:
  TaskShape worker_;
  int workers_per_rack_ = 1;
  bool splits_ = false;
  std::array<std::vector<uint32_t>, kCellLevelCount> blocks_;
};

// True if `shape` fits in `room`.
bool FitsIn(const TaskShape& shape, const TaskShape& room);
// The total resources of `count` tasks of `shape`.
TaskShape MultiplyShape(const TaskShape& shape, int count);
// The mask of accelerators 0 to count - 1.
uint32_t FirstAccelerators(int count);

}  // namespace turmericshift
