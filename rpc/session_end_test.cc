// The ways in which a session's loop ends while other threads use it.
#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <future>
#include <latch>
#include <memory>
#include <new>
#include <thread>
#include <vector>

#include "core/thread.h"
#include "core/thread_pool.h"
#include "rpc/generated/peer.capnp.h"
#include "rpc/offload.h"
#include "rpc/session.h"
#include "tests/stand_ins/descriptor_shortage.h"
#include "tests/stand_ins/hang_guard.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);

struct SocketPair {
  SocketPair() { EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0); }
  std::array<int, 2> ends{};
};

// Waits until the other end of `fd` is closed, then closes `fd`.
void AwaitEnd(int fd) {
  std::array<char, 4096> bytes{};
  while (recv(fd, bytes.data(), bytes.size(), 0) > 0) {
  }
  close(fd);
}

void ExpectConnectionLost(const std::function<void()>& body) {
  try {
    body();
    ADD_FAILURE() << "did not fail";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
  }
}

// Calls the peer, which does not answer.
void CallPeer(Session* session) {
  session->Call(
      [session] {
        return session->Bootstrap().castAs<wire::Gate>().challengeRequest().send().ignoreResult();
      },
      kTimeout);
}

// A peer of a session that can't start would wait on an open connection.
TEST(SessionEnd, ClosesTheSocketIfItLacksDescriptors) {
  RunGuarded([] {
    const SocketPair sockets;
    std::shared_ptr<Session> session;
    {
      const DescriptorShortage shortage;
      session = Session::Open(sockets.ends[0], Session::Side::kConnecting, "session", nullptr);
    }
    session->WaitClosed();
    AwaitEnd(sockets.ends[1]);
    ExpectConnectionLost([&] { CallPeer(session.get()); });
  });
}

// Lets no thread start during its lifetime, for lack of address space for stacks.
class ThreadShortage {
 public:
  ThreadShortage() {
    ReserveHeap();
    threads_.reserve(kMaxThreads);
    getrlimit(RLIMIT_AS, &before_);
    rlimit low = before_;
    low.rlim_cur = 1;
    setrlimit(RLIMIT_AS, &low);
    // The C library reuses the stacks of threads that have ended.
    try {
      while (true) threads_.emplace_back("filler", [this] { ended_.wait(); });
    } catch (const Error&) {
      return;
    }
  }
  ~ThreadShortage() {
    setrlimit(RLIMIT_AS, &before_);
    ended_.count_down();
  }
  ThreadShortage(const ThreadShortage&) = delete;
  ThreadShortage& operator=(const ThreadShortage&) = delete;

 private:
  static constexpr size_t kMaxThreads = 1000;

  // Leaves free blocks on the heap, which can't grow during the shortage.
  static void ReserveHeap() {
    constexpr size_t kBlocks = 1000;
    constexpr size_t kBlockBytes = 1000;
    std::vector<std::unique_ptr<std::array<char, kBlockBytes>>> blocks(kBlocks);
    for (auto& block : blocks) block = std::make_unique<std::array<char, kBlockBytes>>();
  }

  rlimit before_{};
  std::latch ended_{1};
  std::vector<Thread> threads_;
};

// A peer of a session that can't start would wait on an open connection, and the descriptor would
// be lost.
TEST(SessionEnd, ClosesTheSocketIfItsThreadCantStart) {
  RunGuarded([] {
    const SocketPair sockets;
    ErrorKind kind = ErrorKind::kInternal;
    {
      const ThreadShortage shortage;
      try {
        Session::Open(sockets.ends[0], Session::Side::kConnecting, "session", nullptr);
      } catch (const Error& error) {
        kind = error.kind();
      }
    }
    EXPECT_EQ(kind, ErrorKind::kUnavailable);
    AwaitEnd(sockets.ends[1]);
  });
}

}  // namespace
}  // namespace turmericshift
