#include "servers/state/record.h"

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/logging.h"
#include "core/secret.h"

namespace turmericshift {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigPublished, id, version, parent, digest, text,
                                                author, wall_ms, environment, sets_zones,
                                                keeps_zones)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneChanged, id, zone, in, author, wall_ms, environment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotPart, id, covers, part, parts, digest, bytes, wall_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestClaimed, id, workspace, key, service, body_digest,
                                   attempt, agent, incarnation, wall_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestEnded, id, workspace, key, attempt, status, body,
                                   body_digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSubmitted, id, spec, zone, config_version, wall_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobCancelled, id, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobMoved, id, job, from, to, epoch, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlannerClaimed, id, zone, process, after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlannerReleased, id, zone, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStarting, id, job, attempt, epoch, resumes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobNotStarted, id, job, attempt, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberJoined, id, process, role, zone, address,
                                                incarnation, caller_address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberLeft, id, process, incarnation)

// Encoded by hand, because the state is stored by its name.
static void to_json(nlohmann::json& json, const JobEnded& record) {  // NOLINT: the library's name
  json = {{"id", record.id},           {"job", record.job},
          {"attempt", record.attempt}, {"state", JobStateName(record.state)},
          {"reason", record.reason},   {"wall_ms", record.wall_ms},
          {"epoch", record.epoch}};
}

static void from_json(const nlohmann::json& json, JobEnded& record) {  // NOLINT: the library's name
  json.at("id").get_to(record.id);
  json.at("job").get_to(record.job);
  json.at("attempt").get_to(record.attempt);
  record.state = JobStateFromName(json.at("state").get<std::string>());
  json.at("reason").get_to(record.reason);
  json.at("wall_ms").get_to(record.wall_ms);
  record.epoch = json.value("epoch", kNoSequence);
}

namespace {

constexpr size_t kIdBytes = 12;
// In the order of the variant's alternatives.
constexpr std::array<const char*, std::variant_size_v<Record>> kTypeNames = {
    "config_published", "request_claimed", "request_ended",    "job_submitted", "job_cancelled",
    "job_ended",        "job_moved",       "planner_claimed",  "member_joined", "member_left",
    "job_starting",     "job_not_started", "planner_released", "zone_changed",  "snapshot_part"};

template <size_t kIndex = 0>
Record DecodeAs(const std::string& type, const nlohmann::json& json) {
  if constexpr (kIndex == std::variant_size_v<Record>) {
    throw Error(ErrorKind::kInvalidInput, "unknown record type '" + type + "'");
  } else {
    if (type != kTypeNames.at(kIndex)) return DecodeAs<kIndex + 1>(type, json);
    return json.get<std::variant_alternative_t<kIndex, Record>>();
  }
}

}  // namespace

const std::string& RecordId(const Record& record) {
  return std::visit([](const auto& each) -> const std::string& { return each.id; }, record);
}

std::string NewRecordId() { return RandomHex(kIdBytes); }

nlohmann::json RecordToJson(const Record& record) {
  nlohmann::json json = std::visit([](const auto& each) { return nlohmann::json(each); }, record);
  json["type"] = kTypeNames.at(record.index());
  return json;
}

Record RecordFromJson(const nlohmann::json& json) {
  return DecodeAs(json.at("type").get<std::string>(), json);
}

std::string EncodeRecord(const Record& record) {
  return RecordToJson(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string JoinEncoded(const std::vector<std::string>& records) {
  std::string entry = "[";
  for (const std::string& record : records) {
    if (entry.size() > 1) entry += ',';
    entry += record;
  }
  return entry + "]";
}

std::string EncodeRecords(const std::vector<Record>& records) {
  std::vector<std::string> encoded;
  encoded.reserve(records.size());
  for (const Record& record : records) encoded.push_back(EncodeRecord(record));
  return JoinEncoded(encoded);
}

std::vector<PlacedRecord> DecodeRecords(const std::string& bytes) {
  std::vector<PlacedRecord> records;
  const nlohmann::json group = nlohmann::json::parse(bytes, nullptr, false);
  if (!group.is_array() || group.size() > kMaxRecordsPerEntry) {
    LogEvent(LogLevel::kError, "log_entry_unreadable", {{"bytes", bytes.size()}});
    return records;
  }
  int place = 0;
  for (const nlohmann::json& json : group) {
    const int here = place++;
    try {
      records.push_back({here, RecordFromJson(json)});
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kError, "log_record_unreadable", {{"error", error.what()}});
    }
  }
  return records;
}

}  // namespace turmericshift
