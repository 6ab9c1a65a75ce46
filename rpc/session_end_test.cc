// The ways in which a session's loop ends while other threads use it.
#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
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
#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);
using GateClient = wire::Gate::Client;

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

std::unique_ptr<GateClient> PeerGate(Session* session) {
  return session->Call(
      [session] {
        return kj::Promise<std::unique_ptr<GateClient>>(
            std::make_unique<GateClient>(session->Bootstrap().castAs<wire::Gate>()));
      },
      kTimeout);
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

// Starts a session whose bootstrap factory throws, and expects that it ends.
template <typename Exception>
void ExpectEndsIfBootstrapThrows(const Exception& exception) {
  RunGuarded([&] {
    const SocketPair sockets;
    const auto throwing = [&](Session* /*session*/) -> capnp::Capability::Client {
      throw exception;
    };
    const auto session =
        Session::Open(sockets.ends[0], Session::Side::kAccepting, "session", throwing);
    AwaitEnd(sockets.ends[1]);
    session->WaitClosed();
    EXPECT_TRUE(session->closed());
    ExpectConnectionLost([&] { CallPeer(session.get()); });
  });
}

// If the accept loop waited forever for a session that can't start, the entry would take no agent
// any more.
TEST(SessionEnd, ReturnsIfTheBootstrapThrowsAnError) {
  ExpectEndsIfBootstrapThrows(Error(ErrorKind::kUnavailable, "thrown by the test"));
}

TEST(SessionEnd, ReturnsIfTheBootstrapLacksMemory) {
  ExpectEndsIfBootstrapThrows(std::bad_alloc());
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

// A peer of a session that can't start would wait on an open connection, and the descriptor would
// be lost.
TEST(SessionEnd, ClosesTheSocketIfItsThreadCantStart) {
  RunGuarded([] {
    const SocketPair sockets;
    ErrorKind kind = ErrorKind::kInternal;
    {
      const ThreadShortage shortage("");
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

// A bootstrap capability whose destructor, which runs on the session's loop, calls a function.
class Gate : public wire::Gate::Server {
 public:
  explicit Gate(std::function<void()> on_destroyed) : on_destroyed_(std::move(on_destroyed)) {}
  virtual ~Gate() noexcept(false) { on_destroyed_(); }

 private:
  const std::function<void()> on_destroyed_;
};

// An exception ends the loop while other threads hand it calls. If the loop were destroyed before
// the calls have ended, these threads could wait forever.
void FailCallsThatComeWhileItEnds(int rounds, const std::function<void()>& throw_exception) {
  constexpr int kCallers = 4;
  for (int round = 0; round < rounds; ++round) {
    RunGuarded([&throw_exception] {
      const SocketPair sockets;
      std::latch ending(1);
      std::latch entered(kCallers);
      const auto throws = [&] {
        ending.count_down();
        entered.wait();
        throw_exception();
      };
      const auto make_gate = [&](Session* session) -> capnp::Capability::Client {
        session->Admit();
        return kj::heap<Gate>(throws);
      };
      const auto session =
          Session::Open(sockets.ends[0], Session::Side::kAccepting, "session", make_gate);
      std::vector<Thread> callers;
      callers.reserve(kCallers);
      for (int i = 0; i < kCallers; ++i) {
        callers.emplace_back("caller", [&] {
          ending.wait();
          entered.count_down();
          ExpectConnectionLost([&] {
            while (true) CallPeer(session.get());
          });
        });
      }
      close(sockets.ends[1]);
      for (Thread& caller : callers) caller.Join();
      session->WaitClosed();
    });
  }
}

void ThrowError() { throw Error(ErrorKind::kInternal, "thrown by the test"); }
void ThrowLibraryException() {
  kj::throwFatalException(KJ_EXCEPTION(FAILED, "thrown by the test"));
}

TEST(SessionEnd, FailsCallsThatComeWhileItEndsByAnError) {
  FailCallsThatComeWhileItEnds(1, ThrowError);
}
TEST(SessionEnd, FailsCallsThatComeWhileItEndsByAnExceptionOfTheLibrary) {
  // Whether a caller hangs depends on the order of the threads inside the library.
  constexpr int kRounds = 100;
  FailCallsThatComeWhileItEnds(kRounds, ThrowLibraryException);
}

// A gate whose call never ends; calls a function when the call is destroyed.
class PendingGate final : public Gate {
 public:
  PendingGate(std::function<void()> on_destroyed, std::function<void()> on_call_destroyed,
              std::latch* called)
      : Gate(std::move(on_destroyed)),
        on_call_destroyed_(std::move(on_call_destroyed)),
        called_(called) {}

  kj::Promise<void> challenge(ChallengeContext /*context*/) override {
    called_->count_down();
    kj::Promise<void> pending = kj::NEVER_DONE;
    return pending.attach(kj::defer(on_call_destroyed_));
  }

 private:
  const std::function<void()> on_call_destroyed_;
  std::latch* const called_;
};

// Ends a session by `end` during a call of its peer. When the call is destroyed, it uses the
// session on the session's own loop, as the destructor of an agent's port does.
void ExpectEndsIfUsedOnItsOwnLoop(const std::function<void()>& end,
                                  const std::function<void(Session*)>& use) {
  RunGuarded([&] {
    const SocketPair sockets;
    std::latch called(1);
    std::atomic<int> used{0};
    const auto make_gate = [&](Session* session) -> capnp::Capability::Client {
      session->Admit();
      return kj::heap<PendingGate>(
          end,
          [&used, &use, session] {
            used.fetch_add(1);
            use(session);
          },
          &called);
    };
    const auto session =
        Session::Open(sockets.ends[0], Session::Side::kAccepting, "session", make_gate);
    const auto peer = Session::Open(sockets.ends[1], Session::Side::kConnecting, "peer", nullptr);
    Thread caller("caller", [&] { ExpectConnectionLost([&] { CallPeer(peer.get()); }); });
    called.wait();
    session->Close();
    session->WaitClosed();
    caller.Join();
    peer->WaitClosed();
    EXPECT_EQ(used.load(), 1);
  });
}

void EndNormally() {}

void ReleaseOn(Session* session) {
  session->Release(std::make_unique<capnp::Capability::Client>(nullptr));
}
void CallOn(Session* session) { EXPECT_THROW(CallPeer(session), Error); }

// A session thread that waited for itself would never end.
TEST(SessionEnd, ReleasesOnItsOwnLoopWhileItEnds) {
  ExpectEndsIfUsedOnItsOwnLoop(EndNormally, ReleaseOn);
}
TEST(SessionEnd, ReleasesOnItsOwnLoopWhileItEndsByAnError) {
  ExpectEndsIfUsedOnItsOwnLoop(ThrowError, ReleaseOn);
}
TEST(SessionEnd, ReleasesOnItsOwnLoopWhileItEndsByAnExceptionOfTheLibrary) {
  ExpectEndsIfUsedOnItsOwnLoop(ThrowLibraryException, ReleaseOn);
}
TEST(SessionEnd, FailsACallOnItsOwnLoopWhileItEnds) {
  ExpectEndsIfUsedOnItsOwnLoop(EndNormally, CallOn);
}
TEST(SessionEnd, FailsACallOnItsOwnLoopWhileItEndsByAnError) {
  ExpectEndsIfUsedOnItsOwnLoop(ThrowError, CallOn);
}
TEST(SessionEnd, FailsACallOnItsOwnLoopWhileItEndsByAnExceptionOfTheLibrary) {
  ExpectEndsIfUsedOnItsOwnLoop(ThrowLibraryException, CallOn);
}

// Two connected sessions.
struct Connection {
  Connection() {
    const SocketPair sockets;
    const auto make_gate = [](Session* session) -> capnp::Capability::Client {
      session->Admit();
      return kj::heap<Gate>(EndNormally);
    };
    server = Session::Open(sockets.ends[0], Session::Side::kAccepting, "server", make_gate);
    client = Session::Open(sockets.ends[1], Session::Side::kConnecting, "client", nullptr);
  }
  ~Connection() {
    client->Close();
    server->Close();
    client->WaitClosed();
    server->WaitClosed();
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  std::shared_ptr<Session> server;
  std::shared_ptr<Session> client;
};

// A loop can't wait for a call to itself.
TEST(SessionEnd, FailsACallOnItsOwnLoop) {
  RunGuarded([] {
    const Connection connection;
    Session* const client = connection.client.get();
    client->Call(
        [&]() -> kj::Promise<void> {
          EXPECT_THROW(CallPeer(client), Error);
          return kj::READY_NOW;
        },
        kTimeout);
    client->Release(PeerGate(client));
  });
}

// An exception that is not the library's fails the call only.
TEST(SessionEnd, GoesOnIfACallThrows) {
  RunGuarded([] {
    const Connection connection;
    Session* const client = connection.client.get();
    const auto throwing = []() -> kj::Promise<void> { throw std::bad_alloc(); };
    EXPECT_THROW(client->Call(throwing, kTimeout), Error);
    client->Release(PeerGate(client));
    EXPECT_FALSE(client->closed());
  });
}

// A call that does not depend on the connection still ends at its deadline.
TEST(SessionEnd, EndsCallsAtTheirDeadlinesWhileItEnds) {
  RunGuarded([] {
    const Connection connection;
    Session* const client = connection.client.get();
    std::latch called(1);
    Thread caller("caller", [&] {
      try {
        client->Call(
            [&]() -> kj::Promise<void> {
              called.count_down();
              return kj::NEVER_DONE;
            },
            std::chrono::milliseconds(200));
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kDeadlineExceeded) << error.what();
      }
    });
    called.wait();
    client->Close();
    client->WaitClosed();
    caller.Join();
  });
}

// Runs `action` for each session on the loop of the other, both at the same time.
void RunOnEachOther(const std::function<void(Session*)>& action) {
  RunGuarded([&] {
    const Connection first;
    const Connection second;
    Session* const a = first.client.get();
    Session* const b = second.client.get();
    std::latch both(2);
    const auto on_loop = [&](Session* loop, Session* other) {
      loop->Call(
          [&, other]() -> kj::Promise<void> {
            both.arrive_and_wait();
            action(other);
            return kj::READY_NOW;
          },
          kTimeout);
    };
    Thread thread("caller", [&] { on_loop(a, b); });
    on_loop(b, a);
  });
}

// A session that opens closes the one that it replaces. If two sessions replaced each other and
// waited, neither would end.
TEST(SessionEnd, TwoLoopsCloseEachOther) {
  RunOnEachOther([](Session* other) { other->Close(); });
}

TEST(SessionEnd, TwoLoopsReleaseCapabilitiesOfEachOther) { RunOnEachOther(ReleaseOn); }

// The listener that ends closes a session that is still being started.
TEST(SessionEnd, EndsIfItIsClosedBeforeItsStart) {
  RunGuarded([] {
    const SocketPair sockets;
    const auto make_gate = [](Session* session) -> capnp::Capability::Client {
      session->Close();
      return kj::heap<Gate>(EndNormally);
    };
    const auto session =
        Session::Open(sockets.ends[0], Session::Side::kAccepting, "session", make_gate);
    session->WaitClosed();
    AwaitEnd(sockets.ends[1]);
  });
}

// A capability's destructor accesses the tables of its connection, which only the loop may do.
TEST(SessionEnd, DestroysReleasedCapabilitiesOnItsLoop) {
  RunGuarded([] {
    std::thread::id loop;
    std::thread::id destroyed_on;
    {
      const Connection connection;
      connection.client->Call(
          [&]() -> kj::Promise<void> {
            loop = std::this_thread::get_id();
            return kj::READY_NOW;
          },
          kTimeout);
      const auto note = [&] { destroyed_on = std::this_thread::get_id(); };
      connection.client->Release(std::make_unique<Gate>(note));
    }
    EXPECT_EQ(destroyed_on, loop);
  });
}

}  // namespace
}  // namespace turmericshift
