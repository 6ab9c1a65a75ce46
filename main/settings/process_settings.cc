#include "main/settings/process_settings.h"

#include <algorithm>

#include "core/error.h"
#include "core/ini_keys.h"
#include "core/units.h"
#include "rpc/rpc_entry_connector.h"

namespace turmericshift {
namespace {

constexpr int kMaxPort = 65535;
// One day. No time that a platform sets for a pool is longer.
constexpr double kMaxSeconds = 86400;
// A shorter stop leaves no time for the load balancer to notice and for requests in flight to be
// answered.
constexpr double kMinStopSeconds = 3.5;
// With a shorter lease, runs would expire between two renewals by a healthy planner.
constexpr double kMinLeaseMillis = 1500;
constexpr double kMinBoundMillis = 1;
constexpr double kMillisPerSecond = 1000;

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

std::vector<IniKey> ListenKeys(ListenSettings* listen) {
  return {TextKey("address", kRequired, &listen->address),
          IntegerKey("port", kOptional, 0, kMaxPort, &listen->port)};
}

// Reads an endpoint given as "ip:port".
IniKey EndpointKey(const std::string& name, ListenSettings* listen) {
  return {name, true, [listen](const std::string& text) {
            constexpr int kAnyPort = 0;
            const PeerAddress address = ParsePeerAddress(text, kAnyPort);
            *listen = {address.ip, address.port};
          }};
}

// With a larger factor, a task placed away from its data's rack would practically never end.
constexpr double kMaxProcessorShare = 1024;
constexpr double kMaxProcessorSpeed = 1024;
constexpr double kMaxLinkMbit = 1e6;
constexpr double kMaxStrayFactor = 1000;
constexpr int64_t kMinVmMemoryMb = 1;
constexpr int64_t kMaxVmMemoryMb = int64_t{1} << 30;
constexpr int64_t kMaxBodyBytes = int64_t{1} << 30;
constexpr int64_t kMaxRecordBytes = int64_t{1} << 30;

// Reads a duration that a platform gives as a number without a unit, in units of `unit`; fractions
// are allowed.
IniKey PlatformTimeKey(const std::string& name, double low, double high, Duration unit,
                       Duration* time) {
  return {name, false, [=](const std::string& text) {
            const double count = ParseNumber(text, low, high);
            *time = Duration(static_cast<int64_t>(count * static_cast<double>(unit.count())));
          }};
}

// Reads a bound given in milliseconds.
IniKey BoundKey(const std::string& name, Duration* bound) {
  return PlatformTimeKey(name, kMinBoundMillis, kMaxSeconds * kMillisPerSecond,
                         std::chrono::milliseconds(1), bound);
}

IniKey LongestLeaseKey(Duration* longest_lease) {
  return PlatformTimeKey("longest_lease_ms", kMinLeaseMillis, kMaxSeconds * kMillisPerSecond,
                         std::chrono::milliseconds(1), longest_lease);
}

IniKey VmMemoryKey(size_t* bytes) {
  return {"memory_mb", false, [bytes](const std::string& megabytes) {
            *bytes = static_cast<size_t>(ParseInteger(megabytes, kMinVmMemoryMb, kMaxVmMemoryMb))
                     << 20;
          }};
}

std::vector<IniKey> WithVmMemory(std::vector<IniKey> keys, size_t* bytes) {
  keys.push_back(VmMemoryKey(bytes));
  return keys;
}

IniKey BodyBytesKey(size_t* max_body_bytes) {
  return {"body_bytes", false, [max_body_bytes](const std::string& bytes) {
            *max_body_bytes = static_cast<size_t>(ParseInteger(bytes, 1, kMaxBodyBytes));
          }};
}

std::vector<IniKey> WithBodyBytes(std::vector<IniKey> keys, size_t* max_body_bytes) {
  keys.push_back(BodyBytesKey(max_body_bytes));
  return keys;
}

std::vector<IniKey> BoundKeys(pool::PoolBounds* bounds) {
  return {LongestLeaseKey(&bounds->longest_lease),
          BoundKey("cancel_ms", &bounds->cancel),
          BoundKey("zone_out_ms", &bounds->zone_out),
          BoundKey("key_withdrawn_ms", &bounds->key_withdrawn),
          BoundKey("visible_ms", &bounds->visible),
          BoundKey("gang_wait_ms", &bounds->gang_wait),
          BoundKey("stop_ms", &bounds->stop),
          BoundKey("reclaim_ms", &bounds->reclaim),
          BoundKey("restore_ms", &bounds->restore),
          PlatformTimeKey("status_kept_s", 0, kMaxSeconds, std::chrono::seconds(1),
                          &bounds->status_kept),
          {"record_bytes", false,
           [bounds](const std::string& bytes) {
             bounds->max_record_bytes =
                 static_cast<size_t>(ParseInteger(bytes, 1, kMaxRecordBytes));
           }},
          {"stray_factor", false, [bounds](const std::string& factor) {
             bounds->off_rack_slowdown = ParseNumber(factor, 1, kMaxStrayFactor);
           }}};
}

IniKey VmKey(const std::string& name, double max_value, double* target) {
  return {name, false, [target, max_value](const std::string& text) {
            *target = ParseNumber(text, 0, max_value);
          }};
}

std::vector<IniKey> VmKeys(membership::VmResources* vm) {
  return {VmKey("processor_share", kMaxProcessorShare, &vm->processor_share),
          VmKey("processor_speed", kMaxProcessorSpeed, &vm->processor_speed),
          VmKey("link_mbit_s", kMaxLinkMbit, &vm->link_mbit_s)};
}

// Reads names of mechanisms, separated by spaces.
IniKey MechanismsKey(const std::string& name, pool::DisabledMechanisms* off) {
  return {name, false, [name, off](const std::string& text) {
            std::vector<std::string> names;
            WordsKey(name, kOptional, &names).assign(text);
            *off = pool::MechanismsFromNames(names);
          }};
}

// A section that the settings of a role may have.
struct SectionRule {
  std::string kind;
  bool required = false;
  std::vector<IniKey> keys;
};

std::string SectionKinds(const std::vector<SectionRule>& rules) {
  std::string kinds;
  for (const SectionRule& rule : rules) kinds += (kinds.empty() ? "" : ", ") + rule.kind;
  return kinds;
}

const IniSection* FindSection(const IniFile& file, const std::string& kind) {
  for (const IniSection& section : file.sections) {
    if (section.kind == kind) return &section;
  }
  return nullptr;
}

void BindFile(const std::string& file_name, const std::string& text,
              const std::vector<SectionRule>& rules) {
  IniFile file = ParseIni(file_name, text);
  const std::vector<IniSection> sections = file.sections;
  for (const SectionRule& rule : rules) {
    const IniSection* section = FindSection(file, rule.kind);
    if (section != nullptr) BindSection(IniSection(*section), rule.keys, &file);
    if (section == nullptr && rule.required) {
      file.problems.push_back({0, "[" + rule.kind + "]", "section is missing"});
    }
  }
  for (const IniSection& section : sections) {
    const bool known = std::any_of(rules.begin(), rules.end(), [&](const SectionRule& rule) {
      return rule.kind == section.kind && section.label.empty();
    });
    if (!known) ReportUnknownSection(section, SectionKinds(rules), &file);
  }
  file.ThrowIfProblems();
}

}  // namespace

EntrySettings ParseEntrySettings(const std::string& file_name, const std::string& text) {
  EntrySettings settings;
  BindFile(file_name, text,
           {{"process",
             true,
             {TextKey("name", kRequired, &settings.name),
              TextKey("availability_zone", kRequired, &settings.availability_zone),
              TextKey("shared_keys_file", kRequired, &settings.shared_keys_file),
              TextKey("operator_token_file", kOptional, &settings.operator_token_file),
              DurationKey("balancer_notice", kOptional, &settings.balancer_notice),
              DurationKey("stop_limit", kOptional, &settings.stop_limit)}},
            {"callers", true, ListenKeys(&settings.callers)},
            {"operators", true, ListenKeys(&settings.operators)},
            {"sessions",
             true,
             {TextKey("address", kRequired, &settings.sessions.address),
              IntegerKey("port", kOptional, 0, kMaxPort, &settings.sessions.port),
              TextKey("advertised_ip", kOptional, &settings.advertised_ip),
              IntegerKey("max_sessions", kOptional, 1, 10000, &settings.max_sessions)}},
            {"log",
             true,
             {TextKey("client", kOptional, &settings.log_client),
              TextKey("address", kRequired, &settings.log_address)}},
            {"environment",
             false,
             {TextKey("name", kRequired, &settings.environment),
              TextKey("trial", kOptional, &settings.trial),
              TextKey("promotion_key_file", kRequired, &settings.promotion_key_file)}},
            {"policies",
             false,
             {TextKey("routing", kOptional, &settings.routing_policy),
              TextKey("placement", kOptional, &settings.placement_policy)}},
            {"limits",
             false,
             {BytesKey("max_body", kOptional, int64_t{1} << 30, &settings.max_body_bytes),
              IntegerKey("max_connections", kOptional, 1, 100000, &settings.max_connections),
              DurationKey("idle_timeout", kOptional, &settings.idle_timeout)}}});
  return settings;
}

AgentSettings ParseAgentSettings(const std::string& file_name, const std::string& text) {
  AgentSettings settings;
  BindFile(file_name, text,
           {{"process",
             true,
             {TextKey("name", kRequired, &settings.name),
              TextKey("availability_zone", kRequired, &settings.availability_zone),
              TextKey("rack", kOptional, &settings.rack),
              TextKey("shared_keys_file", kRequired, &settings.shared_keys_file),
              DurationKey("stop_limit", kOptional, &settings.stop_limit)}},
            {"entries",
             true,
             {WordsKey("addresses", kRequired, &settings.entries),
              DurationKey("heartbeat", kOptional, &settings.heartbeat),
              DurationKey("heartbeat_timeout", kOptional, &settings.heartbeat_timeout)}},
            {"operators",
             false,
             {TextKey("address", kRequired, &settings.operators.address),
              IntegerKey("port", kOptional, 0, kMaxPort, &settings.operators.port),
              TextKey("token_file", kRequired, &settings.operator_token_file)}},
            {"target",
             false,
             {TextKey("service", kRequired, &settings.service),
              TextKey("client", kOptional, &settings.target_client),
              TextKey("address", kRequired, &settings.target_address),
              IntegerKey("slots", kOptional, 1, 4096, &settings.slots),
              IntegerKey("connections", kOptional, 1, 65536, &settings.connections)}},
            {"worker",
             false,
             {TextKey("client", kOptional, &settings.worker_client),
              TextKey("address", kRequired, &settings.worker_address),
              IntegerKey("processors", kOptional, 1, 4096, &settings.worker.processors),
              IntegerKey("accelerators", kOptional, 0, 32, &settings.worker.accelerators),
              BytesKey("memory", kOptional, int64_t{1} << 50, &settings.worker.memory_bytes)}}});
  return settings;
}

PoolEntrySettings ParsePoolEntrySettings(const std::string& file_name, const std::string& text) {
  PoolEntrySettings settings;
  BindFile(
      file_name, text,
      {{"process",
        true,
        {TextKey("name", kRequired, &settings.name),
         TextKey("availability_zone", kRequired, &settings.availability_zone),
         TextKey("adapter", kRequired, &settings.adapter),
         PlatformTimeKey("stop_limit_s", kMinStopSeconds, kMaxSeconds, std::chrono::seconds(1),
                         &settings.stop_limit)}},
       {"listen",
        true,
        {EndpointKey("callers", &settings.callers), EndpointKey("readiness", &settings.readiness),
         EndpointKey("sessions", &settings.sessions),
         TextKey("sessions_reached_at", kOptional, &settings.sessions_reached_at)}},
       {"store", true, {TextKey("address", kRequired, &settings.store_address)}},
       {"advice", false, {TextKey("address", kRequired, &settings.advice_address)}},
       {"vm", false, WithVmMemory(VmKeys(&settings.vm), &settings.vm_memory_bytes)},
       {"policy", false, {MechanismsKey("off", &settings.mechanisms_off)}},
       {"limits", false, WithBodyBytes(BoundKeys(&settings.bounds), &settings.max_body_bytes)}});
  return settings;
}

PoolAgentSettings ParsePoolAgentSettings(const std::string& file_name, const std::string& text) {
  PoolAgentSettings settings;
  BindFile(file_name, text,
           {{"process",
             true,
             {TextKey("name", kRequired, &settings.name),
              TextKey("availability_zone", kRequired, &settings.availability_zone),
              TextKey("adapter", kRequired, &settings.adapter)}},
            {"listen", true, {EndpointKey("announcements", &settings.announcements)}},
            {"worker", true, {TextKey("address", kRequired, &settings.worker_address)}},
            {"store", true, {TextKey("address", kRequired, &settings.store_address)}},
            {"vm", false, {VmMemoryKey(&settings.vm_memory_bytes)}},
            {"limits",
             false,
             {LongestLeaseKey(&settings.longest_lease), BodyBytesKey(&settings.max_body_bytes)}}});
  return settings;
}

}  // namespace turmericshift
