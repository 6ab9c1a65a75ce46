// A value or the Error that came in its place, for crossing boundaries that lose exception types.
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

  // The value; throws the Error if there is one.
  Value Take() {
    if (error) throw *error;
    return std::move(*value);
  }
};

// What `work` returns or throws.
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
