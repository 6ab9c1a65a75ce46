// turmericshift entry, agent, stand-in: each command runs one process of the system.
#include <cstdio>

#include "core/logging.h"
#include "core/secret.h"
#include "core/shutdown.h"
#include "core/units.h"
#include "main/agent_operator_api.h"
#include "main/commands.h"
#include "main/settings/process_settings.h"
#include "modules/stand_ins/fake_target.h"
#include "modules/stand_ins/fake_worker.h"
#include "modules/stand_ins/log_server.h"
#include "rpc/gate_listener.h"
#include "rpc/rpc_entry_connector.h"
#include "servers/agent/agent_server.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

constexpr size_t kIncarnationBytes = 8;

SharedKeys ReadKeys(const std::string& path) {
  SharedKeys keys{ReadFileLines(path)};
  if (keys.keys.empty()) throw Error(ErrorKind::kInvalidInput, path + " holds no key");
  return keys;
}

// Returns the first line of the file, or "" for an empty path.
std::string ReadSecret(const std::string& path) {
  if (path.empty()) return "";
  const std::vector<std::string> lines = ReadFileLines(path);
  if (lines.empty()) throw Error(ErrorKind::kInvalidInput, path + " holds no key or token");
  return lines.front();
}

HttpServerOptions HttpOptions(const ListenSettings& listen, const EntrySettings& settings) {
  HttpServerOptions options;
  options.address = listen.address;
  options.port = listen.port;
  options.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  options.max_connections = settings.max_connections;
  options.idle_timeout = std::chrono::duration_cast<std::chrono::seconds>(settings.idle_timeout);
  return options;
}

EntryOptions MakeEntryOptions(const EntrySettings& settings) {
  EntryOptions options;
  options.process = settings.name;
  options.zone = settings.availability_zone;
  options.caller_http = HttpOptions(settings.callers, settings);
  options.operator_http = HttpOptions(settings.operators, settings);
  options.balancer_notice = settings.balancer_notice;
  options.environment = settings.environment;
  options.promotion_key = ReadSecret(settings.promotion_key_file);
  options.trial = settings.trial;
  options.operator_token = ReadSecret(settings.operator_token_file);
  if (!settings.routing_policy.empty()) options.routing_policy = settings.routing_policy;
  if (!settings.placement_policy.empty()) options.placement_policy = settings.placement_policy;
  return options;
}

AgentOptions MakeAgentOptions(const AgentSettings& settings) {
  AgentOptions options;
  options.hello.process = settings.name;
  options.hello.incarnation = RandomHex(kIncarnationBytes);
  options.hello.zone = settings.availability_zone;
  options.hello.rack = settings.rack;
  options.hello.service = settings.service;
  options.hello.worker = settings.worker;
  options.entries = settings.entries;
  options.slots = settings.slots;
  options.connections = settings.connections;
  options.heartbeat = settings.heartbeat;
  options.heartbeat_timeout = settings.heartbeat_timeout;
  return options;
}

// Waits for the stop signal and shuts the server down gracefully; a second signal ends the process
// immediately. `stop_limit` counts from the signal. After the shutdown the process ends without
// joining threads that still wait.
template <typename Server>
[[noreturn]] void ServeUntilSignal(ShutdownSignal* signal, Server* server, Duration stop_limit) {
  const Time until = signal->Wait() + stop_limit;
  signal->ExitOnNextSignal();
  const bool drained = server->Leave(until - DefaultClock().Now());
  LogEvent(drained ? LogLevel::kInfo : LogLevel::kWarning, "stopped", {{"drained", drained}});
  EndProcess(static_cast<int>(drained ? ExitCode::kDone : ExitCode::kFailed));
}

HttpServerOptions StandInHttp(const CommandOptions& options) {
  HttpServerOptions http;
  http.port = static_cast<int>(ParseInteger(options.value("port"), 0, 65535));
  return http;
}

ExitCode StandInLog(const Args& args) {
  CommandOptions options("stand-in log", "serve an in-memory log", "",
                         "turmericshift stand-in log --port 9000");
  options.Value("port", "port on 127.0.0.1; 0 lets the system choose", "0");
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  ShutdownSignal signal;
  InitLogging("turmericshift", {"stand-in", "log", ""});
  signal.EndDuringStart();
  signal.BeginServing();
  MemoryLog log;
  const LogServer server(StandInHttp(options), &log);
  LogEvent(LogLevel::kInfo, "listening", {{"callers", server.port()}});
  signal.Wait();
  return ExitCode::kDone;
}

ExitCode StandInTarget(const Args& args) {
  CommandOptions options("stand-in target", "serve a target that echoes each request", "",
                         "turmericshift stand-in target --port 9100");
  options.Value("port", "port on 127.0.0.1; 0 lets the system choose", "0")
      .Value("delay", "how long each request takes", "0s");
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  ShutdownSignal signal;
  InitLogging("turmericshift", {"stand-in", "target", ""});
  signal.EndDuringStart();
  signal.BeginServing();
  FakeTarget target(StandInHttp(options));
  target.SetFaults({ParseDuration(options.value("delay")), false});
  LogEvent(LogLevel::kInfo, "listening", {{"callers", target.port()}});
  signal.Wait();
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunEntry(const Args& args) {
  CommandOptions options("entry", "serve as an entry until SIGTERM", "SETTINGS",
                         "turmericshift entry examples/settings/entry.ini");
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string& path = options.operands()[0];
  const EntrySettings settings = ParseEntrySettings(path, ReadFileText(path));
  ShutdownSignal signal;
  InitLogging("turmericshift", {"entry", settings.name, settings.availability_zone});
  LogToStandardOutput();
  signal.EndDuringStart();
  MetricsRegistry metrics;
  const std::unique_ptr<LogService> log =
      LogServiceRegistry::Instance().Create(settings.log_client, settings.log_address);
  GateOptions gate_options;
  gate_options.address = settings.sessions.address;
  gate_options.port = settings.sessions.port;
  gate_options.keys = ReadKeys(settings.shared_keys_file);
  gate_options.max_sessions = settings.max_sessions;
  const EntryOptions entry_options = MakeEntryOptions(settings);
  signal.BeginServing();
  EntryServer server(entry_options, log.get(), &metrics);
  const GateListener gate(gate_options, &server);
  const std::string ip =
      settings.advertised_ip.empty() ? settings.sessions.address : settings.advertised_ip;
  server.AnnounceAddress(ip + ":" + std::to_string(gate.port()));
  LogEvent(LogLevel::kInfo, "listening",
           {{"callers", server.caller_port()},
            {"operators", server.operator_port()},
            {"sessions", gate.port()}});
  ServeUntilSignal(&signal, &server, settings.stop_limit);
}

ExitCode RunAgent(const Args& args) {
  CommandOptions options("agent", "serve as the agent of a target or worker until SIGTERM",
                         "SETTINGS", "turmericshift agent examples/settings/agent.ini");
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string& path = options.operands()[0];
  const AgentSettings settings = ParseAgentSettings(path, ReadFileText(path));
  ShutdownSignal signal;
  InitLogging("turmericshift", {"agent", settings.name, settings.availability_zone});
  LogToStandardOutput();
  signal.EndDuringStart();
  MetricsRegistry metrics;
  std::unique_ptr<TargetService> target;
  if (!settings.target_address.empty()) {
    target =
        TargetServiceRegistry::Instance().Create(settings.target_client, settings.target_address);
  }
  std::unique_ptr<WorkerService> worker;
  if (!settings.worker_address.empty()) {
    worker =
        WorkerServiceRegistry::Instance().Create(settings.worker_client, settings.worker_address);
  }
  RpcEntryConnector connector(ReadKeys(settings.shared_keys_file), settings.connections);
  const std::string operator_token = ReadSecret(settings.operator_token_file);
  signal.BeginServing();
  AgentServer server(MakeAgentOptions(settings), &connector, target.get(), worker.get(), &metrics);
  const AgentOperatorApi operators(&server, &metrics, operator_token);
  std::unique_ptr<HttpServer> operator_http;
  if (!settings.operators.address.empty()) {
    HttpServerOptions http;
    http.address = settings.operators.address;
    http.port = settings.operators.port;
    operator_http = std::make_unique<HttpServer>(
        http, [&operators](const HttpRequest& request) { return operators.Handle(request); });
  }
  LogEvent(
      LogLevel::kInfo, "agent_started",
      {{"entries", settings.entries}, {"operators", operator_http ? operator_http->port() : 0}});
  ServeUntilSignal(&signal, &server, settings.stop_limit);
}

ExitCode RunStandIn(const Args& args) {
  static const std::vector<Command> commands = {
      {"log", "the platform's log, in memory", &StandInLog},
      {"target", "a target that echoes each request", &StandInTarget}};
  return Dispatch("turmericshift stand-in", commands, args);
}

}  // namespace turmericshift
