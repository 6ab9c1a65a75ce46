// turmericshift pool entry, pool agent: processes of a pool on a platform reached through an
// adapter.
#include "core/byte_budget.h"
#include "core/json_shape.h"
#include "core/logging.h"
#include "core/secret.h"
#include "core/shutdown.h"
#include "main/commands.h"
#include "main/settings/process_settings.h"
#include "rpc/pool_session.h"
#include "servers/platform/counted_keyed_log.h"
#include "servers/pool/advice_fetcher.h"
#include "servers/pool/pool_agent.h"
#include "servers/pool/pool_bounds.h"
#include "servers/pool/pool_entry.h"

namespace turmericshift {
namespace {

constexpr size_t kIncarnationBytes = 8;
// Each caller connection takes a thread; an entry has a few dozen clients.
constexpr int kMaxConnections = 600;
constexpr size_t kConnectionStackBytes = size_t{128} * 1024;
// Requests may take this part of the VM's memory; threads and buffers of connections take another.
constexpr size_t kBodyShareOfMemory = 4;
// Readiness probes have no body.
constexpr size_t kMaxProbeBytes = size_t{4} << 10;
// Part of the stop limit that is reserved for ending the process.
constexpr Duration kExitReserve = std::chrono::milliseconds(700);

HttpServerOptions HttpAt(const ListenSettings& listen, size_t max_body_bytes, ByteBudget* budget,
                         MetricsRegistry* metrics) {
  HttpServerOptions options;
  options.address = listen.address;
  options.port = listen.port;
  options.max_connections = kMaxConnections;
  options.stack_bytes = kConnectionStackBytes;
  options.max_body_bytes = max_body_bytes;
  options.body_budget = budget;
  options.handling_bytes = [](const std::string& body) { return ShapeOf(body).parsed_bytes; };
  options.metrics = metrics;
  return options;
}

ExitCode RunPoolEntry(const Args& args) {
  CommandOptions options("pool entry", "serve as an entry of a pool until SIGTERM", "SETTINGS",
                         "turmericshift pool entry entry.ini");
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string& path = options.operands()[0];
  const PoolEntrySettings settings = ParsePoolEntrySettings(path, ReadFileText(path));
  ShutdownSignal signal;
  InitLogging("turmericshift", {"entry", settings.name, settings.availability_zone});
  LogToStandardOutput();
  signal.EndDuringStart();
  MetricsRegistry metrics;
  ByteBudget body_budget(settings.vm_memory_bytes / kBodyShareOfMemory);
  const auto store = KeyedLogRegistry::Instance().Create(settings.adapter, settings.store_address);
  CountedKeyedLog log(store.get(), &metrics);
  const auto endpoint = pool::CallerEndpointRegistry::Instance().Create(settings.adapter);
  RpcPlannerConnector connector;
  pool::PoolEntryOptions entry_options;
  entry_options.node = settings.name;
  entry_options.zone = settings.availability_zone;
  entry_options.vm = settings.vm;
  entry_options.job_api.node = settings.name;
  entry_options.callers = HttpAt(settings.callers, settings.max_body_bytes, &body_budget, &metrics);
  entry_options.readiness = HttpAt(settings.readiness, kMaxProbeBytes, &body_budget, &metrics);
  entry_options.planner.planner = pool::PlannerOptionsFor(settings.bounds);
  entry_options.planner.planner.disabled_mechanisms = settings.mechanisms_off;
  pool::ApplyBounds(settings.bounds, &entry_options.job_api);
  for (const std::string& unmet : pool::UnattainableBounds(settings.bounds)) {
    LogEvent(LogLevel::kWarning, "bound_unmet", {{"reason", unmet}});
  }
  signal.BeginServing();
  pool::PoolEntry entry(entry_options, &log,
                        pool::OperatorDecoderRegistry::Instance().Create(settings.adapter),
                        endpoint.get(), &connector, &metrics);
  std::unique_ptr<pool::AdviceService> advice;
  std::optional<pool::AdviceFetcher> advice_fetcher;
  if (!settings.advice_address.empty()) {
    advice =
        pool::AdviceServiceRegistry::Instance().Create(settings.adapter, settings.advice_address);
    advice_fetcher.emplace(advice.get(), entry.planner());
  }
  PoolListenerOptions listener_options;
  listener_options.address = settings.sessions.address;
  listener_options.port = settings.sessions.port;
  const PoolListener listener(listener_options, entry.gate());
  const std::string listen_address =
      settings.sessions.address + ":" + std::to_string(listener.port());
  entry.Join(settings.sessions_reached_at.empty() ? listen_address : settings.sessions_reached_at);
  LogEvent(LogLevel::kInfo, "started",
           {{"callers", entry.caller_port()},
            {"readiness", entry.readiness_port()},
            {"sessions", listener.port()}});
  const Time asked_at = signal.Wait();
  signal.ExitOnNextSignal();
  const Time until = asked_at + settings.stop_limit - kExitReserve;
  const bool drained = entry.Leave(until - DefaultClock().Now());
  LogEvent(LogLevel::kInfo, "stopped", {{"drained", drained}});
  EndProcess(static_cast<int>(drained ? ExitCode::kDone : ExitCode::kFailed));
}

ExitCode RunPoolAgent(const Args& args) {
  CommandOptions options("pool agent", "serve as the agent of a pool's worker until SIGTERM",
                         "SETTINGS", "turmericshift pool agent agent.ini");
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string& path = options.operands()[0];
  const PoolAgentSettings settings = ParsePoolAgentSettings(path, ReadFileText(path));
  ShutdownSignal signal;
  InitLogging("turmericshift", {"agent", settings.name, settings.availability_zone});
  LogToStandardOutput();
  signal.EndDuringStart();
  MetricsRegistry metrics;
  ByteBudget body_budget(settings.vm_memory_bytes / kBodyShareOfMemory);
  const auto store = KeyedLogRegistry::Instance().Create(settings.adapter, settings.store_address);
  CountedKeyedLog log(store.get(), &metrics);
  const auto worker =
      pool::PoolWorkerRegistry::Instance().Create(settings.adapter, settings.worker_address);
  const auto endpoint = pool::WorkerEndpointRegistry::Instance().Create(settings.adapter);
  RpcPlannerConnector connector;
  pool::PoolAgentOptions agent_options;
  agent_options.node = settings.name;
  agent_options.zone = settings.availability_zone;
  agent_options.incarnation = RandomHex(kIncarnationBytes);
  agent_options.longest_lease = settings.longest_lease;
  signal.BeginServing();
  pool::PoolAgent agent(agent_options, &log, worker.get(), &connector, &metrics);
  const HttpServerOptions server_options =
      HttpAt(settings.announcements, settings.max_body_bytes, &body_budget, &metrics);
  HttpServer announcements(server_options, [&](const HttpRequest& request) {
    if (request.path == "/metrics") return HttpResponse{200, metrics.Expose(), {}};
    return endpoint->Handle(request, &agent);
  });
  LogEvent(LogLevel::kInfo, "started", {{"announcements", announcements.port()}});
  signal.Wait();
  signal.ExitOnNextSignal();
  announcements.StopAccepting();
  LogEvent(LogLevel::kInfo, "stopped", {{"drained", true}});
  EndProcess(static_cast<int>(ExitCode::kDone));
}

}  // namespace

ExitCode RunPool(const Args& args) {
  static const std::vector<Command> commands = {
      {"entry", "answer callers, and plan the pool while it is the active planner", &RunPoolEntry},
      {"agent", "run the agent of one worker", &RunPoolAgent}};
  return Dispatch("turmericshift pool", commands, args);
}

}  // namespace turmericshift
