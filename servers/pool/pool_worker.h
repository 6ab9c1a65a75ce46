// Interface of a worker as its agent uses it. Adapters implement it with a platform's own protocol.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/http_server.h"
#include "core/plugin_registry.h"
#include "servers/pool/pool_messages.h"

namespace turmericshift::pool {

// Milliseconds on the worker's own monotonic clock.
using WorkerMillis = int64_t;

// Result of an order sent to a worker.
enum class OrderAnswer {
  kAccepted,
  // The worker has already seen a higher fencing token, that is, an order of a newer planner.
  kFenced,
  // The worker has already ended or stopped this run or a newer run of the task.
  kStaleRun,
  // The order's lease had expired when the worker read the order.
  kExpired,
  kNoRoom,
  // The advice service's ticket is missing, expired or issued for something else.
  kTicketRejected,
  // The worker reports itself unhealthy and has not carried the order out.
  kUnhealthy,
  // A different incarnation of the worker answered at the address.
  kOtherIncarnation,
  // The order is malformed or invalid.
  kInvalid,
  // The connection was refused, so the worker has not received the order.
  kNotListening,
  // No answer. The order may have been carried out or may still be carried out later.
  kUnanswered,
};
const char* OrderAnswerName(OrderAnswer answer);

struct StartCall {
  // ID of the worker incarnation that the order is for; empty: any.
  std::string worker_id;
  // Start time of that incarnation, as known to the agent; not sent to the worker.
  int64_t worker_start_time_ms = 0;
  RunId run;
  std::string payload;
  std::string checkpoint;
  // Ticket of the advice service; empty if there is none.
  std::string ticket;
  WorkerMillis lease_until = 0;
  int64_t fence = 0;
};

struct StartAnswer {
  OrderAnswer answer = OrderAnswer::kUnanswered;
  // The worker's clock when it answered; unset if the answer does not tell it.
  std::optional<WorkerMillis> clock;
};

struct HoldCall {
  std::string worker_id;
  int64_t fence = 0;
  // The worker may discard ends up to this number, because they are durable in the store.
  int64_t acked_ends = 0;
  // New expiry of the leases of running tasks; if absent, leases are not extended.
  std::optional<WorkerMillis> lease_until;
  // How long the worker holds the answer back while no run ends (long poll).
  Duration wait{};
  // Start time of the incarnation that the call is for, as known to the agent; not sent to the
  // worker.
  int64_t worker_start_time_ms = 0;
};

struct WorkerLists {
  int64_t start_time_ms = 0;
  WorkerMillis clock = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  // Whether the worker has further ends, which it lists once these have been acknowledged. Until
  // then, a run that is listed neither as running nor as ended may have ended.
  bool more_ends = false;
};

struct HoldAnswer {
  OrderAnswer answer = OrderAnswer::kUnanswered;
  // Set if `answer` is kAccepted.
  WorkerLists lists;
};

class PoolWorker {
 public:
  virtual ~PoolWorker() = default;
  virtual StartAnswer Start(const StartCall& call, Duration timeout) = 0;
  virtual OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence,
                           Duration timeout) = 0;
  virtual HoldAnswer Hold(const HoldCall& call, Duration timeout) = 0;
};

// Workers by client name; the argument is the worker's address ("10.0.0.1:8529").
using PoolWorkerRegistry = PluginRegistry<PoolWorker, const std::string&>;

// Periodic announcement of a worker.
struct WorkerAnnouncement {
  WorkerFacts facts;
  // Increases with each announcement of one incarnation.
  int64_t sequence = 0;
};

// Receives announcements. May be called from any thread.
class WorkerSink {
 public:
  virtual ~WorkerSink() = default;
  virtual void WorkerAnnounced(const WorkerAnnouncement& announcement) = 0;
  virtual void WorkerLeft(const std::string& worker_id) = 0;
};

// HTTP handler for the calls with which workers announce themselves.
class WorkerEndpoint {
 public:
  virtual ~WorkerEndpoint() = default;
  virtual HttpResponse Handle(const HttpRequest& request, WorkerSink* sink) const = 0;
};

using WorkerEndpointRegistry = PluginRegistry<WorkerEndpoint>;

}  // namespace turmericshift::pool
