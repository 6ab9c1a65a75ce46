#include "rpc/session.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>
#include <vector>

#include "core/thread.h"
#include "rpc/generated/pool.capnp.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);

auto Ask(Session* session) {
  return session->Bootstrap().castAs<wire::PoolGate>().cancelRequest().send();
}

// The peer is gone, and while the session takes leave of it, calls of other threads are queued for
// its loop. They were run once more after the connection had been dropped, and the process crashed;
// an agent's worker was then without its agent until it had been started again.
TEST(Session, FailsCallsThatComeWhileItEnds) {
  std::array<int, 2> ends{};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  const std::shared_ptr<Session> session =
      Session::Open(ends[0], Session::Side::kConnecting, "session", nullptr);
  std::atomic<int> entered{0};
  std::atomic<int> failed{0};
  std::vector<Thread> callers;
  const auto call_again = [&] {
    constexpr int kCalls = 100;
    for (int i = 0; i < kCalls; ++i) {
      entered.fetch_add(1);
      try {
        session->Call([&] { return Ask(session.get()).ignoreResult(); }, kTimeout);
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
        failed.fetch_add(1);
      }
    }
  };
  // Runs on the session's loop once the connection has been dropped.
  const auto on_dropped = [&](kj::Exception&& exception) -> kj::Promise<void> {
    constexpr int kCallers = 4;
    for (int i = 0; i < kCallers; ++i) callers.emplace_back("caller", call_again);
    while (entered.load() < kCallers) std::this_thread::yield();
    return kj::mv(exception);
  };
  const auto first = [&] { return Ask(session.get()).ignoreResult().catch_(on_dropped); };
  Thread waiter("waiter", [&] {
    try {
      session->Call(first, kTimeout);
    } catch (const Error& error) {
      EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
      failed.fetch_add(1);
    }
  });
  close(ends[1]);
  waiter.Join();
  session->WaitClosed();
  for (Thread& caller : callers) caller.Join();
  EXPECT_EQ(failed.load(), entered.load() + 1);
}

}  // namespace
}  // namespace turmericshift
