#include "main/benches/load_generator.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "core/error.h"
#include "core/thread.h"

namespace turmericshift {
namespace {

constexpr int kAnswered = 200;

bool Perform(const HttpCall& call) {
  try {
    return PerformHttp(call).status == kAnswered;
  } catch (const Error&) {
    return false;
  }
}

}  // namespace

double LoadResult::Quantile(double share) const {
  if (latencies.empty()) return 0;
  std::vector<double> sorted = latencies;
  const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
  return sorted[static_cast<size_t>(index)];
}

double LoadResult::AnsweredPerSecond() const {
  return elapsed_seconds == 0 ? 0 : static_cast<double>(latencies.size()) / elapsed_seconds;
}

LoadResult GenerateLoad(const LoadOptions& options, const std::function<HttpCall(int)>& call) {
  LoadResult result;
  std::mutex mutex;
  std::atomic<int> next{0};
  const Time begun = DefaultClock().Now();
  const Time end = begun + options.duration;
  const auto run = [&] {
    std::vector<double> latencies;
    while (true) {
      const int number = next.fetch_add(1);
      if (options.rate > 0) {
        std::this_thread::sleep_until(begun + FromSeconds(number / options.rate));
      }
      const Time sent = DefaultClock().Now();
      if (sent >= end) break;
      if (Perform(call(number))) latencies.push_back(Seconds(DefaultClock().Now() - sent));
    }
    const std::lock_guard<std::mutex> lock(mutex);
    result.latencies.insert(result.latencies.end(), latencies.begin(), latencies.end());
  };
  std::vector<Thread> threads;
  threads.reserve(static_cast<size_t>(options.threads));
  for (int index = 0; index < options.threads; ++index) threads.emplace_back("load", run);
  threads.clear();
  // Each thread drew one number after the end that it did not use for a call.
  result.sent = next.load() - options.threads;
  result.elapsed_seconds = Seconds(DefaultClock().Now() - begun);
  return result;
}

}  // namespace turmericshift
