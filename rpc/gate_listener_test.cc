#include "rpc/gate_listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "core/error.h"
#include "rpc/rpc_entry_connector.h"
#include "tests/stand_ins/descriptor_shortage.h"
#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

constexpr const char* kOldKey = "the-old-shared-key-4711";
constexpr const char* kNewKey = "the-new-shared-key-0815";

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

class EchoPort : public EntryPort {
 public:
  HeartbeatReply Heartbeat(const AgentHeartbeat& heartbeat, Duration /*timeout*/) override {
    HeartbeatReply answer;
    answer.config_version = heartbeat.config_version;
    return answer;
  }
};

class OpenGate : public EntryGate {
 public:
  std::shared_ptr<EntryPort> OpenAgent(const AgentHello& /*hello*/,
                                       std::shared_ptr<AgentPort> /*agent*/) override {
    return std::make_shared<EchoPort>();
  }
};

class GateListenerTest : public testing::Test {
 protected:
  void Listen(const std::vector<std::string>& keys,
              Duration admission_limit = std::chrono::seconds(60)) {
    GateOptions options;
    options.keys.keys = keys;
    options.admission_limit = admission_limit;
    listener_ = std::make_unique<GateListener>(options, &gate_);
  }

  // Whether an agent with these keys is admitted and gets a reply to its heartbeat.
  bool Admits(const std::vector<std::string>& keys) {
    RpcEntryConnector connector({keys}, 1);
    const std::string address = "127.0.0.1:" + std::to_string(listener_->port());
    try {
      AgentHeartbeat heartbeat;
      heartbeat.config_version = 7;
      const auto port = connector.Connect(address, {"worker", "i", "a", "r", "", {}}, nullptr);
      return port->Heartbeat(heartbeat, std::chrono::seconds(5)).config_version == 7;
    } catch (const Error& error) {
      EXPECT_EQ(error.kind(), ErrorKind::kUnauthenticated);
      return false;
    }
  }

  int RawConnection() const {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(listener_->port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return fd;
  }

  // Returns true when the other side has closed the connection, false if it stays open for 10 s.
  static bool IsClosed(int fd) {
    constexpr int kLimitMillis = 10000;
    pollfd waiting{fd, POLLIN, 0};
    std::array<char, 4096> bytes{};
    while (poll(&waiting, 1, kLimitMillis) == 1) {
      if (recv(fd, bytes.data(), bytes.size(), 0) <= 0) return true;
    }
    return false;
  }

  OpenGate gate_;
  std::unique_ptr<GateListener> listener_;
};

// During a rotation of the shared key, every process first knows both keys, then makes its proofs
// with the new one. Sessions must open at every stage, whichever side is further on.
TEST_F(GateListenerTest, AdmitsAgentsThroughoutAKeyRotation) {
  Listen({kOldKey, kNewKey});
  EXPECT_TRUE(Admits({kOldKey}));
  EXPECT_TRUE(Admits({kOldKey, kNewKey}));
  EXPECT_TRUE(Admits({kNewKey, kOldKey}));
  Listen({kNewKey, kOldKey});
  EXPECT_TRUE(Admits({kOldKey, kNewKey}));
  EXPECT_TRUE(Admits({kNewKey}));
}

// A process with the key of another deployment must be refused, without any key in the logs.
TEST_F(GateListenerTest, RefusesAWrongKeyAndLogsNoKey) {
  testing::internal::CaptureStderr();
  Listen({kNewKey});
  const bool admitted = Admits({kOldKey});
  listener_.reset();
  const std::string logged = testing::internal::GetCapturedStderr();
  EXPECT_FALSE(admitted);
  EXPECT_EQ(logged.find(kOldKey), std::string::npos);
  EXPECT_EQ(logged.find(kNewKey), std::string::npos);
}

// A host opens connections and sends nothing. If they stayed open, each would occupy a thread, and
// agents could no longer connect once max_sessions was reached.
TEST_F(GateListenerTest, ClosesASilentConnection) {
  Listen({kNewKey}, std::chrono::milliseconds(200));
  const int fd = RawConnection();
  EXPECT_TRUE(IsClosed(fd));
  close(fd);
  EXPECT_TRUE(Admits({kNewKey}));
}

// A host that has not authenticated sends a large message to exhaust this process's memory.
TEST_F(GateListenerTest, ClosesAConnectionThatSendsALargeMessageBeforeItsProof) {
  Listen({kNewKey});
  const int fd = RawConnection();
  // Announces one segment of 4 MiB (512 Ki words of 8 bytes) and begins to send it.
  const std::array<uint32_t, 2> header = {0, 512 * 1024};
  EXPECT_GT(send(fd, header.data(), sizeof(header), MSG_NOSIGNAL), 0);
  const std::string chunk(64 * 1024, 'x');
  for (int index = 0; index < 16; ++index) {
    if (send(fd, chunk.data(), chunk.size(), MSG_NOSIGNAL) <= 0) break;
  }
  EXPECT_TRUE(IsClosed(fd));
  close(fd);
}

// If a brief lack of threads ended the accept loop, no agent could reach the entry any more, and
// connections that never authenticate would stay open.
TEST_F(GateListenerTest, AdmitsAgentsAgainAfterALackOfThreads) {
  testing::internal::CaptureStderr();
  Listen({kNewKey}, std::chrono::seconds(1));
  {
    const ThreadShortage shortage("agent-session");
    const int connection = RawConnection();
    while (shortage.refusals() == 0) std::this_thread::yield();
    close(connection);
  }
  EXPECT_TRUE(Admits({kNewKey}));
  const int silent = RawConnection();
  EXPECT_TRUE(IsClosed(silent));
  close(silent);
  listener_.reset();
  const std::string logged = testing::internal::GetCapturedStderr();
  EXPECT_EQ(CountOf(logged, "accept_failed"), 1) << logged;
  EXPECT_EQ(CountOf(logged, "accept_recovered"), 1) << logged;
}

// Without a pause and a log line, an entry that lacks descriptors would use a whole processor and
// nobody would know why.
TEST_F(GateListenerTest, LogsALackOfDescriptorsOnceAndAdmitsAgentsAfterIt) {
  testing::internal::CaptureStderr();
  Listen({kNewKey});
  {
    const DescriptorShortage shortage;
    const int connection = RawConnection();
    while (listener_->accept_failures() < 3) std::this_thread::yield();
    close(connection);
  }
  EXPECT_TRUE(Admits({kNewKey}));
  listener_.reset();
  const std::string logged = testing::internal::GetCapturedStderr();
  EXPECT_EQ(CountOf(logged, "accept_failed"), 1) << logged;
  EXPECT_EQ(CountOf(logged, "accept_recovered"), 1) << logged;
}

}  // namespace
}  // namespace turmericshift
