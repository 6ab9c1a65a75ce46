// A value or the Error that came in its place, for crossing boundaries that lose exception types.
#pragma once

#include <exception>
#include <optional>
#include <utility>

#include "core/error.h"

namespace turmericshift {

template <typename Value>
struct Attempt {
  std::optional<Value> value;
  std::optional<Error> error;

  // The value; throws the Error if there is one.
  Value Take() {
    if (error) throw *error;
    return std::move(*value);
  }
};

// What `work` returns or throws.
template <typename Value, typename Work>
Attempt<Value> AttemptOf(Work&& work) {
  Attempt<Value> attempt;
  try {
    attempt.value = work();
  } catch (const Error& error) {
    attempt.error = error;
  } catch (const std::exception& error) {
    attempt.error.emplace(ErrorKind::kInternal, error.what());
  }
  return attempt;
}

}  // namespace turmericshift
