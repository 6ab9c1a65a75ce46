// A process of the system under soak. It receives signals and is restarted whenever it ends, as the
// platform does.
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

// The platform kills a process this long after SIGTERM.
inline constexpr Duration kStopGracePeriod = std::chrono::seconds(6);

struct SoakProcessOptions {
  std::string name;
  // Program and arguments.
  std::vector<std::string> command;
  // Folder for one output file per incarnation of the process.
  std::string folder;
  // The log event in which the process reports its ports.
  std::string started_event = "started";
};

class SoakProcess {
 public:
  // `started` is called with the fields of the process's start event, in a thread of this class.
  // `on_unexpected_end` is called when the process ends without a SIGTERM or SIGKILL
  // sent by Signal.
  SoakProcess(const SoakProcessOptions& options, std::function<void(const nlohmann::json&)> started,
              std::function<void(const std::string&)> on_unexpected_end);
  // Kills the process.
  ~SoakProcess();
  SoakProcess(const SoakProcess&) = delete;
  SoakProcess& operator=(const SoakProcess&) = delete;

  const std::string& name() const { return options_.name; }
  // Sends a signal to the current incarnation, if it is running; returns its number, or 0 if none
  // runs.
  int Signal(int signal);
  // Number of the current incarnation; each restart increments it.
  int incarnation() const { return incarnation_.load(); }
  // Id of the running process; 0 if none runs.
  pid_t pid() const { return pid_.load(); }
  // Whether the running process has a TCP socket with this local port.
  bool owns_port(int port) const;
  bool runs(int incarnation) const { return incarnation_.load() == incarnation && pid_.load() > 0; }
  // Whether the current incarnation received SIGTERM or SIGKILL, even if it has not yet reacted.
  bool end_requested() const { return end_requested_.load(); }
  // Whether `incarnation` received one SIGTERM and neither SIGKILL nor SIGSTOP.
  bool stops_gracefully(int incarnation) const;

 private:
  void Run();
  pid_t Spawn(const std::string& output) const;
  // Waits for the start event, then for the end of the process; returns its wait status.
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

// A graceful stop of a process: SIGTERM, after which it must end within the platform's grace
// period.
class StopRequest {
 public:
  // `process` must outlive this object.
  explicit StopRequest(SoakProcess* process) : process_(process) {}

  // Sends SIGTERM to the current incarnation, if it is running.
  void Send();
  // Whether the incarnation that received the signal still runs.
  bool StillRuns() const;
  // When the grace of the process that received the signal is over.
  Time grace_ends_at() const;
  // Whether it still runs at `now` although its grace is over, and received no other signal that
  // disturbs its stop.
  bool Outlived(Time now) const;

 private:
  SoakProcess* const process_;
  // 0 if no process received the signal.
  int incarnation_ = 0;
  Time sent_at_{};
};

}  // namespace turmericshift::soak
