// Runs blocking calls outside the event loop.
#pragma once

#include <kj/async.h>

#include <functional>
#include <memory>
#include <utility>

#include "core/result.h"
#include "core/thread_pool.h"

namespace turmericshift {

// Runs `work` on a pool thread and returns a promise of its result. `work` must own everything that
// it uses, because the peer may disconnect before `work` runs.
template <typename Value>
kj::Promise<Result<Value>> Offload(ThreadPool* pool, std::function<Value()> work) {
  auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<Value>>();
  // std::function must be copyable, and kj::Own is not.
  auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Result<Value>>>>(
      kj::mv(pair.fulfiller));
  pool->Submit(
      [fulfiller, work = std::move(work)] { (*fulfiller)->fulfill(ResultOf<Value>(work)); });
  return kj::mv(pair.promise);
}

}  // namespace turmericshift
