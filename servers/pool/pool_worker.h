// A worker's interface as its agent uses it. An adapter speaks a platform's own protocol behind it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/http_server.h"
#include "core/plugin_registry.h"
#include "servers/pool/pool_messages.h"

namespace turmericshift::pool {

// Milliseconds on the worker's own steady clock.
using WorkerMillis = int64_t;

// How a worker answers an order.
enum class OrderAnswer {
  kAccepted,
  // An order of a newer planner has been seen.
  kFenced,
  // The run is not newer than one that ended or was stopped here.
  kStaleRun,
  // Its time was over when it was read.
  kExpired,
  kNoRoom,
  // The ticket of the advice service is missing, another's, or has run out.
  kTicketRejected,
  // The worker is unwell and has done nothing.
  kUnhealthy,
  // Another life of the worker answers at the address.
  kOtherIncarnation,
  // The order can't be read or is not valid.
  kInvalid,
  // Nothing listens at the address.
  kNotListening,
  // It may have been carried out, or be carried out later.
  kUnanswered,
};
const char* OrderAnswerName(OrderAnswer answer);

struct StartCall {
  // The life that is meant; empty: any.
  std::string worker_id;
  RunId run;
  std::string payload;
  std::string checkpoint;
  // Of the advice service; empty: none.
  std::string ticket;
  WorkerMillis lease_until = 0;
  int64_t fence = 0;
};

struct HoldCall {
  std::string worker_id;
  int64_t fence = 0;
  // Ends up to this number may be forgotten.
  int64_t acked_ends = 0;
  // Leases run until then; left out, they stay as they are.
  std::optional<WorkerMillis> lease_until;
  // The answer waits for an end for so long.
  Duration wait{};
};

struct WorkerLists {
  int64_t start_time_ms = 0;
  WorkerMillis clock = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

struct HoldAnswer {
  OrderAnswer answer = OrderAnswer::kUnanswered;
  // Set with kAccepted.
  WorkerLists lists;
};

class PoolWorker {
 public:
  virtual ~PoolWorker() = default;
  virtual OrderAnswer Start(const StartCall& call, Duration timeout) = 0;
  virtual OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence,
                           Duration timeout) = 0;
  virtual HoldAnswer Hold(const HoldCall& call, Duration timeout) = 0;
};

// Workers by client name; the argument is the worker's address ("10.0.0.1:8529").
using PoolWorkerRegistry = PluginRegistry<PoolWorker, const std::string&>;

// What a worker announces of itself from time to time.
struct WorkerAnnouncement {
  WorkerFacts facts;
  // Rises with each announcement of one life.
  int64_t sequence = 0;
};

// Takes announcements; called from any thread.
class WorkerSink {
 public:
  virtual ~WorkerSink() = default;
  virtual void WorkerAnnounced(const WorkerAnnouncement& announcement) = 0;
  virtual void WorkerLeft(const std::string& worker_id) = 0;
};

// Reads the calls in which workers announce themselves.
class WorkerEndpoint {
 public:
  virtual ~WorkerEndpoint() = default;
  virtual HttpResponse Handle(const HttpRequest& request, WorkerSink* sink) const = 0;
};

using WorkerEndpointRegistry = PluginRegistry<WorkerEndpoint>;

}  // namespace turmericshift::pool
