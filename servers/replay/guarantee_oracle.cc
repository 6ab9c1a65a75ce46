#include "servers/replay/guarantee_oracle.h"

#include <algorithm>
#include <functional>

namespace turmericshift {
namespace {

// The free cells of a workspace, each represented by its number of accelerators. A cell of level
// kRack is represented by one entry for each worker of the rack.
class CellTable {
 public:
  CellTable(const std::vector<CellCount>& cells, const AvailabilityZoneSpec& zone) : zone_(zone) {
    for (const CellCount& cell : cells) {
      const bool rack = cell.level == CellLevel::kRack;
      const int count = cell.count * (rack ? zone.workers_per_rack : 1);
      const int size = CellAccelerators(rack ? CellLevel::kWorker : cell.level, zone);
      free_.insert(free_.end(), count, size);
    }
  }

  // Allocates cells for all tasks of the job. Returns false and changes nothing if the job does not
  // fit.
  bool Allocate(const JobSpec& spec) {
    const int task_size = SizeOf(spec.shape);
    const bool same_worker = spec.adjacency == Adjacency::kSameWorker;
    // The document does not say which cells are in the same rack, so such gangs never count as
    // covered.
    if (spec.adjacency == Adjacency::kSameRack && spec.tasks > 1) return false;
    std::vector<int> trial = free_;
    const int pieces = same_worker ? 1 : spec.tasks;
    const int size = same_worker ? task_size * spec.tasks : task_size;
    for (int piece = 0; piece < pieces; ++piece) {
      if (!AllocatePiece(size, &trial)) return false;
    }
    free_ = std::move(trial);
    return true;
  }

 private:
  // The number of accelerators of the smallest cell whose share of the worker's resources holds the
  // task.
  int SizeOf(const TaskShape& shape) const {
    const TaskShape& worker = zone_.worker;
    int size = 1;
    while (size < worker.accelerators &&
           (size < shape.accelerators ||
            int64_t{shape.processors} * worker.accelerators > int64_t{worker.processors} * size ||
            shape.memory_bytes > worker.memory_bytes / worker.accelerators * size)) {
      size *= 2;
    }
    return size;
  }

  static bool AllocatePiece(int size, std::vector<int>* cells) {
    // Best fit: uses the smallest cell with at least `size` accelerators.
    std::sort(cells->begin(), cells->end());
    const auto cell = std::lower_bound(cells->begin(), cells->end(), size);
    if (cell == cells->end()) return false;
    // The rest of the cell is split into halves, down to `size`.
    int rest = *cell;
    cells->erase(cell);
    while (rest / 2 >= size) {
      rest /= 2;
      cells->push_back(rest);
    }
    return true;
  }

  const AvailabilityZoneSpec& zone_;
  std::vector<int> free_;
};

}  // namespace

int CellAccelerators(CellLevel level, const AvailabilityZoneSpec& zone) {
  switch (level) {
    case CellLevel::kAccelerator:
      return 1;
    case CellLevel::kPair:
      return 2;
    case CellLevel::kHalf:
      return zone.worker.accelerators / 2;
    case CellLevel::kWorker:
      return zone.worker.accelerators;
    case CellLevel::kRack:
      return zone.worker.accelerators * zone.workers_per_rack;
  }
  return 0;
}

std::set<std::string> CoveredJobs(const ZoneView& view, const std::string& workspace,
                                  const std::vector<CellCount>& cells) {
  std::set<std::string> covered;
  const AvailabilityZoneSpec* zone = view.environment->FindZone(view.zone);
  if (zone == nullptr || !view.in || zone->worker.accelerators == 0) return covered;
  CellTable table(cells, *zone);
  for (const RunningJob& job : view.running) {
    // A workspace that uses more than its guarantee has nothing to claim.
    if (job.spec.workspace == workspace && !table.Allocate(job.spec)) return covered;
  }
  std::vector<const WaitingJob*> waiting;
  for (const WaitingJob& job : view.waiting) {
    if (job.spec.workspace == workspace && job.spec.shape.accelerators > 0) waiting.push_back(&job);
  }
  std::sort(waiting.begin(), waiting.end(), [](const WaitingJob* left, const WaitingJob* right) {
    return left->sequence < right->sequence;
  });
  for (const WaitingJob* job : waiting) {
    if (table.Allocate(job->spec)) covered.insert(job->id);
  }
  return covered;
}

}  // namespace turmericshift
