#include "main/commands/api_client.h"

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <sstream>
#include <utility>

#include "core/attempt.h"
#include "core/error.h"
#include "core/http_client.h"
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

Time EndOf(const CommandOptions& options, Time now, Duration extra) {
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

HttpReply PerformOrThrow(const HttpCall& call) {
  HttpReply reply = PerformHttp(call);
  if (reply.status >= kFirstErrorStatus) throw ErrorFromReply(reply);
  return reply;
}

}  // namespace

// What entries have answered to one call. Shared with the threads that ask, which may outlive it.
struct ApiClient::Answers {
  struct Answer {
    size_t entry = 0;
    Attempt<HttpReply> reply;
  };

  void Put(Answer answer) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      list.push_back(std::move(answer));
    }
    changed.notify_all();
  }

  // The next answer, if one comes until then.
  std::optional<Answer> WaitUntil(Time limit) {
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_until(lock, limit, [this] { return !list.empty(); });
    if (list.empty()) return std::nullopt;
    Answer answer = std::move(list.front());
    list.pop_front();
    return answer;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Answer> list;
};

void AddApiOptions(CommandOptions* options) {
  options->Value("entries", "entries to ask, 'IP:port IP:port …'")
      .Value("token-file", "file that holds the token")
      .Value("timeout", "the command ends by then, with status 4; default: 30s, and --wait on top")
      .Flag("json", "print JSON");
}

ApiClient::ApiClient(const CommandOptions& options, Time now, Duration extra)
    : ApiClient(OptionOrVariable(options, "entries", "TURMERICSHIFT_ENTRIES"),
                OptionOrVariable(options, "token-file", "TURMERICSHIFT_TOKEN_FILE"),
                EndOf(options, now, extra)) {}

ApiClient::ApiClient(const std::string& entries, const std::string& token_file, Time until)
    : until_(until) {
  std::istringstream words(entries);
  std::string word;
  while (words >> word) entries_.push_back(word);
  const std::vector<std::string> lines = ReadFileLines(token_file);
  if (lines.empty()) throw Error(ErrorKind::kInvalidInput, "the token file is empty");
  token_ = lines.front();
}

nlohmann::json ApiClient::Read(const std::string& path) {
  return CallJson("GET", path, "", CallKind::kRead);
}

nlohmann::json ApiClient::Change(const std::string& method, const std::string& path,
                                 const std::string& body) {
  return CallJson(method, path, body, CallKind::kRepeatable);
}

nlohmann::json ApiClient::CallJson(const std::string& method, const std::string& path,
                                   const std::string& body, CallKind kind) {
  HttpCall call;
  call.method = method;
  call.body = body;
  CallLimits limits;
  limits.patience = patience_;
  limits.total = until_ - DefaultClock().Now();
  nlohmann::json json =
      nlohmann::json::parse(Perform(call, path, kind, limits).body, nullptr, false);
  if (json.is_discarded()) throw Error(ErrorKind::kInternal, "the entry's answer is no JSON");
  return json;
}

HttpReply ApiClient::Perform(HttpCall call, const std::string& path, CallKind kind,
                             CallLimits limits) {
  call.headers.push_back({"Authorization", "Bearer " + token_});
  const Time begun = DefaultClock().Now();
  const auto answers = std::make_shared<Answers>();
  CallPlan plan(entries_.size(), first_, kind, limits, begun);
  while (true) {
    const Time now = DefaultClock().Now();
    for (const size_t entry : plan.TakeDue(now)) {
      Ask(answers, entry, call, path, begun + limits.total - now);
    }
    if (plan.over(now)) throw plan.failure(now);
    if (plan.TakeNotice(now)) TellSilence(plan, call.method + " " + path);
    std::optional<Answers::Answer> answer = answers->WaitUntil(plan.next_look());
    if (!answer) continue;
    if (!answer->reply.error) {
      first_ = answer->entry;
      return answer->reply.Take();
    }
    plan.Failed(answer->entry, *answer->reply.error);
  }
}

void ApiClient::Ask(const std::shared_ptr<Answers>& answers, size_t entry, const HttpCall& call,
                    const std::string& path, Duration left) const {
  HttpCall own = call;
  own.url = "http://" + entries_[entry] + path;
  own.timeout = left;
  Thread thread("ask-entry", [answers, entry, own] {
    answers->Put({entry, AttemptOf<HttpReply>([&own] { return PerformOrThrow(own); })});
  });
  thread.Detach();
}

void ApiClient::TellSilence(const CallPlan& plan, const std::string& what) const {
  std::string who;
  for (const size_t entry : plan.silent()) who += " " + entries_[entry];
  std::fprintf(stderr, "no answer yet to %s from%s\n", what.substr(0, what.find('?')).c_str(),
               who.c_str());
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
