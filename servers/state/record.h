// Typed records of the streams in the platform's log. They are encoded as JSON, so that an operator
// can read a stream. docs/DESIGN.md explains why not as Cap'n Proto.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

#include "servers/jobs/job.h"
#include "servers/platform/log_service.h"

namespace turmericshift {

// Position of a record in its stream's total order: the offset of the entry and the record's index
// within the entry.
using Sequence = int64_t;
inline constexpr Sequence kNoSequence = -1;
inline constexpr int kMaxRecordsPerEntry = 4096;
inline Sequence SequenceOf(Offset offset, int place) {
  return offset * kMaxRecordsPerEntry + place;
}

// Every record has a unique id chosen by its writer. Of several records with one id only the first
// takes effect.

struct ConfigPublished {
  std::string id;
  int64_t version = 0;
  int64_t parent = 0;
  std::string digest;
  std::string text;
  std::string author;
  int64_t wall_ms = 0;
  // Name of the environment that this log belongs to, such as "trial".
  std::string environment;
  // Allows the document to change the state of availability zones. Without this flag such a
  // document is rejected, so that an outdated file does not bring a zone back by accident.
  bool sets_zones = false;
  // Availability zones keep their present state, whatever the document says.
  bool keeps_zones = false;
};

// Brings an availability zone in or takes it out. Applies to the document that is newest when the
// record is read from the log, so an unrelated change can't make the record fail.
struct ZoneChanged {
  std::string id;
  std::string zone;
  bool in = true;
  std::string author;
  int64_t wall_ms = 0;
  std::string environment;
};

// One part of a snapshot: the state after all entries before `covers`. All writers produce the same
// parts for one `covers`, so it is harmless if several processes write a snapshot.
struct SnapshotPart {
  std::string id;
  int64_t covers = 0;
  int part = 0;
  int parts = 1;
  // Digest of the complete snapshot.
  std::string digest;
  std::string bytes;
  int64_t wall_ms = 0;
};

struct RequestClaimed {
  std::string id;
  std::string workspace;
  std::string key;
  std::string service;
  std::string body_digest;
  int attempt = 1;
  // Agent of the target that may run the attempt, and the incarnation of that agent's process.
  std::string agent;
  std::string incarnation;
  int64_t wall_ms = 0;
};

// RequestEnded::status of an attempt that has not run and never will.
inline constexpr int kNeverRanStatus = 0;

struct RequestEnded {
  std::string id;
  std::string workspace;
  std::string key;
  int attempt = 1;
  int status = 0;
  std::string body;
  std::string body_digest;
};

struct JobSubmitted {
  std::string id;
  JobSpec spec;
  // The availability zone whose planner is responsible for the job.
  std::string zone;
  int64_t config_version = 0;
  int64_t wall_ms = 0;
};

struct JobCancelled {
  std::string id;
  std::string job;
};

struct JobEnded {
  std::string id;
  std::string job;
  int64_t attempt = 0;
  JobState state = JobState::kDone;
  std::string reason;
  int64_t wall_ms = 0;
  // Epoch of the planner that reports the end. The record is rejected if that planner is no longer
  // the active one of the job's zone. kNoSequence: accepted whoever the active planner is.
  Sequence epoch = kNoSequence;
};

// States that a job that must not run twice is about to be released, that is, its held tasks are
// told to run. The planner writes this record and reads it back before the release.
struct JobStarting {
  std::string id;
  std::string job;
  int64_t attempt = 0;
  Sequence epoch = kNoSequence;
  // The attempt resumes from a checkpoint of the previous attempt, so no work runs twice.
  bool resumes = false;
};

// States that the attempt of a JobStarting record was not released (allowed to run) on any worker
// and never will be.
struct JobNotStarted {
  std::string id;
  std::string job;
  int64_t attempt = 0;
  Sequence epoch = kNoSequence;
};

struct JobMoved {
  std::string id;
  std::string job;
  std::string from;
  std::string to;
  // Epoch of the planner of `from`, which hands the job over.
  Sequence epoch = kNoSequence;
  std::string checkpoint;
};

// Claims the leadership of a zone. The record's sequence becomes the planner's epoch.
struct PlannerClaimed {
  std::string id;
  std::string zone;
  std::string process;
  // Epoch of the previous planner. Of two competing claims that name the same epoch only the first
  // is accepted.
  Sequence after = kNoSequence;
};

// Clean hand-over: the planner with `epoch` has stepped down from the zone.
struct PlannerReleased {
  std::string id;
  std::string zone;
  Sequence epoch = kNoSequence;
};

struct MemberJoined {
  std::string id;
  std::string process;
  std::string role;
  std::string zone;
  // Address for the process's peers, "IP:port".
  std::string address;
  std::string incarnation;
  // Address for callers of an entry, "IP:port". Empty for other roles.
  std::string caller_address{};
};

struct MemberLeft {
  std::string id;
  std::string process;
  std::string incarnation;
};

using Record =
    std::variant<ConfigPublished, RequestClaimed, RequestEnded, JobSubmitted, JobCancelled,
                 JobEnded, JobMoved, PlannerClaimed, MemberJoined, MemberLeft, JobStarting,
                 JobNotStarted, PlannerReleased, ZoneChanged, SnapshotPart>;

const std::string& RecordId(const Record& record);

// Returns a new random record id.
std::string NewRecordId();

// Encodes one record together with its type, as snapshots store it.
nlohmann::json RecordToJson(const Record& record);
// Throws Error or the JSON library's exceptions if `json` is not a valid record.
Record RecordFromJson(const nlohmann::json& json);

// Encodes a group of records, at most kMaxRecordsPerEntry, as one log entry.
std::string EncodeRecords(const std::vector<Record>& records);

// EncodeRecords in two steps: encode each record, then join the encoded records to an entry.
std::string EncodeRecord(const Record& record);
std::string JoinEncoded(const std::vector<std::string>& records);

// A decoded record and its index in the log entry. All readers skip the same unreadable records,
// which still count in `place`, so that sequences agree.
struct PlacedRecord {
  int place = 0;
  Record record;
};
std::vector<PlacedRecord> DecodeRecords(const std::string& bytes);

}  // namespace turmericshift
