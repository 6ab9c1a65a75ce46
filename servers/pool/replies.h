// Replies that are prepared under a lock and delivered after it is released.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "core/result.h"

namespace turmericshift::pool {

using Replies = std::vector<std::function<void()>>;

template <typename Value>
std::function<void()> Succeeded(std::function<void(Result<Value>)> done, Value value) {
  return [done = std::move(done), value = std::move(value)] { done({value, std::nullopt}); };
}

template <typename Value>
std::function<void()> Failed(std::function<void(Result<Value>)> done, const Error& error) {
  return [done = std::move(done), error] { done({std::nullopt, error}); };
}

inline void RunAll(const Replies& replies) {
  for (const auto& reply : replies) reply();
}

}  // namespace turmericshift::pool
