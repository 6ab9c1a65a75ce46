#include "tests/soak/operator_soak.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "core/error.h"
#include "tests/soak/operator_history.h"
#include "tests/soak/operator_pool.h"

namespace turmericshift::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kOperators = 2;
// The history shows at most this many versions, and every change must appear in it.
constexpr int kMaxChanges = 60;
constexpr Duration kPollInterval = milliseconds(20);
constexpr Duration kServingTimeout = seconds(60);

using Words = std::vector<std::string>;
using Random = std::mt19937_64;

Duration Between(Random* random, milliseconds least, milliseconds most) {
  return milliseconds(std::uniform_int_distribution<int64_t>(least.count(), most.count())(*random));
}

// Runs a command with its output in `path`; returns its exit status, or -1 if a signal ended it.
int RunCommand(const Words& words, const std::string& path) {
  std::vector<char*> arguments;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  const int errors = open((path + ".err").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(file, STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  close(file);
  close(errors);
  int status = 0;
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) continue;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

nlohmann::json ReadJson(const std::string& path) {
  std::ifstream file(path);
  return nlohmann::json::parse(file, nullptr, false);
}

// An operator that runs one command after the other.
class Operator {
 public:
  // `zone`: the zone that only this operator takes out and brings back.
  Operator(const OperatorSoakOptions& options, size_t number, const std::string& zone,
           const OperatorPool* pool, OperatorHistory* history)
      : options_(options),
        name_("operator-" + std::to_string(number)),
        zone_(zone),
        pool_(pool),
        history_(history),
        random_(options.seed * kOperators + number) {}

  void Run(const std::atomic<bool>& stopping, std::atomic<int>* changes) {
    while (!stopping.load()) {
      if (random_() % 2 == 0 && changes->fetch_add(1) < kMaxChanges) {
        Change();
      } else {
        Read();
      }
    }
  }

  // Runs a command that contacts the entries in random order.
  CommandEnd Execute(Words words, const std::string& change) {
    CommandEnd end;
    for (const std::string& word : words) end.command += word + " ";
    end.change = change;
    words.insert(words.begin(), options_.binary);
    if (!change.empty()) words.insert(words.end(), {"--change", change, "--wait", "1s"});
    words.insert(words.end(),
                 {"--json", "--entries", DrawEntries(), "--token-file", pool_->token_file()});
    const Time begun = LeaseClock().Now();
    end.status = RunCommand(words, output());
    end.duration = LeaseClock().Now() - begun;
    const nlohmann::json output_json = ReadJson(output());
    if (output_json.is_object()) end.version = output_json.value("version", int64_t{0});
    return end;
  }

  std::string output() const { return options_.folder + "/" + name_ + ".out"; }

 private:
  void Change() {
    const std::string change = name_ + "-" + std::to_string(++changes_);
    const bool publishes = random_() % 3 == 0;
    const Words words = publishes
                            ? Words{"config", "publish", "--zone-states", "keep", pool_->document()}
                            : Words{"zone", zone_in_ ? "out" : "in", zone_};
    const CommandEnd end = Execute(words, change);
    if (!publishes && end.version != 0) zone_in_ = !zone_in_;
    history_->RecordCommand(end);
  }

  void Read() {
    static const std::array<Words, 4> commands = {
        {{"status"}, {"config", "show"}, {"config", "history"}, {"zone", "show"}}};
    CommandEnd end = Execute(commands.at(random_() % commands.size()), "");
    end.version = 0;
    history_->RecordCommand(end);
  }

  std::string DrawEntries() {
    std::vector<std::string> addresses;
    for (size_t i = 0; i < kEntryCount; ++i) addresses.push_back(pool_->AddressOf(i));
    std::shuffle(addresses.begin(), addresses.end(), random_);
    std::string joined;
    for (const std::string& address : addresses) joined += address + " ";
    return joined;
  }

  const OperatorSoakOptions options_;
  const std::string name_;
  const std::string zone_;
  const OperatorPool* const pool_;
  OperatorHistory* const history_;
  Random random_;
  int changes_ = 0;
  bool zone_in_ = true;
};

// Injects overlapping series of faults into all entries but one until the time is over.
class OperatorFaults {
 public:
  OperatorFaults(uint64_t seed, OperatorPool* pool) : random_(seed), pool_(pool) {}

  void Play(Duration length) {
    const Time until = LeaseClock().Now() + length;
    while (LeaseClock().Now() < until) {
      const size_t unaffected = random_() % kEntryCount;
      std::vector<Thread> series;
      for (size_t entry = 0; entry < kEntryCount; ++entry) {
        if (entry == unaffected) continue;
        series.emplace_back("faults", [this, entry, seed = random_()] { PlayFaults(entry, seed); });
      }
      for (Thread& each : series) each.Join();
      WaitUntilAllServe();
    }
  }

  // Waits until every entry serves; returns false on a timeout.
  bool WaitUntilAllServe(bool published = true) const {
    const Time until = LeaseClock().Now() + kServingTimeout;
    for (size_t entry = 0; entry < kEntryCount; ++entry) {
      while (!pool_->Serves(entry, published)) {
        if (LeaseClock().Now() > until) return false;
        std::this_thread::sleep_for(kPollInterval);
      }
    }
    return true;
  }

 private:
  enum class Kind { kFreeze, kKill, kStop, kStopFrozen, kSilent, kDropBackward, kReset, kCount };

  // Injects one to three consecutive faults into one entry.
  void PlayFaults(size_t entry, uint64_t seed) const {
    Random random(seed);
    const OperatorPool::Entry& target = *pool_->entries()[entry];
    for (uint64_t left = 1 + random() % 3; left > 0; --left) {
      std::this_thread::sleep_for(Between(&random, milliseconds(0), milliseconds(500)));
      const auto kind = static_cast<Kind>(random() % static_cast<uint64_t>(Kind::kCount));
      Play(kind, target, Between(&random, milliseconds(200), milliseconds(3000)));
    }
  }

  static void Play(Kind kind, const OperatorPool::Entry& target, Duration lasts) {
    SoakProcess* const process = target.process.get();
    switch (kind) {
      case Kind::kKill:
        process->Signal(SIGKILL);
        return;
      case Kind::kStop:
        process->Signal(SIGTERM);
        return;
      case Kind::kFreeze:
        return Freeze(process, lasts);
      case Kind::kStopFrozen:
        process->Signal(SIGTERM);
        return Freeze(process, lasts);
      case Kind::kSilent:
        return ApplyRelayFault(target.operators.get(), RelayFault::kSilent, lasts);
      case Kind::kDropBackward:
        return ApplyRelayFault(target.operators.get(), RelayFault::kDropBackward, lasts);
      case Kind::kReset:
        return ApplyRelayFault(target.operators.get(), RelayFault::kReset, lasts);
      case Kind::kCount:
        return;
    }
  }

  static void Freeze(SoakProcess* process, Duration lasts) {
    process->Signal(SIGSTOP);
    std::this_thread::sleep_for(lasts);
    process->Signal(SIGCONT);
  }

  static void ApplyRelayFault(TcpRelay* relay, RelayFault fault, Duration lasts) {
    relay->SetFault(fault);
    std::this_thread::sleep_for(lasts);
    relay->SetFault(RelayFault::kNone);
  }

  Random random_;
  OperatorPool* const pool_;
};

void Play(const OperatorSoakOptions& options, OperatorHistory* history) {
  OperatorPool pool(options, [history](const std::string& name) {
    history->RecordViolation(name + " ended by itself");
  });
  OperatorFaults faults(options.seed, &pool);
  Operator first(options, kOperators, "", &pool, history);
  if (!faults.WaitUntilAllServe(false) ||
      first.Execute({"config", "publish", pool.document()}, "first").version != 1 ||
      !faults.WaitUntilAllServe()) {
    return history->RecordViolation("the entries did not start to serve in time");
  }
  std::atomic<bool> stopping{false};
  std::atomic<int> changes{0};
  std::vector<Thread> operators;
  for (size_t number = 0; number < kOperators; ++number) {
    operators.emplace_back("operator", [&, number] {
      const std::string zone(1, static_cast<char>('a' + number));
      Operator(options, number, zone, &pool, history).Run(stopping, &changes);
    });
  }
  faults.Play(options.length);
  stopping.store(true);
  for (Thread& each : operators) each.Join();
  if (!faults.WaitUntilAllServe()) {
    return history->RecordViolation("the entries did not recover in time");
  }
  first.Execute({"config", "history"}, "");
  history->CheckAtEnd(ReadJson(first.output()));
}

}  // namespace

int RunOperatorSoak(const OperatorSoakOptions& options) {
  OperatorHistory history;
  Play(options, &history);
  std::cout << "seed " << options.seed << ": " << history.Summary() << "\n";
  const std::vector<std::string> violations = history.violations();
  for (const std::string& violation : violations) std::cout << "  VIOLATION " << violation << "\n";
  return violations.empty() ? 0 : 1;
}

}  // namespace turmericshift::soak
