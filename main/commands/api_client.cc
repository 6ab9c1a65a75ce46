#include "main/commands/api_client.h"

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <mutex>
#include <sstream>
#include <utility>

#include "core/error.h"
#include "core/http_client.h"
#include "core/result.h"
#include "core/thread.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
constexpr int kFirstErrorStatus = 400;

std::string OptionOrVariable(const CommandOptions& options, const std::string& option,
                             const char* variable) {
  const std::string value = options.value(option);
  if (!value.empty()) return value;
  const char* found = std::getenv(variable);
  if (found != nullptr) return found;
  throw Error(ErrorKind::kInvalidInput, "give --" + option + " or set " + variable);
}

Time DeadlineFrom(const CommandOptions& options, Time now, Duration extra) {
  const std::string timeout = options.value("timeout");
  return now + (timeout.empty() ? kDefaultTimeout + extra : ParseDuration(timeout));
}

Error ErrorFromReply(const HttpReply& reply) {
  const nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
  if (!json.is_object()) {
    return {ErrorKind::kInternal, "the entry answered " + std::to_string(reply.status)};
  }
  return {ErrorKindFromName(json.value("title", "")), OutcomeFromName(json.value("outcome", "")),
          json.value("detail", "")};
}

HttpReply PerformOrThrow(const HttpCall& call, HttpCanceller* canceller) {
  HttpReply reply = PerformHttp(call, canceller);
  if (reply.status >= kFirstErrorStatus) throw ErrorFromReply(reply);
  return reply;
}

}  // namespace

// Queue of the entries' replies to one call.
struct ApiClient::ReplyQueue {
  struct EntryReply {
    size_t entry = 0;
    Result<HttpReply> reply;
  };

  void Push(EntryReply entry_reply) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      list.push_back(std::move(entry_reply));
    }
    changed.notify_all();
  }

  // Returns the next reply; nullopt if none arrives before `deadline`.
  std::optional<EntryReply> WaitUntil(Time deadline) {
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_until(lock, deadline, [this] { return !list.empty(); });
    if (list.empty()) return std::nullopt;
    EntryReply entry_reply = std::move(list.front());
    list.pop_front();
    return entry_reply;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<EntryReply> list;
};

// Sends a call to one entry in a thread of its own. The destructor cancels the call if no reply has
// arrived, so that the thread never outlives the command: at the process's exit, libcurl and the
// libraries that it uses may already be cleaned up.
class ApiClient::EntryCall {
 public:
  EntryCall(ReplyQueue* replies, size_t entry, const HttpCall& call)
      : thread_("ask-entry", [this, replies, entry, call] {
          replies->Push(
              {entry, ResultOf<HttpReply>([&] { return PerformOrThrow(call, &canceller_); })});
        }) {}
  ~EntryCall() { canceller_.Cancel(); }
  EntryCall(const EntryCall&) = delete;
  EntryCall& operator=(const EntryCall&) = delete;

 private:
  HttpCanceller canceller_;
  Thread thread_;
};

void AddApiOptions(CommandOptions* options) {
  options->Value("entries", "addresses of entries, 'IP:port IP:port …'")
      .Value("token-file", "file that holds the token")
      .Value("timeout",
             "time limit of the command, which then exits with 4; default: 30s plus --wait")
      .Flag("json", "print JSON");
}

ApiClient::ApiClient(const CommandOptions& options, Time now, Duration extra)
    : ApiClient(OptionOrVariable(options, "entries", "TURMERICSHIFT_ENTRIES"),
                OptionOrVariable(options, "token-file", "TURMERICSHIFT_TOKEN_FILE"),
                DeadlineFrom(options, now, extra)) {}

ApiClient::ApiClient(const std::string& entries, const std::string& token_file, Time deadline)
    : deadline_(deadline) {
  std::istringstream list(entries);
  std::string address;
  while (list >> address) entries_.push_back(address);
  const std::vector<std::string> lines = ReadFileLines(token_file);
  if (lines.empty()) throw Error(ErrorKind::kInvalidInput, "the token file holds no token");
  token_ = lines.front();
}

nlohmann::json ApiClient::Read(const std::string& path) {
  return CallJson("GET", path, "", CallKind::kRead);
}

nlohmann::json ApiClient::Change(const std::string& method, const std::string& path,
                                 const std::string& body) {
  return CallJson(method, path, body, CallKind::kIdempotent);
}

nlohmann::json ApiClient::CallJson(const std::string& method, const std::string& path,
                                   const std::string& body, CallKind kind) {
  HttpCall call;
  call.method = method;
  call.body = body;
  CallLimits limits;
  limits.hedge_delay = hedge_delay_;
  limits.timeout = deadline_ - DefaultClock().Now();
  nlohmann::json json =
      nlohmann::json::parse(Perform(call, path, kind, limits).body, nullptr, false);
  if (json.is_discarded()) throw Error(ErrorKind::kInternal, "the answer is not valid JSON");
  return json;
}

HttpReply ApiClient::Perform(HttpCall call, const std::string& path, CallKind kind,
                             CallLimits limits) {
  call.headers.push_back({"Authorization", "Bearer " + token_});
  const Time start = DefaultClock().Now();
  ReplyQueue replies;
  std::vector<std::unique_ptr<EntryCall>> entry_calls;
  CallPlan plan(entries_.size(), preferred_entry_, kind, limits, start);
  while (true) {
    const Time now = DefaultClock().Now();
    for (const size_t entry : plan.TakeDueEntries(now)) {
      HttpCall entry_call = call;
      entry_call.url = "http://" + entries_[entry] + path;
      entry_call.timeout = start + limits.timeout - now;
      entry_calls.push_back(std::make_unique<EntryCall>(&replies, entry, entry_call));
    }
    if (plan.finished(now)) throw plan.failure(now);
    if (plan.TakeSilenceNotice(now)) ReportUnanswered(plan, call.method + " " + path);
    std::optional<ReplyQueue::EntryReply> entry_reply = replies.WaitUntil(plan.next_wakeup());
    if (!entry_reply) continue;
    if (!entry_reply->reply.error) {
      preferred_entry_ = entry_reply->entry;
      return entry_reply->reply.Take();
    }
    plan.HandleFailure(entry_reply->entry, *entry_reply->reply.error);
  }
}

void ApiClient::ReportUnanswered(const CallPlan& plan, const std::string& request) const {
  std::string addresses;
  for (const size_t entry : plan.unanswered()) addresses += " " + entries_[entry];
  std::fprintf(stderr, "no answer yet to %s from%s\n", request.substr(0, request.find('?')).c_str(),
               addresses.c_str());
}

std::string UrlEscape(const std::string& text) {
  static const std::string plain = "-_.~";
  static const char* digits = "0123456789ABCDEF";
  std::string result;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || plain.find(letter) != std::string::npos) {
      result += letter;
    } else {
      result += {'%', digits[byte >> 4], digits[byte & 15]};
    }
  }
  return result;
}

}  // namespace turmericshift
