#include "tests/stand_ins/hang_guard.h"

#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>

#include "core/thread.h"

namespace turmericshift {
namespace {

constexpr std::chrono::seconds kHangLimit(60);

}  // namespace

void RunGuarded(const std::function<void()>& body) {
  std::promise<void> returned;
  const std::future<void> watched = returned.get_future();
  Thread thread("guarded", [&] {
    body();
    returned.set_value();
  });
  if (watched.wait_for(kHangLimit) == std::future_status::ready) return;
  std::cerr << "the test still waits after " << kHangLimit.count() << " s" << std::endl;
  std::abort();
}

}  // namespace turmericshift
