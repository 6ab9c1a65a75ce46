// A process of the system under soak: started, signalled from outside, and started again when it
// has ended, as the platform does.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/thread.h"

namespace turmericshift::soak {

struct SoakProcessOptions {
  std::string name;
  // Program and arguments.
  std::vector<std::string> command;
  // Gets a file for the standard output of each life.
  std::string folder;
  // The line that says where it listens.
  std::string started_event = "started";
};

class SoakProcess {
 public:
  // `started` gets the fields of the process's own line `started`, from a thread of this.
  // `on_unexpected_end` hears of ends that no signal of ours asked for.
  SoakProcess(const SoakProcessOptions& options, std::function<void(const nlohmann::json&)> started,
              std::function<void(const std::string&)> on_unexpected_end);
  // Kills it.
  ~SoakProcess();
  SoakProcess(const SoakProcess&) = delete;
  SoakProcess& operator=(const SoakProcess&) = delete;

  const std::string& name() const { return options_.name; }
  // Sends a signal to the life that runs now, if any.
  void Signal(int signal);
  // The process started again is another than the one that ran at `life`.
  int incarnation() const { return incarnation_.load(); }
  bool runs(int incarnation) const { return incarnation_.load() == incarnation && pid_.load() > 0; }
  // Whether `life` was asked to end in order and nothing else was done to it.
  bool stops_gracefully(int incarnation) const;

 private:
  void Run();
  pid_t Spawn(const std::string& output) const;
  // Waits for the line `started`, then for the end; returns the wait status.
  int WaitForEnd(pid_t pid, const std::string& output);
  bool ReportStarted(const std::string& output) const;

  const SoakProcessOptions options_;
  const std::function<void(const nlohmann::json&)> on_started_;
  const std::function<void(const std::string&)> on_unexpected_end_;
  std::mutex signal_mutex_;
  std::atomic<pid_t> pid_{0};
  std::atomic<int> incarnation_{0};
  std::atomic<bool> end_requested_{false};
  std::atomic<int> sigterm_count_{0};
  std::atomic<bool> interrupted_{false};
  std::atomic<bool> stopping_{false};
  Thread thread_;
};

}  // namespace turmericshift::soak
