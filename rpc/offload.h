// Runs a blocking call on a pool thread and fulfils the caller's RPC when it returns.
#pragma once

#include <kj/async.h>

#include <functional>
#include <memory>
#include <utility>

#include "core/result.h"
#include "core/thread_pool.h"

namespace turmericshift {

// `work` must own what it uses: the peer may have gone before it runs.
template <typename Value>
kj::Promise<Result<Value>> Offload(ThreadPool* pool, std::function<Value()> work) {
  auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<Value>>();
  // std::function wants something that can be copied, which kj::Own can't.
  auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Result<Value>>>>(
      kj::mv(pair.fulfiller));
  pool->Submit(
      [fulfiller, work = std::move(work)] { (*fulfiller)->fulfill(ResultOf<Value>(work)); });
  return kj::mv(pair.promise);
}

}  // namespace turmericshift
