// The error kinds, and the table that maps each kind to its HTTP status, exit code and advice.
#pragma once

#include <array>
#include <optional>
#include <stdexcept>
#include <string>

#include "core/clock.h"

namespace turmericshift {

// All ways in which an operation can fail. A new kind also needs a row in the table in error.cc; a
// test checks that every kind has a row.
enum class ErrorKind {
  kInvalidInput,
  kTooLarge,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kConflict,
  kImpossible,
  kDeadlineExceeded,
  kCancelled,
  kOverloaded,
  kLeaving,
  kUnavailable,
  kLogUnavailable,
  kTrimmed,
  kFenced,
  kStale,
  kConnectionLost,
  kTargetFailed,
  kAnswerCut,
  kKeyExpired,
  kInternal,
};

inline constexpr int kErrorKindCount = static_cast<int>(ErrorKind::kInternal) + 1;

// Whether the work of a failed request was run.
enum class Outcome { kNotRun, kRan, kUnknown };

// Exit codes of the binary, as documented in `turmericshift --help`.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  // The command was not carried out.
  kUnavailable = 3,
  // The deadline passed.
  kTimedOut = 4,
  // The command may or may not have been carried out.
  kUnknown = 5,
};

// A row of the table of error kinds.
struct ErrorInfo {
  ErrorKind kind;
  const char* name;
  int http_status;
  ExitCode exit_code;
  // The outcome of an Error that is constructed without an explicit outcome.
  Outcome default_outcome;
  // Whether the same request may succeed later without changes.
  bool retryable;
  // What the caller can do about the error.
  const char* advice;
};

// Returns the table's row for `kind`. Every kind has a row.
const ErrorInfo& ErrorInfoFor(ErrorKind kind);

class Error;
// Returns the exit code of a command that failed with `error`: the table's code, except that
// kUnavailable, which means that nothing was done, becomes kUnknown unless the outcome is kNotRun.
ExitCode ExitCodeFor(const Error& error);

// Returns the kind called `name`, or kInternal for an unknown name.
ErrorKind ErrorKindFromName(const std::string& name);

const char* OutcomeName(Outcome outcome);

// Returns the outcome called `name`. An unknown name gives kUnknown, so that an invalid message
// from a peer is never taken for "not run".
Outcome OutcomeFromName(const std::string& name);

// The exception type of this project.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message);
  Error(ErrorKind kind, Outcome outcome, const std::string& message);

  ErrorKind kind() const { return kind_; }
  Outcome outcome() const { return outcome_; }
  // Time after which the same request may succeed; empty if the failed side gave none.
  std::optional<Duration> retry_after() const { return retry_after_; }
  void set_retry_after(Duration retry_after) { retry_after_ = retry_after; }

 private:
  ErrorKind kind_;
  Outcome outcome_;
  std::optional<Duration> retry_after_;
};

}  // namespace turmericshift
