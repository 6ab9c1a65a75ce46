#include "servers/planner/cells.h"

#include <algorithm>
#include <bit>

namespace turmericshift {
namespace {

constexpr int kMinAcceleratorsToSplit = 4;
constexpr std::array<CellLevel, kCellLevelCount> kLevels = {CellLevel::kAccelerator,
                                                            CellLevel::kPair, CellLevel::kHalf,
                                                            CellLevel::kWorker, CellLevel::kRack};

}  // namespace

bool FitsIn(const TaskShape& shape, const TaskShape& room) {
  return shape.processors <= room.processors && shape.memory_bytes <= room.memory_bytes &&
         shape.accelerators <= room.accelerators;
}

TaskShape MultiplyShape(const TaskShape& shape, int count) {
  return {shape.processors * count, shape.memory_bytes * count, shape.accelerators * count};
}

uint32_t FirstAccelerators(int count) {
  return count >= 32 ? ~uint32_t{0} : (uint32_t{1} << count) - 1;
}

CellSizes::CellSizes(const TaskShape& worker, int workers_per_rack)
    : worker_(worker), workers_per_rack_(std::max(1, workers_per_rack)) {
  const int accelerators = worker.accelerators;
  splits_ = accelerators >= kMinAcceleratorsToSplit &&
            std::has_single_bit(static_cast<unsigned>(accelerators));
  for (const CellLevel level : kLevels) {
    std::vector<uint32_t>& blocks = blocks_[static_cast<size_t>(level)];
    if (level >= CellLevel::kWorker || !splits_) {
      // A worker without accelerators still needs one bit to be marked as held.
      blocks = {FirstAccelerators(std::max(1, accelerators))};
      continue;
    }
    const int size = Accelerators(level);
    for (int first = 0; first < accelerators; first += size) {
      blocks.push_back(FirstAccelerators(size) << first);
    }
  }
}

CellLevel CellSizes::Normalize(CellLevel level) const {
  return splits_ ? level : std::max(level, CellLevel::kWorker);
}

int CellSizes::Accelerators(CellLevel level) const {
  switch (Normalize(level)) {
    case CellLevel::kAccelerator:
      return 1;
    case CellLevel::kPair:
      return 2;
    case CellLevel::kHalf:
      return worker_.accelerators / 2;
    case CellLevel::kWorker:
      return worker_.accelerators;
    case CellLevel::kRack:
      return worker_.accelerators * workers_per_rack_;
  }
  return 0;
}

TaskShape CellSizes::Shape(CellLevel level) const {
  const CellLevel normal = Normalize(level);
  if (normal == CellLevel::kRack) return MultiplyShape(worker_, workers_per_rack_);
  if (normal == CellLevel::kWorker) return worker_;
  const int accelerators = Accelerators(normal);
  return {worker_.processors * accelerators / worker_.accelerators,
          worker_.memory_bytes / worker_.accelerators * accelerators, accelerators};
}

std::optional<CellLevel> CellSizes::LevelFor(const TaskShape& shape) const {
  for (const CellLevel level : kLevels) {
    if (level > CellLevel::kWorker) break;
    if (Normalize(level) == level && FitsIn(shape, Shape(level))) return level;
  }
  return std::nullopt;
}

int64_t CellSizes::Ratio(CellLevel outer, CellLevel inner) const {
  outer = Normalize(outer);
  inner = Normalize(inner);
  if (outer < inner) return 0;
  if (inner == CellLevel::kRack) return 1;
  const int64_t racks = outer == CellLevel::kRack ? workers_per_rack_ : 1;
  const CellLevel top = std::min(outer, CellLevel::kWorker);
  if (top == inner) return racks;
  return racks * Accelerators(top) / Accelerators(inner);
}

CellCounts CellSizes::Cumulative(const std::vector<CellCount>& cells) const {
  CellCounts counts{};
  for (const CellCount& cell : cells) {
    for (const CellLevel level : kLevels) {
      if (Normalize(level) != level) continue;
      counts[static_cast<size_t>(level)] += cell.count * Ratio(cell.level, level);
    }
  }
  return counts;
}

const std::vector<uint32_t>& CellSizes::Blocks(CellLevel level) const {
  return blocks_[static_cast<size_t>(level)];
}

}  // namespace turmericshift
