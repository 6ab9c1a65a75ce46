#include "main/commands/api_client.h"

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "core/error.h"
#include "core/http_client.h"
#include "core/units.h"

namespace turmericshift {
namespace {

// Longer than any wait that the API allows.
constexpr Duration kLongestAnswer = std::chrono::seconds(90);
constexpr int kFirstErrorStatus = 400;

std::string OptionOrVariable(const CommandOptions& options, const std::string& option,
                             const char* variable) {
  const std::string value = options.value(option);
  if (!value.empty()) return value;
  const char* found = std::getenv(variable);
  if (found != nullptr) return found;
  throw Error(ErrorKind::kInvalidInput, "give --" + option + " or set " + variable);
}

Error ErrorFromReply(const HttpReply& reply) {
  const nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
  if (!json.is_object()) {
    return {ErrorKind::kInternal, "the entry answered " + std::to_string(reply.status)};
  }
  return {ErrorKindFromName(json.value("title", "")), OutcomeFromName(json.value("outcome", "")),
          json.value("detail", "")};
}

}  // namespace

void AddApiOptions(CommandOptions* options) {
  options->Value("entries", "entries to ask, 'IP:port IP:port …'")
      .Value("token-file", "file that holds the token")
      .Flag("json", "print JSON");
}

void AddWaitOption(CommandOptions* options, const std::string& default_wait) {
  options->Value("wait", "wait until it is in force everywhere, at most so long", default_wait);
}

std::string WaitArgument(const CommandOptions& options) {
  const auto wait = duration_cast<std::chrono::milliseconds>(ParseDuration(options.value("wait")));
  return "&wait_ms=" + std::to_string(wait.count());
}

ExitCode PrintInForce(const CommandOptions& options, const nlohmann::json& answer) {
  const nlohmann::json in_force = answer.value("in_force", nlohmann::json::object());
  const bool complete = in_force.value("complete", false);
  if (!options.flag("json")) {
    const nlohmann::json zones = in_force.value("zones", nlohmann::json::object());
    for (const auto& [name, zone] : zones.items()) {
      std::printf("  %-20s in force at %d agents and %d entries", name.c_str(),
                  zone.value("agents_in_force", 0), zone.value("entries_in_force", 0));
      for (const nlohmann::json& behind : zone.value("behind", nlohmann::json::array())) {
        std::printf(", not at %s", behind.get<std::string>().c_str());
      }
      std::printf("\n");
    }
  }
  for (const nlohmann::json& warning : answer.value("warnings", nlohmann::json::array())) {
    std::fprintf(stderr, "warning: %s\n", warning.get<std::string>().c_str());
  }
  const bool waited = ParseDuration(options.value("wait")) > Duration::zero();
  return waited && !complete ? ExitCode::kFailed : ExitCode::kDone;
}

ApiClient::ApiClient(const CommandOptions& options)
    : ApiClient(OptionOrVariable(options, "entries", "TURMERICSHIFT_ENTRIES"),
                OptionOrVariable(options, "token-file", "TURMERICSHIFT_TOKEN_FILE")) {}

ApiClient::ApiClient(const std::string& entries, const std::string& token_file) {
  std::istringstream words(entries);
  std::string word;
  while (words >> word) entries_.push_back(word);
  const std::vector<std::string> lines = ReadFileLines(token_file);
  if (lines.empty()) throw Error(ErrorKind::kInvalidInput, "the token file is empty");
  token_ = lines.front();
}

nlohmann::json ApiClient::Call(const std::string& method, const std::string& path,
                               const std::string& body) const {
  HttpCall call;
  call.method = method;
  call.body = body;
  call.timeout = kLongestAnswer;
  nlohmann::json json = nlohmann::json::parse(Perform(call, path).body, nullptr, false);
  if (json.is_discarded()) throw Error(ErrorKind::kInternal, "the entry's answer is no JSON");
  return json;
}

HttpReply ApiClient::Perform(HttpCall call, const std::string& path) const {
  call.headers.push_back({"Authorization", "Bearer " + token_});
  Error last(ErrorKind::kUnavailable, "no entry is named");
  for (const std::string& entry : entries_) {
    try {
      call.url = "http://";
      call.url += entry;
      call.url += path;
      HttpReply reply = PerformHttp(call);
      if (reply.status >= kFirstErrorStatus) throw ErrorFromReply(reply);
      return reply;
    } catch (const Error& error) {
      const bool next = error.outcome() == Outcome::kNotRun && AnswerFor(error.kind()).retryable;
      if (!next) throw;
      last = error;
    }
  }
  throw last;
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
