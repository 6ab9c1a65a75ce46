// Distinguishes faulty workers from faulty jobs by how runs end. A worker that fails every run
// looks idle and attracts work, so one faulty worker among eleven ruins far more than an eleventh
// of the runs; such a worker is quarantined for a while and then tried again. A job whose runs fail
// on several workers is itself at fault.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/clock.h"
#include "servers/learned/learned_part.h"

namespace turmericshift::pool {

class WorkerHealthTracker : public learned::LearnedPart {
 public:
  void RunFailed(const std::string& worker, const std::string& job, Time now);
  void RunDone(const std::string& worker);
  // The worker refused an order or did not answer it.
  void OrderFailed(const std::string& worker, Time now);
  // Called with every report in which none of the worker's runs makes progress.
  void RunsStalled(const std::string& worker, Time now);
  // The worker runs as the incarnation that started at `start_time_ms` (milliseconds since 1970).
  // Clears the worker's history unless it is of this incarnation.
  void BeginIncarnation(const std::string& worker, int64_t start_time_ms);

  // Whether the worker is quarantined and gets no work.
  bool IsQuarantined(const std::string& worker, Time now) const;
  // Whether that is because the worker does not carry out orders or its runs stall.
  bool IsPaused(const std::string& worker, Time now) const;
  // Whether the worker has failed a run recently; suspect workers are chosen last.
  bool IsSuspect(const std::string& worker, Time now) const;

  std::string name() const override { return "worker_failures"; }
  int version() const override { return 1; }
  Duration max_age() const override { return std::chrono::seconds(10); }
  nlohmann::json Save(size_t max_bytes, Time now) const override;
  void Load(const nlohmann::json& data, Duration age, Time now) override;

 private:
  struct Failure {
    std::string job;
    Time at{};
  };
  struct WorkerHistory {
    std::deque<Failure> failures;
    Time quarantined_until{};
    // Until when the worker gets no work because it does not carry out orders or its runs stall.
    Time paused_until{};
    int quarantine_count = 0;
  };

  // Counts the jobs that failed recently on this worker and on no other.
  int CountBlamedJobs(const std::string& worker, const WorkerHistory& history, Time now) const;
  void Evaluate(const std::string& worker, Time now);
  void PauseUntil(const std::string& worker, Time until);
  static nlohmann::json RowOf(const WorkerHistory& history, int64_t start_time_ms, Time now);
  // Reads a row that was saved `age` ago.
  static WorkerHistory HistoryFrom(const nlohmann::json& row, Duration age, Time now);

  std::map<std::string, WorkerHistory> histories_;
  // Start times of the workers' current incarnations, in milliseconds since 1970.
  std::map<std::string, int64_t> start_times_;
};

}  // namespace turmericshift::pool
