#include "modules/stand_ins/log_server.h"

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr const char* kPrefix = "/v1/streams/";
constexpr int64_t kMaxWaitMs = 30000;
constexpr Duration kNoTimeout{};

}  // namespace

LogServer::LogServer(const HttpServerOptions& options, MemoryLog* log) : log_(log) {
  server_ = std::make_unique<HttpServer>(
      options, [this](const HttpRequest& request) { return Handle(request); });
}

HttpResponse LogServer::Handle(const HttpRequest& request) {
  if (request.path.rfind(kPrefix, 0) != 0) throw Error(ErrorKind::kNotFound, "unknown path");
  const std::string rest = request.path.substr(std::string(kPrefix).size());
  const size_t slash = rest.find('/');
  const std::string stream = rest.substr(0, slash);
  if (slash == std::string::npos) {
    const nlohmann::json json = {{"first_kept", log_->FirstKept(stream, kNoTimeout)}};
    return JsonResponse(json.dump());
  }
  if (request.method == "POST") {
    const Offset offset = log_->Append(stream, request.body, kNoTimeout);
    return JsonResponse(nlohmann::json({{"offset", offset}}).dump());
  }
  const Offset from = ParseInteger(request.argument("from"), 0, INT64_MAX);
  const int64_t wait_ms = ParseInteger(request.argument("wait_ms"), 0, kMaxWaitMs);
  const LogBatch batch = log_->Read(stream, from, std::chrono::milliseconds(wait_ms), kNoTimeout);
  nlohmann::json entries = nlohmann::json::array();
  for (const LogEntry& entry : batch.entries) {
    entries.push_back({{"offset", entry.offset}, {"bytes", entry.bytes}});
  }
  const nlohmann::json json = {
      {"first_kept", batch.first_kept}, {"head", batch.head}, {"entries", entries}};
  return JsonResponse(json.dump());
}

}  // namespace turmericshift
