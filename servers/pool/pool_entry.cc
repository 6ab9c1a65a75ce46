#include "servers/pool/pool_entry.h"

#include <thread>
#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// Time reserved for sending the last answers.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(300);

}  // namespace

PoolEntry::PoolEntry(const PoolEntryOptions& options, KeyedLog* log,
                     std::unique_ptr<OperatorDecoder> decoder, const CallerEndpoint* endpoint,
                     PlannerConnector* connector, MetricsRegistry* metrics)
    : options_(options),
      log_(log),
      endpoint_(endpoint),
      connector_(connector),
      metrics_(metrics),
      work_(log, options.work_idle_interval),
      operators_(log, std::move(decoder), options.operators_idle_wait),
      members_(log, options.members_wait, options.members_idle_interval),
      router_(
          options.node, options.zone, &members_, [this] { return members_.planner().epoch; },
          connector),
      service_(options.planner, log, &operators_, &members_, metrics),
      job_api_(options.job_api, &work_, &operators_, &service_, &router_, metrics) {
  HttpServerOptions callers = options.callers;
  callers.may_have_run = [this](const HttpRequest& request) {
    return request.method == "POST" &&
           job_api_.MayBeAccepted(request.header("Host"), request.path, LeaseClock().Now());
  };
  callers_ = std::make_unique<HttpServer>(callers, [this](const HttpRequest& request) {
    return endpoint_->Handle(request, &job_api_, LeaseClock().Now());
  });
  readiness_ = std::make_unique<HttpServer>(
      options.readiness, [this](const HttpRequest& request) { return AnswerReadiness(request); });
}

PoolEntry::~PoolEntry() {
  callers_.reset();
  readiness_.reset();
}

void PoolEntry::Join(const std::string& address) {
  ElectorOptions elector = options_.elector;
  elector.node = options_.node;
  elector.address = address;
  elector.zone = options_.zone;
  elector.on_leadership = [this](int64_t newest_epoch, Time now) {
    job_api_.WatchCalls(newest_epoch, now);
  };
  elector.planning_capacity = membership::PlanningCapacity(options_.vm);
  elector_ = std::make_unique<PlannerElector>(
      elector, log_, PoolViews{&work_, &operators_, &members_}, connector_, &service_);
}

HttpResponse PoolEntry::AnswerReadiness(const HttpRequest& request) const {
  if (request.path == "/metrics") return {200, metrics_->Expose(), {}};
  if (request.path != endpoint_->ready_path()) return JsonResponse("{}", 404);
  const bool ready = !leaving_.load() && job_api_.Ready(LeaseClock().Now());
  return JsonResponse(ready ? R"({"ready":true})" : R"({"ready":false})", ready ? 200 : 503);
}

bool PoolEntry::Leave(Duration limit) {
  const Time until = LeaseClock().Now() + limit;
  leaving_.store(true);
  job_api_.SetAnswerDeadline(until - kAnswerReserve);
  LogEvent(LogLevel::kInfo, "leaving", {{"epoch", service_.epoch()}});
  if (elector_) elector_->Leave();
  service_.Release(kReleaseLimit);
  std::this_thread::sleep_for(options_.balancer_notice);
  callers_->StopAccepting();
  return callers_->Drain(until - LeaseClock().Now());
}

}  // namespace turmericshift::pool
