#include "tests/soak/soak_callers.h"

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include "core/listen_socket.h"
#include "tests/stand_ins/held_thread.h"

namespace turmericshift::soak {
namespace {

using platform::CallOutcome;

// A call that a graceful stop ends after this time must be reported.
constexpr std::chrono::milliseconds kReportedWait{400};

enum class Reaction {
  // Answers that the job is unknown.
  kAnswer,
  kRefuse,
  // Reads the request and closes the connection without an answer.
  kCut,
  // The same after kReportedWait.
  kCutLate,
};

// Reacts to one request after the other, then refuses connections.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<Reaction> reactions)
      : reactions_(std::move(reactions)),
        listener_(ListenSocket("127.0.0.1", 0)),
        port_(BoundPort(listener_)),
        thread_("server", [this] { Serve(); }) {}

  ~ScriptedServer() { Close(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  int port() const { return port_; }
  // Closes the connection that is still open after the last reaction.
  void Close() {
    if (!thread_.joinable()) return;
    closing_.set_value();
    thread_.Join();
  }

 private:
  void Serve() {
    int connection = -1;
    for (size_t i = 0; i < reactions_.size(); ++i) {
      if (connection < 0) connection = accept(listener_, nullptr, nullptr);
      ReadRequest(connection);
      if (reactions_[i] == Reaction::kCutLate) std::this_thread::sleep_for(kReportedWait);
      if (i + 1 == reactions_.size()) close(listener_);
      if (reactions_[i] == Reaction::kAnswer) {
        Answer(connection, "410 Gone");
      } else if (reactions_[i] == Reaction::kRefuse) {
        Answer(connection, "503 Service Unavailable");
      } else {
        close(connection);
        connection = -1;
      }
    }
    closing_.get_future().wait();
    if (connection >= 0) close(connection);
  }

  static void ReadRequest(int connection) {
    std::string request;
    char byte = 0;
    while (request.find("\r\n\r\n") == std::string::npos && recv(connection, &byte, 1, 0) == 1) {
      request.push_back(byte);
    }
  }

  static void Answer(int connection, const std::string& status) {
    const std::string answer = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}";
    EXPECT_EQ(send(connection, answer.data(), answer.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(answer.size()));
  }

  const std::vector<Reaction> reactions_;
  const int listener_;
  const int port_;
  std::promise<void> closing_;
  Thread thread_;
};

// Keeps the handle of the thread that relays the newest connection.
class RelayThreadWatch : public ThreadStarter {
 public:
  RelayThreadWatch() { SetThreadStarter(this); }
  ~RelayThreadWatch() override { SetThreadStarter(nullptr); }
  RelayThreadWatch(const RelayThreadWatch&) = delete;
  RelayThreadWatch& operator=(const RelayThreadWatch&) = delete;

  int Start(const std::string& name, pthread_t* handle, const pthread_attr_t* attributes,
            void* (*run)(void*), void* argument) override {
    const int failure = ThreadStarter::Start(name, handle, attributes, run, argument);
    if (name == "relay-pair") newest_ = *handle;
    return failure;
  }
  // Waits until the thread is known: it may run before its starter has the handle.
  pthread_t newest() const {
    while (newest_.load() == 0) std::this_thread::yield();
    return newest_;
  }

 private:
  std::atomic<pthread_t> newest_{0};
};

// Whether a connection to the port is waiting for the answer to its first packet.
bool IsConnecting(int port) {
  constexpr const char* kSynSent = "02";
  std::ostringstream address;
  address << ":" << std::hex << std::uppercase << port;
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    std::string slot;
    std::string own;
    std::string peer;
    std::string state;
    fields >> slot >> own >> peer >> state;
    if (peer.ends_with(address.str()) && state == kSynSent) return true;
  }
  return false;
}

void DropPackets(int fd) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog filter{1, &drop};
  ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)), 0);
}

// An entry that was asked to stop and still runs.
class SoakCallersTest : public testing::Test {
 protected:
  SoakCallersTest() : handler_(signal(SIGTERM, SIG_IGN)) {
    EXPECT_NE(mkdtemp(folder_), nullptr);
    entry_.name = "entry-0";
    entry_.callers = std::make_unique<TcpRelay>(0);
    entry_.process = std::make_unique<SoakProcess>(
        SoakProcessOptions{"sleeper", {"/bin/sleep", "1000"}, folder_},
        [](const nlohmann::json&) {}, [](const std::string&) {});
    while (entry_.process->Signal(SIGTERM) == 0) std::this_thread::yield();
  }
  ~SoakCallersTest() override {
    entry_.process.reset();
    signal(SIGTERM, handler_);
    std::filesystem::remove_all(folder_);
  }

  CallOutcome Call() {
    pool::JobSpec job;
    job.id = "job";
    job.queue = "batch";
    pool::JobState state = pool::JobState::kQueued;
    return CallEntry(
        &entry_,
        [&](const platform::Caller& caller) {
          return caller.StateOf(job, std::chrono::seconds(60), &state);
        },
        &history_);
  }

  const sighandler_t handler_;
  char folder_[64] = "/tmp/soak-callers-XXXXXX";
  SoakHistory history_{1};
  SoakEntry entry_;
};

// The relay accepted a caller before it knew that the entry refuses, and reset it late. The soak
// took this for a call that the entry had cut.
TEST_F(SoakCallersTest, DoesNotReportAConnectionThatTheEntryRefused) {
  const int listener = ListenSocket("127.0.0.1", 0);
  const int port = BoundPort(listener);
  entry_.callers->Retarget(port);
  // The refusal comes a second later, when the system repeats the first packet.
  DropPackets(listener);
  auto refusal = std::async(std::launch::async, [&] {
    while (!IsConnecting(port)) std::this_thread::yield();
    close(listener);
  });
  EXPECT_EQ(Call(), CallOutcome::kOutcomeUnknown);
  EXPECT_EQ(history_.violations(), std::vector<std::string>());
}

// The entry closed an idle connection and refused new ones. The relay's thread had no processor, so
// the caller's next request was lost on the closed connection and reported as cut.
TEST_F(SoakCallersTest, DoesNotReportAnIdleConnectionThatTheEntryClosed) {
  const RelayThreadWatch relay_threads;
  ScriptedServer server({Reaction::kAnswer});
  entry_.callers->Retarget(server.port());
  EXPECT_EQ(Call(), CallOutcome::kUnknownJob);
  auto held = std::make_unique<HeldThread>(relay_threads.newest());
  server.Close();
  auto release = std::async(std::launch::async, [&] {
    std::this_thread::sleep_for(kReportedWait);
    held.reset();
  });
  EXPECT_EQ(Call(), CallOutcome::kOutcomeUnknown);
  EXPECT_EQ(history_.violations(), std::vector<std::string>());
}

TEST_F(SoakCallersTest, ReportsACallThatTheEntryCut) {
  ScriptedServer server({Reaction::kCutLate});
  entry_.callers->Retarget(server.port());
  EXPECT_EQ(Call(), CallOutcome::kOutcomeUnknown);
  EXPECT_EQ(history_.violations().size(), 1U);
}

TEST_F(SoakCallersTest, ReportsACallThatTheEntryCutOnItsSecondConnection) {
  ScriptedServer server({Reaction::kAnswer, Reaction::kCut, Reaction::kCutLate});
  entry_.callers->Retarget(server.port());
  EXPECT_EQ(Call(), CallOutcome::kUnknownJob);
  EXPECT_EQ(Call(), CallOutcome::kOutcomeUnknown);
  EXPECT_EQ(history_.violations().size(), 1U);
}

TEST_F(SoakCallersTest, ReportsACallThatTheEntryCutBeforeItRefusedTheSecondConnection) {
  ScriptedServer server({Reaction::kAnswer, Reaction::kCutLate});
  entry_.callers->Retarget(server.port());
  EXPECT_EQ(Call(), CallOutcome::kUnknownJob);
  EXPECT_EQ(Call(), CallOutcome::kOutcomeUnknown);
  EXPECT_EQ(history_.violations().size(), 1U);
}

// libcurl sends a request again when its kept connection ends. The soak took the refusal of the
// second copy for proof that the first one had not run.
TEST_F(SoakCallersTest, TakesNoRefusalOfAResentRequestForProof) {
  ScriptedServer server({Reaction::kAnswer, Reaction::kCut, Reaction::kRefuse});
  entry_.callers->Retarget(server.port());
  EXPECT_EQ(Call(), CallOutcome::kUnknownJob);
  EXPECT_EQ(Call(), CallOutcome::kOutcomeUnknown);
}

TEST_F(SoakCallersTest, TakesARefusalForProof) {
  ScriptedServer server({Reaction::kRefuse});
  entry_.callers->Retarget(server.port());
  EXPECT_EQ(Call(), CallOutcome::kRefused);
}

}  // namespace
}  // namespace turmericshift::soak
