#include "modules/http_target/http_target_service.h"

#include "core/digest.h"
#include "core/http_client.h"
#include "core/units.h"

namespace turmericshift {

ServiceAnswer HttpTargetService::Perform(const ServiceRequest& request) {
  HttpCall call;
  call.method = "POST";
  call.url = address_ + request.path;
  call.body = request.body;
  call.timeout = request.time_left;
  call.headers = {{"X-Request-Id", request.request_id},
                  {"X-Workspace", request.workspace},
                  {"X-Body-Digest", request.body_digest}};
  if (!request.content_type.empty()) {
    call.headers.push_back({"Content-Type", request.content_type});
  }
  if (!request.idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", request.idempotency_key});
    call.fresh_connection = true;
  }
  HttpReply reply = PerformHttp(call);
  ServiceAnswer answer;
  answer.status = reply.status;
  answer.content_type = reply.header("Content-Type");
  answer.body_digest = Digest(reply.body);
  answer.body = std::move(reply.body);
  return answer;
}

}  // namespace turmericshift
