#include "rpc/gate_listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/error.h"
#include "rpc/rpc_entry_connector.h"

namespace turmericshift {
namespace {

constexpr const char* kOldKey = "the-old-shared-key-4711";
constexpr const char* kNewKey = "the-new-shared-key-0815";

class EchoPort : public EntryPort {
 public:
  HeartbeatReply Heartbeat(const AgentHeartbeat& beat, Duration /*timeout*/) override {
    HeartbeatReply answer;
    answer.config_version = beat.config_version;
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

  // Whether an agent with these keys is let in and heard.
  bool LetsIn(const std::vector<std::string>& keys) {
    RpcEntryConnector connector({keys}, 1);
    const std::string address = "127.0.0.1:" + std::to_string(listener_->port());
    try {
      AgentHeartbeat beat;
      beat.config_version = 7;
      const auto port = connector.Connect(address, {"worker", "i", "a", "r", "", {}}, nullptr);
      return port->Heartbeat(beat, std::chrono::seconds(5)).config_version == 7;
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

  // Waits until the other side has ended the connection.
  static bool IsCut(int fd) {
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

// The shared key is rolled: every process first knows both, then proves with the new one. Nothing
// stops in between, whichever side is ahead.
TEST_F(GateListenerTest, AKeyIsRolledWithoutAStop) {
  Listen({kOldKey, kNewKey});
  EXPECT_TRUE(LetsIn({kOldKey}));
  EXPECT_TRUE(LetsIn({kOldKey, kNewKey}));
  EXPECT_TRUE(LetsIn({kNewKey, kOldKey}));
  Listen({kNewKey, kOldKey});
  EXPECT_TRUE(LetsIn({kOldKey, kNewKey}));
  EXPECT_TRUE(LetsIn({kNewKey}));
}

// A process with another deployment's key, or with none of ours: refused, and no key or proof is
// in the logs that people read afterwards.
TEST_F(GateListenerTest, AWrongKeyIsRefusedAndNoKeyIsLogged) {
  testing::internal::CaptureStderr();
  Listen({kNewKey});
  const bool let_in = LetsIn({kOldKey});
  listener_.reset();
  const std::string logged = testing::internal::GetCapturedStderr();
  EXPECT_FALSE(let_in);
  EXPECT_EQ(logged.find(kOldKey), std::string::npos);
  EXPECT_EQ(logged.find(kNewKey), std::string::npos);
}

// A host opens connections and says nothing. Each would hold a thread for ever; the fleet could not
// connect any more once all places are taken.
TEST_F(GateListenerTest, ASilentConnectionIsCut) {
  Listen({kNewKey}, std::chrono::milliseconds(200));
  const int fd = RawConnection();
  EXPECT_TRUE(IsCut(fd));
  close(fd);
  EXPECT_TRUE(LetsIn({kNewKey}));
}

// A host sends far more than a proof before it has proved anything, to fill this process's memory.
TEST_F(GateListenerTest, ALargeMessageBeforeTheProofIsCut) {
  Listen({kNewKey});
  const int fd = RawConnection();
  // Announces one segment of 4 MiB and begins to send it.
  const std::array<uint32_t, 2> header = {0, 512 * 1024};
  EXPECT_GT(send(fd, header.data(), sizeof(header), MSG_NOSIGNAL), 0);
  const std::string chunk(64 * 1024, 'x');
  for (int index = 0; index < 16; ++index) {
    if (send(fd, chunk.data(), chunk.size(), MSG_NOSIGNAL) <= 0) break;
  }
  EXPECT_TRUE(IsCut(fd));
  close(fd);
}

}  // namespace
}  // namespace turmericshift
