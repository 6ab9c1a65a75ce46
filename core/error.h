// The closed list of error kinds and the one table that says how each is answered.
#pragma once

#include <array>
#include <stdexcept>
#include <string>

namespace turmericshift {

// Every way in which an operation of this project can fail. Add a kind here and a row to the table
// in error.cc; a test checks that the table is total.
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

// What is known about the work that a failed request asked for.
enum class Outcome { kNotRun, kRan, kUnknown };

// Exit codes of the binary, as documented in `turmericshift --help`.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  // Nothing was done.
  kUnavailable = 3,
  // The time was up.
  kTimedOut = 4,
  // It may have been done or not.
  kUnknown = 5,
};

// One row of the table from error kind to answer.
struct ErrorInfo {
  ErrorKind kind;
  const char* name;
  int http_status;
  ExitCode exit_code;
  // What holds unless the thrower states otherwise.
  Outcome default_outcome;
  // Whether the same request may succeed later without being changed.
  bool retryable;
  // What the reader of the message may do next.
  const char* advice;
};

// The row of `kind`. Total: every kind has one.
const ErrorInfo& ErrorInfoFor(ErrorKind kind);

class Error;
// What a command that ends with `error` exits with: the table's code, but never one that says
// "nothing was done" of an outcome that isn't known.
ExitCode ExitCodeFor(const Error& error);

// The kind whose name is `name`; kInternal for a name that is none of ours.
ErrorKind ErrorKindFromName(const std::string& name);

const char* OutcomeName(Outcome outcome);

// kUnknown for any name that is not one of ours: a peer's nonsense must never read as "not run".
Outcome OutcomeFromName(const std::string& name);

// The one exception type of the project.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message);
  Error(ErrorKind kind, Outcome outcome, const std::string& message);

  ErrorKind kind() const { return kind_; }
  Outcome outcome() const { return outcome_; }

 private:
  ErrorKind kind_;
  Outcome outcome_;
};

}  // namespace turmericshift
