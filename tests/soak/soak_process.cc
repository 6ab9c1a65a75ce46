#include "tests/soak/soak_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <system_error>
#include <thread>

#include "core/logging.h"

namespace turmericshift::soak {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(10);
// The platform restarts a process after a short delay.
constexpr Duration kRestartDelay = std::chrono::milliseconds(200);

}  // namespace

SoakProcess::SoakProcess(const SoakProcessOptions& options,
                         std::function<void(const nlohmann::json&)> started,
                         std::function<void(const std::string&)> on_unexpected_end)
    : options_(options),
      on_started_(std::move(started)),
      on_unexpected_end_(std::move(on_unexpected_end)),
      thread_("process", [this] { Run(); }) {}

SoakProcess::~SoakProcess() {
  stopping_.store(true);
  Signal(SIGKILL);
}

int SoakProcess::Signal(int signal) {
  // The process is reaped under the same lock, so its id cannot have been reused.
  const std::lock_guard<std::mutex> lock(signal_mutex_);
  const pid_t pid = pid_.load();
  if (pid <= 0) return 0;
  if (signal == SIGKILL || signal == SIGTERM) end_requested_.store(true);
  if (signal == SIGTERM) sigterm_count_.fetch_add(1);
  if (signal == SIGKILL || signal == SIGSTOP) interrupted_.store(true);
  kill(pid, signal);
  return incarnation_.load();
}

bool SoakProcess::stops_gracefully(int incarnation) const {
  return incarnation_.load() == incarnation && sigterm_count_.load() == 1 && !interrupted_.load();
}

bool SoakProcess::owns_port(int port) const {
  std::ifstream sockets("/proc/net/tcp");
  std::set<std::string> links;
  std::string line;
  while (std::getline(sockets, line)) {
    // The fields of a row: number, local address, ..., inode as the tenth.
    std::istringstream row(line);
    std::vector<std::string> fields{std::istream_iterator<std::string>(row), {}};
    const size_t colon = fields.size() < 10 ? std::string::npos : fields[1].find(':');
    if (colon == std::string::npos) continue;
    const bool has_port = std::strtol(fields[1].c_str() + colon + 1, nullptr, 16) == port;
    if (has_port) links.insert("socket:[" + fields[9] + "]");
  }
  std::error_code error;
  std::error_code closed;
  const std::string folder = "/proc/" + std::to_string(pid_.load()) + "/fd";
  std::filesystem::directory_iterator file(folder, error);
  for (; !error && file != std::filesystem::directory_iterator(); file.increment(error)) {
    if (links.count(std::filesystem::read_symlink(*file, closed).string()) > 0) return true;
  }
  return false;
}

pid_t SoakProcess::Spawn(const std::string& output) const {
  std::vector<char*> arguments;
  for (const std::string& word : options_.command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  const pid_t pid = fork();
  if (pid != 0) {
    close(file);
    return pid;
  }
  // A process that outlives a killed soak would keep calling ports that others may use by now.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

bool SoakProcess::ReportStarted(const std::string& output) const {
  std::ifstream lines(output);
  std::string line;
  while (std::getline(lines, line)) {
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object() || event.value("event", "") != options_.started_event) continue;
    on_started_(event);
    return true;
  }
  return false;
}

int SoakProcess::WaitForEnd(pid_t pid, const std::string& output) {
  bool reported = false;
  while (true) {
    if (!reported) reported = ReportStarted(output);
    {
      const std::lock_guard<std::mutex> lock(signal_mutex_);
      int status = 0;
      if (waitpid(pid, &status, WNOHANG) == pid) {
        pid_.store(0);
        return status;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void SoakProcess::Run() {
  while (!stopping_.load()) {
    const int incarnation = incarnation_.fetch_add(1) + 1;
    const std::string output =
        options_.folder + "/" + options_.name + "." + std::to_string(incarnation) + ".log";
    end_requested_.store(false);
    sigterm_count_.store(0);
    interrupted_.store(false);
    const pid_t pid = Spawn(output);
    pid_.store(pid);
    // The destructor may have run before there was a process to kill.
    if (stopping_.load()) Signal(SIGKILL);
    const int status = WaitForEnd(pid, output);
    LogEvent(LogLevel::kInfo, "process_over",
             {{"name", options_.name}, {"life", incarnation}, {"status", status}});
    if (!end_requested_.load()) on_unexpected_end_(options_.name);
    std::this_thread::sleep_for(kRestartDelay);
  }
}

void StopRequest::Send() {
  incarnation_ = process_->Signal(SIGTERM);
  sent_at_ = LeaseClock().Now();
}

bool StopRequest::StillRuns() const { return process_->runs(incarnation_); }

Time StopRequest::grace_ends_at() const { return sent_at_ + kStopGracePeriod; }

bool StopRequest::Outlived(Time now) const {
  return now >= grace_ends_at() && StillRuns() && process_->stops_gracefully(incarnation_);
}

}  // namespace turmericshift::soak
