// A stream that limits how much a peer may send before it has authenticated. Without the limit, any
// host that reaches the port could make this process buffer messages of tens of megabytes for each
// connection, and exhaust its memory without a single open session.
#pragma once

#include <kj/async-io.h>

#include <atomic>

#include "rpc/traffic.h"

namespace turmericshift {

// Enough for the two calls of the handshake, which carry a nonce, a proof and the AgentHello. A
// peer that sends more is not an agent.
inline constexpr size_t kMaxUnadmittedBytes = size_t{16} * 1024;

class AdmissionStream final : public kj::AsyncIoStream {
 public:
  // Reads are limited until `*admitted` is true. `inner` and `admitted` must outlive the stream.
  AdmissionStream(kj::AsyncIoStream* inner, const std::atomic<bool>* admitted)
      : inner_(inner), admitted_(admitted) {}

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    // Counts the requested bytes, because the library requests a whole message as soon as it knows
    // its size.
    if (!admitted_->load() && read_ + min_bytes > kMaxUnadmittedBytes) {
      return KJ_EXCEPTION(DISCONNECTED,
                          "peer sent more than the handshake needs before it had authenticated");
    }
    return inner_->tryRead(buffer, min_bytes, max_bytes).then([this](size_t bytes) {
      read_ += bytes;
      ProcessTraffic().read += static_cast<int64_t>(bytes);
      return bytes;
    });
  }

  kj::Promise<void> write(const void* buffer, size_t size) override {
    ProcessTraffic().written += static_cast<int64_t>(size);
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (const auto& piece : pieces) {
      ProcessTraffic().written += static_cast<int64_t>(piece.size());
    }
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
  void shutdownWrite() override { inner_->shutdownWrite(); }
  void abortRead() override { inner_->abortRead(); }

 private:
  kj::AsyncIoStream* const inner_;
  const std::atomic<bool>* const admitted_;
  size_t read_ = 0;
};

}  // namespace turmericshift
