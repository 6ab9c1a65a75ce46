// A value or an Error, for boundaries that lose exception types, such as threads and RPC promises.
#pragma once

#include <exception>
#include <optional>
#include <utility>

#include "core/error.h"

namespace turmericshift {

template <typename Value>
struct Result {
  std::optional<Value> value;
  std::optional<Error> error;

  // Moves the value out, so call this only once. Throws the Error if there is one.
  Value Take() {
    if (error) throw *error;
    return std::move(*value);
  }
};

// Calls `work` and captures its return value or exception. An exception that is not an Error
// becomes an Error(kInternal).
template <typename Value, typename Work>
Result<Value> ResultOf(Work&& work) {
  Result<Value> result;
  try {
    result.value = work();
  } catch (const Error& error) {
    result.error = error;
  } catch (const std::exception& error) {
    result.error.emplace(ErrorKind::kInternal, error.what());
  }
  return result;
}

}  // namespace turmericshift
