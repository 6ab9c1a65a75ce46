#include "core/error.h"

namespace turmericshift {
namespace {

constexpr std::array<ErrorInfo, kErrorKindCount> kErrorInfos = {{
    {ErrorKind::kInvalidInput, "invalid_input", 400, ExitCode::kUsage, Outcome::kNotRun, false,
     "correct the input and send it again"},
    {ErrorKind::kTooLarge, "too_large", 413, ExitCode::kUsage, Outcome::kNotRun, false,
     "send a smaller body"},
    {ErrorKind::kUnauthenticated, "unauthenticated", 401, ExitCode::kUsage, Outcome::kNotRun, false,
     "send a valid token"},
    {ErrorKind::kForbidden, "forbidden", 403, ExitCode::kUsage, Outcome::kNotRun, false,
     "ask the operators for access"},
    {ErrorKind::kNotFound, "not_found", 404, ExitCode::kFailed, Outcome::kNotRun, false,
     "check the name"},
    {ErrorKind::kConflict, "conflict", 409, ExitCode::kFailed, Outcome::kNotRun, false,
     "read the current state and decide again"},
    {ErrorKind::kImpossible, "impossible", 422, ExitCode::kFailed, Outcome::kNotRun, false,
     "ask for a shape that the environment can hold"},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504, ExitCode::kTimedOut, Outcome::kUnknown,
     true, "send it again with a later deadline"},
    {ErrorKind::kCancelled, "cancelled", 499, ExitCode::kFailed, Outcome::kNotRun, false,
     "nothing; the caller gave up"},
    {ErrorKind::kOverloaded, "overloaded", 429, ExitCode::kUnavailable, Outcome::kNotRun, true,
     "come back after the given time"},
    {ErrorKind::kLeaving, "leaving", 503, ExitCode::kUnavailable, Outcome::kNotRun, true,
     "send it again; another process will take it"},
    {ErrorKind::kUnavailable, "unavailable", 503, ExitCode::kUnavailable, Outcome::kNotRun, true,
     "come back after the given time"},
    {ErrorKind::kLogUnavailable, "log_unavailable", 503, ExitCode::kUnavailable, Outcome::kNotRun,
     true, "wait until the platform's log is back"},
    {ErrorKind::kTrimmed, "trimmed", 410, ExitCode::kFailed, Outcome::kNotRun, true,
     "start again from the newest snapshot"},
    {ErrorKind::kFenced, "fenced", 409, ExitCode::kFailed, Outcome::kNotRun, false,
     "nothing; a newer holder has taken over"},
    {ErrorKind::kStale, "stale", 503, ExitCode::kUnavailable, Outcome::kNotRun, true,
     "come back when the process has read the newest configuration"},
    {ErrorKind::kConnectionLost, "connection_lost", 502, ExitCode::kUnknown, Outcome::kUnknown,
     true, "ask again with the same idempotency key"},
    {ErrorKind::kTargetFailed, "target_failed", 502, ExitCode::kFailed, Outcome::kUnknown, false,
     "see the target's own log"},
    {ErrorKind::kAnswerCut, "answer_cut", 502, ExitCode::kFailed, Outcome::kUnknown, true,
     "ask again with the same idempotency key"},
    {ErrorKind::kKeyExpired, "key_expired", 410, ExitCode::kFailed, Outcome::kUnknown, false,
     "find out by other means whether the work was done; use a new key"},
    {ErrorKind::kInternal, "internal", 500, ExitCode::kFailed, Outcome::kUnknown, false,
     "report it with the request id"},
}};

constexpr std::array<const char*, 3> kOutcomeNames = {"not_run", "ran", "unknown"};

}  // namespace

const ErrorInfo& ErrorInfoFor(ErrorKind kind) { return kErrorInfos.at(static_cast<size_t>(kind)); }

ExitCode ExitCodeFor(const Error& error) {
  const ExitCode code = ErrorInfoFor(error.kind()).exit_code;
  const bool says_not_run = code == ExitCode::kUnavailable;
  return says_not_run && error.outcome() != Outcome::kNotRun ? ExitCode::kUnknown : code;
}

ErrorKind ErrorKindFromName(const std::string& name) {
  for (const ErrorInfo& info : kErrorInfos) {
    if (name == info.name) return info.kind;
  }
  return ErrorKind::kInternal;
}

const char* OutcomeName(Outcome outcome) { return kOutcomeNames.at(static_cast<size_t>(outcome)); }

Outcome OutcomeFromName(const std::string& name) {
  if (name == kOutcomeNames[0]) return Outcome::kNotRun;
  if (name == kOutcomeNames[1]) return Outcome::kRan;
  return Outcome::kUnknown;
}

Error::Error(ErrorKind kind, const std::string& message)
    : Error(kind, ErrorInfoFor(kind).default_outcome, message) {}

Error::Error(ErrorKind kind, Outcome outcome, const std::string& message)
    : std::runtime_error(message), kind_(kind), outcome_(outcome) {}

}  // namespace turmericshift
