// Accepts agents' connections to an entry, authenticates each agent by the shared key, and passes
// an AgentPort, through which the entry calls the agent, to the EntryGate.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/failure_episode.h"
#include "core/thread.h"
#include "core/thread_pool.h"
#include "rpc/session.h"
#include "servers/ports/entry_port.h"

namespace turmericshift {

// Keys that authenticate a session. Proofs are made with the first key and accepted for any of
// them; there is more than one key only during a key rotation.
struct SharedKeys {
  std::vector<std::string> keys;
};

struct GateOptions {
  std::string address = "127.0.0.1";
  // 0 lets the system choose a port; see GateListener::port().
  int port = 0;
  SharedKeys keys;
  int max_sessions = 800;
  // A connection that has not authenticated within this time is closed.
  Duration admission_limit = std::chrono::seconds(5);
  // Maximum number of connections that have not authenticated yet; further connections are refused.
  // Agents authenticate within milliseconds, so they rarely reach this limit.
  int max_unadmitted = 64;
};

class GateListener {
 public:
  // Starts to listen. `gate` must outlive the listener. Throws Error(kUnavailable) if the
  // address can't be bound, or Error(kInvalidInput) if there is no key.
  GateListener(const GateOptions& options, EntryGate* gate);
  // Closes every session and waits for their threads.
  ~GateListener();
  GateListener(const GateListener&) = delete;
  GateListener& operator=(const GateListener&) = delete;

  int port() const { return port_; }
  // Number of connections that could not be accepted or served, usually for lack of descriptors or
  // threads.
  int64_t accept_failures() const { return accept_failures_.load(); }

 private:
  struct Accepted {
    std::weak_ptr<Session> session;
    Time accepted_at{};
  };

  void Accept();
  // Waits for a connection for a short time and takes it. Throws Error(kUnavailable) if it can't be
  // accepted or served.
  void AcceptOnce();
  // Takes over `fd`.
  void Admit(int fd, Time now);
  // Closes connections that have not authenticated in time, and removes those that have ended.
  void CloseOverdue(Time now);

  const GateOptions options_;
  EntryGate* const gate_;
  ThreadPool pool_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int64_t> accept_failures_{0};
  FailureEpisode accept_episode_{"accept"};
  std::mutex mutex_;
  std::vector<Accepted> sessions_;
  Thread thread_;
};

}  // namespace turmericshift
