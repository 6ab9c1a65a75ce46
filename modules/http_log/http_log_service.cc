#include "modules/http_log/http_log_service.h"

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/http_client.h"

namespace turmericshift {
namespace {

constexpr int kGone = 410;
constexpr int kOk = 200;
constexpr size_t kMaxBatchBytes = size_t{64} << 20;

// Converts a transport error and keeps its outcome. The answer may be lost after an append took
// effect, so only a connection that was never made proves that nothing was appended.
Error ToLogError(const Error& error) {
  return {ErrorKind::kLogUnavailable, error.outcome(), error.what()};
}

HttpReply Perform(const HttpCall& call) {
  try {
    return PerformHttp(call);
  } catch (const Error& error) {
    throw ToLogError(error);
  }
}

nlohmann::json ParseReply(const HttpReply& reply) {
  if (reply.status == kGone) throw Error(ErrorKind::kTrimmed, "offset is no longer retained");
  if (reply.status != kOk) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown,
                "log answered with HTTP status " + std::to_string(reply.status));
  }
  nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
  if (json.is_discarded()) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown,
                "the log's answer is not valid JSON");
  }
  return json;
}

// Throws Error(kLogUnavailable) if the answer has no such offset. An exception of another type
// would not count as a failed call.
Offset ReadOffset(const nlohmann::json& json, const char* name) {
  try {
    return json.at(name).get<Offset>();
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, error.what());
  }
}

}  // namespace

Offset HttpLogService::Append(const std::string& stream, const std::string& bytes,
                              Duration timeout) {
  HttpCall call;
  call.method = "POST";
  call.url = Url(stream) + "/entries";
  call.body = bytes;
  call.timeout = timeout;
  return ReadOffset(ParseReply(Perform(call)), "offset");
}

LogBatch HttpLogService::Read(const std::string& stream, Offset from, Duration wait,
                              Duration timeout) {
  HttpCall call;
  const auto wait_ms = duration_cast<std::chrono::milliseconds>(wait).count();
  call.url =
      Url(stream) + "/entries?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait_ms);
  call.timeout = timeout;
  call.max_answer_bytes = kMaxBatchBytes;
  const nlohmann::json json = ParseReply(Perform(call));
  try {
    LogBatch batch;
    batch.first_kept = json.at("first_kept").get<Offset>();
    batch.head = json.at("head").get<Offset>();
    for (const nlohmann::json& entry : json.at("entries")) {
      batch.entries.push_back(
          {entry.at("offset").get<Offset>(), entry.at("bytes").get<std::string>()});
    }
    return batch;
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, error.what());
  }
}

Offset HttpLogService::FirstKept(const std::string& stream, Duration timeout) {
  HttpCall call;
  call.url = Url(stream);
  call.timeout = timeout;
  return ReadOffset(ParseReply(Perform(call)), "first_kept");
}

std::string HttpLogService::Url(const std::string& stream) const {
  return address_ + "/v1/streams/" + stream;
}

}  // namespace turmericshift
