// HTTP API for callers: requests to services, and the jobs of the caller's workspace.
#pragma once

#include <string>

#include "core/http_server.h"

namespace turmericshift {

class EntryServer;
struct JobRecord;

class CallerApi {
 public:
  explicit CallerApi(EntryServer* entry) : entry_(entry) {}
  // Throws Error.
  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse HandleService(const HttpRequest& request, const std::string& workspace);
  HttpResponse HandleJobs(const HttpRequest& request, const std::string& workspace);
  HttpResponse SubmitJob(const HttpRequest& request, const std::string& workspace);
  HttpResponse ShowJob(const HttpRequest& request, const std::string& workspace,
                       const std::string& key);
  // The job's state as answered by the entry that plans the job's zone. Empty if the job is not
  // waiting, if this entry plans the zone, or if the planner can't be asked.
  std::string AskPlanner(const HttpRequest& request, const JobRecord& job);
  HttpResponse CancelJob(const HttpRequest& request, const std::string& workspace,
                         const std::string& key);

  EntryServer* const entry_;
};

}  // namespace turmericshift
