// Clients that ignore the limits, against a pool's processes on loopback addresses. The checks do
// not depend on the machine's speed: the process lives, its memory and descriptors stay within its
// VM, and an ordinary caller is served.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <thread>

#include "core/error.h"
#include "core/http_client.h"
#include "core/listen_socket.h"
#include "core/secret.h"
#include "core/units.h"
#include "tests/soak/soak_system.h"

namespace turmericshift::soak {
namespace {

using platform::CallOutcome;

// VMs of the users' deployments.
constexpr size_t kEntryVmBytes = size_t{260} << 20;
constexpr size_t kAgentVmBytes = size_t{128} << 20;
constexpr size_t kEntryDescriptors = 4100;
constexpr size_t kAgentDescriptors = 4096;

// Number of clients that send large bodies. Their bodies together exceed the memory of the VM.
constexpr int kEntryCrowd = 24;
constexpr int kAgentCrowd = 12;
constexpr size_t kLargeBody = 16'000'000;
// Part of an announced body that is held back, so that the request stays incomplete.
constexpr size_t kHeldBack = size_t{64} << 10;
constexpr size_t kTerabyte = size_t{1'000'000'000'000};
constexpr size_t kSentOfTerabyte = 20'000'000;
// Largest body of an ordinary job, and of a worker's announcement.
constexpr size_t kJobBody = 256'000;
constexpr size_t kAnnouncementBody = 4'000'000;
// Number of clients that send job bodies with a large parsed form.
constexpr int kParsedCrowd = 400;
// More than the connections that a process accepts.
constexpr int kConnectionCrowd = 640;
constexpr Duration kCrowdInterval = std::chrono::milliseconds(100);

// Bound the duration of a failing test.
constexpr Duration kServedLimit = std::chrono::seconds(15);
constexpr std::chrono::seconds kSendTimeout{5};

constexpr const char* kJobHead =
    "POST /batch/00000000000000ff HTTP/1.1\r\nHost: plans.example\r\n"
    "Authorization: Bearer key-of-the-soak\r\nDeadline-Ms: 2000\r\n";
constexpr const char* kAnnouncementHead =
    "PUT /turmericshift/instances/untrusted HTTP/1.1\r\nHost: agent\r\n";
constexpr const char* kProbeHead = "GET /turmericshift/readyz HTTP/1.1\r\nHost: entry\r\n";

// A connection of a client. It never waits for an answer.
class Connection {
 public:
  explicit Connection(int port) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const timeval timeout{kSendTimeout.count(), 0};
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in address = SocketAddress("127.0.0.1", port);
    open_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns whether the server still takes what is sent.
  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (open_ && sent < bytes.size()) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      open_ = count > 0;
      if (open_) sent += static_cast<size_t>(count);
    }
    return open_;
  }

  // Whether the server has closed the connection. Drops answers.
  bool Closed() {
    std::string dropped(1024, ' ');
    while (open_) {
      const ssize_t count = recv(fd_, dropped.data(), dropped.size(), MSG_DONTWAIT);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      open_ = count > 0;
    }
    return !open_;
  }

  // Waits until an answer or the end of the connection arrives.
  void AwaitAnswer() {
    pollfd event{fd_, POLLIN, 0};
    poll(&event, 1, static_cast<int>(std::chrono::milliseconds(kSendTimeout).count()));
  }

 private:
  const int fd_;
  bool open_ = false;
};

std::string Hex(size_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

void SendAnnounced(const std::string& head, size_t announced, size_t sent, Connection* connection) {
  connection->Send(head + "Content-Length: " + std::to_string(announced) + "\r\n\r\n");
  const std::string part(kHeldBack, ' ');
  for (size_t total = 0; total + part.size() <= sent && connection->Send(part);) {
    total += part.size();
  }
}

void SendInChunks(const std::string& head, size_t sent, Connection* connection) {
  connection->Send(head + "Transfer-Encoding: chunked\r\n\r\n");
  const std::string part(kHeldBack, ' ');
  const std::string chunk = Hex(part.size()) + "\r\n" + part + "\r\n";
  for (size_t total = 0; total < sent && connection->Send(chunk);) total += part.size();
}

std::string Repeat(const std::string& text, size_t bytes) {
  std::string repeated;
  while (repeated.size() + text.size() <= bytes) repeated += text;
  return repeated;
}

std::string ListOfSmallValues(const std::string& field, size_t bytes) {
  return "{\"" + field + "\":[" + Repeat("0,", bytes) + "0]}";
}

std::string NestedLists(const std::string& field, size_t bytes) {
  const std::string open = Repeat("[", bytes / 2);
  return "{\"" + field + "\":" + open + std::string(open.size(), ']') + "}";
}

// A process of the pool and what it holds.
struct Watched {
  std::string log;
  SoakProcess* process = nullptr;
  size_t vm_bytes = 0;
  size_t descriptors = 0;
};

size_t PeakMemory(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stoull(line.substr(6)) << 10;
  }
  return SIZE_MAX;
}

size_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid) + "/fd", error);
  if (error) return SIZE_MAX;
  return static_cast<size_t>(std::distance(begin(open), end(open)));
}

// Bytes that have arrived at `port` and that no process has read. They count as memory of the VM.
size_t UnreadBytes(int port) {
  const std::string suffix = ":" + [&] {
    std::string digits = Hex(static_cast<size_t>(port));
    std::transform(digits.begin(), digits.end(), digits.begin(), ::toupper);
    return std::string(4 - std::min<size_t>(4, digits.size()), '0') + digits;
  }();
  constexpr const char* kListening = "0A";
  std::ifstream table("/proc/net/tcp");
  size_t unread = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    std::string slot;
    std::string own;
    std::string peer;
    std::string state;
    std::string queues;
    fields >> slot >> own >> peer >> state >> queues;
    if (!own.ends_with(suffix) || state == kListening || queues.size() < 17) continue;
    unread += std::stoull(queues.substr(9), nullptr, 16);
  }
  return unread;
}

class UntrustedClientsTest : public testing::Test {
 protected:
  UntrustedClientsTest() : folder_("/tmp/untrusted-clients-XXXXXX") {
    if (mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder");
    SoakSystemOptions options;
    options.binary = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() /
                     "turmericshift";
    options.folder = folder_;
    options.entries = 1;
    options.workers = 1;
    system_.emplace(options, &history_);
  }
  ~UntrustedClientsTest() override {
    system_.reset();
    std::filesystem::remove_all(folder_);
  }

  void SetUp() override {
    const SoakEntry& entry = *system_->entries()[0];
    const SoakWorkerNode& node = *system_->worker_nodes()[0];
    entry_ = {folder_ + "/" + entry.name + ".1.log", entry.process.get(), kEntryVmBytes,
              kEntryDescriptors};
    agent_ = {folder_ + "/" + node.name + ".1.log", node.process.get(), kAgentVmBytes,
              kAgentDescriptors};
    caller_port_ = PortOf(entry_, "callers");
    readiness_port_ = PortOf(entry_, "readiness");
    agent_port_ = PortOf(agent_, "announcements");
    ASSERT_TRUE(RunsAJob()) << "before the crowd came";
  }

  static int PortOf(const Watched& watched, const std::string& name) {
    for (int attempt = 0; attempt < 1000; ++attempt) {
      std::ifstream lines(watched.log);
      for (std::string line; std::getline(lines, line);) {
        const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
        if (event.is_object() && event.value("event", "") == "started") return event.at(name);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return 0;
  }

  // Repeats `attempt` until it succeeds, as an ordinary client does.
  static bool Succeeds(const std::function<bool()>& attempt) {
    const Time until = DefaultClock().Now() + kServedLimit;
    while (DefaultClock().Now() < until) {
      if (attempt()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  // Whether an ordinary caller that opens a connection gets a job accepted and reads its state, up
  // to `last` if that is given.
  bool ServesAJob(std::optional<pool::JobState> last) {
    pool::JobSpec job;
    job.id = RandomHex(8);
    job.queue = "batch";
    job.payload = FormatDuration(std::chrono::milliseconds(10));
    job.steps.emplace_back();
    job.steps[0].need = {1000, 1024, 1};
    history_.RecordJob({job, 0});
    bool served = false;
    // A new thread has no open connection.
    std::thread([&] {
      const platform::Caller caller(caller_port_, nullptr);
      const Duration timeout = std::chrono::seconds(3);
      pool::JobState state = pool::JobState::kQueued;
      served = Succeeds([&] { return caller.Submit(job, timeout) == CallOutcome::kDone; }) &&
               Succeeds([&] {
                 return caller.StateOf(job, timeout, &state) == CallOutcome::kDone &&
                        (!last || state == *last);
               });
    }).join();
    return served;
  }

  bool AcceptsAJob() { return ServesAJob(std::nullopt); }
  bool RunsAJob() { return ServesAJob(pool::JobState::kCompleted); }

  static bool Answers(int port, const std::string& path) {
    return Succeeds([&] {
      HttpCall call;
      call.url = "http://127.0.0.1:" + std::to_string(port) + path;
      call.fresh_connection = true;
      call.timeout = std::chrono::seconds(3);
      try {
        return PerformHttp(call).status == 200;
      } catch (const Error&) {
        return false;
      }
    });
  }

  // Runs each client on a thread of its own, and lets all hold their connections until every one of
  // them has sent what it sends.
  void RunCrowd(const Watched& watched, int port, int clients,
                const std::function<void(Connection*)>& client) {
    std::atomic<int> busy{clients};
    std::atomic<bool> released{false};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(clients));
    for (int i = 0; i < clients; ++i) {
      threads.emplace_back([&] {
        Connection connection(port);
        client(&connection);
        --busy;
        while (!released.load()) std::this_thread::sleep_for(std::chrono::milliseconds(10));
      });
    }
    do {
      Observe(watched, port);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    } while (busy.load() > 0);
    Observe(watched, port);
    released.store(true);
    for (std::thread& thread : threads) thread.join();
    Check(watched);
  }

  // Sends complete requests whose last bytes arrive together, so that all are handled at once.
  void SendTogether(const Watched& watched, int port, int clients, const std::string& head,
                    const std::string& body) {
    std::atomic<int> preparing{clients};
    RunCrowd(watched, port, clients, [&](Connection* connection) {
      connection->Send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       body.substr(0, body.size() - 1));
      --preparing;
      while (preparing.load() > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      if (connection->Send(body.substr(body.size() - 1))) connection->AwaitAnswer();
    });
  }

  // Holds kConnectionCrowd connections that send nothing, a header byte by byte, or a body byte by
  // byte, and opens those again that the server closes, until `served` returns.
  void HoldConnections(const Watched& watched, int port, const std::string& head,
                       const std::function<void()>& served) {
    std::atomic<bool> filled{false};
    std::atomic<bool> done{false};
    std::thread crowd([&] {
      std::vector<std::unique_ptr<Connection>> connections(kConnectionCrowd);
      while (!done.load()) {
        for (size_t i = 0; i < connections.size() && !done.load(); ++i) {
          if (connections[i] != nullptr && !connections[i]->Closed()) {
            if (i % 3 != 0) connections[i]->Send("a");
            continue;
          }
          connections[i] = std::make_unique<Connection>(port);
          if (i % 3 == 1) connections[i]->Send(head + "Slow: ");
          if (i % 3 == 2) connections[i]->Send(head + "Content-Length: 20000\r\n\r\n");
        }
        filled.store(true);
        std::this_thread::sleep_for(kCrowdInterval);
      }
    });
    while (!filled.load()) std::this_thread::sleep_for(kCrowdInterval);
    Observe(watched, port);
    served();
    Observe(watched, port);
    done.store(true);
    crowd.join();
    Check(watched);
  }

  void Observe(const Watched& watched, int port) {
    unread_ = std::max(unread_, UnreadBytes(port));
    descriptors_ = std::max(descriptors_, OpenDescriptors(watched.process->pid()));
  }

  void Check(const Watched& watched) {
    EXPECT_EQ(watched.process->incarnation(), 1);
    EXPECT_EQ(history_.violations(), std::vector<std::string>());
    const size_t peak = PeakMemory(watched.process->pid());
    RecordProperty("peak_kb", static_cast<int>(peak >> 10));
    RecordProperty("unread_kb", static_cast<int>(unread_ >> 10));
    EXPECT_LE(peak + unread_, watched.vm_bytes)
        << "memory " << peak << ", received and not read " << unread_;
    EXPECT_LE(descriptors_, watched.descriptors);
    EXPECT_TRUE(RunsAJob()) << "after the crowd has left";
    EXPECT_EQ(watched.process->incarnation(), 1);
  }

  std::string folder_;
  SoakHistory history_{3};
  std::optional<SoakSystem> system_;
  Watched entry_;
  Watched agent_;
  int caller_port_ = 0;
  int readiness_port_ = 0;
  int agent_port_ = 0;
  size_t unread_ = 0;
  size_t descriptors_ = 0;
};

// Each connection kept what it had received of a body, up to 16 MiB, and a few of them ended the
// entry.
TEST_F(UntrustedClientsTest, EntryKeepsMemoryWhenBodiesAreAnnouncedOverTheLimit) {
  RunCrowd(entry_, caller_port_, kEntryCrowd, [](Connection* connection) {
    SendAnnounced(kJobHead, kLargeBody, kLargeBody - kHeldBack, connection);
  });
}

// A body without a length was read on without an end.
TEST_F(UntrustedClientsTest, EntryKeepsMemoryWhenChunksHaveNoEnd) {
  RunCrowd(entry_, caller_port_, kEntryCrowd,
           [](Connection* connection) { SendInChunks(kJobHead, kLargeBody, connection); });
}

// A body that passed the limit was dropped, but its memory stayed with the connection.
TEST_F(UntrustedClientsTest, EntryKeepsMemoryWhenATerabyteIsAnnounced) {
  RunCrowd(entry_, caller_port_, kEntryCrowd, [](Connection* connection) {
    SendAnnounced(kJobHead, kTerabyte, kSentOfTerabyte, connection);
  });
}

// The readiness address kept bodies as the callers' address did.
TEST_F(UntrustedClientsTest, EntryKeepsMemoryWhenReadinessProbesHaveBodies) {
  RunCrowd(entry_, readiness_port_, kEntryCrowd, [](Connection* connection) {
    SendAnnounced(kProbeHead, kLargeBody, kLargeBody - kHeldBack, connection);
  });
}

// The parsed form of a body within the limit took many times the body's size.
TEST_F(UntrustedClientsTest, EntryKeepsMemoryWhenBodiesAreListsOfSmallValues) {
  const std::string body = ListOfSmallValues("steps", kJobBody);
  SendTogether(entry_, caller_port_, kParsedCrowd, kJobHead, body);
}

// Each level of a nested list took memory for a list of its own.
TEST_F(UntrustedClientsTest, EntryKeepsMemoryWhenBodiesAreNested) {
  const std::string body = NestedLists("steps", kJobBody);
  SendTogether(entry_, caller_port_, kParsedCrowd, kJobHead, body);
}

// Connections that sent nothing or too slowly took all places, and callers were refused.
TEST_F(UntrustedClientsTest, EntryServesCallersBesideConnectionsThatWait) {
  HoldConnections(entry_, caller_port_, kJobHead,
                  [this] { EXPECT_TRUE(AcceptsAJob()) << "while the crowd waits"; });
}

// The same at the readiness address: the balancer would have taken the entry out of rotation.
TEST_F(UntrustedClientsTest, EntryAnswersProbesBesideConnectionsThatWait) {
  HoldConnections(entry_, readiness_port_, kProbeHead, [this] {
    EXPECT_TRUE(Answers(readiness_port_, "/turmericshift/readyz")) << "while the crowd waits";
  });
}

// The same as at the entry, on the smaller VM of an agent.
TEST_F(UntrustedClientsTest, AgentKeepsMemoryWhenBodiesAreAnnouncedOverTheLimit) {
  RunCrowd(agent_, agent_port_, kAgentCrowd, [](Connection* connection) {
    SendAnnounced(kAnnouncementHead, kLargeBody, kLargeBody - kHeldBack, connection);
  });
}

TEST_F(UntrustedClientsTest, AgentKeepsMemoryWhenChunksHaveNoEnd) {
  RunCrowd(agent_, agent_port_, kAgentCrowd,
           [](Connection* connection) { SendInChunks(kAnnouncementHead, kLargeBody, connection); });
}

TEST_F(UntrustedClientsTest, AgentKeepsMemoryWhenATerabyteIsAnnounced) {
  RunCrowd(agent_, agent_port_, kAgentCrowd, [](Connection* connection) {
    SendAnnounced(kAnnouncementHead, kTerabyte, kSentOfTerabyte, connection);
  });
}

TEST_F(UntrustedClientsTest, AgentKeepsMemoryWhenBodiesAreListsOfSmallValues) {
  const std::string body = ListOfSmallValues("labels", kAnnouncementBody);
  SendTogether(agent_, agent_port_, kAgentCrowd, kAnnouncementHead, body);
}

TEST_F(UntrustedClientsTest, AgentKeepsMemoryWhenBodiesAreNested) {
  const std::string body = NestedLists("labels", kAnnouncementBody);
  SendTogether(agent_, agent_port_, kAgentCrowd, kAnnouncementHead, body);
}

TEST_F(UntrustedClientsTest, AgentAnswersBesideConnectionsThatWait) {
  HoldConnections(agent_, agent_port_, kAnnouncementHead, [this] {
    EXPECT_TRUE(Answers(agent_port_, "/metrics")) << "while the crowd waits";
  });
}

}  // namespace
}  // namespace turmericshift::soak
