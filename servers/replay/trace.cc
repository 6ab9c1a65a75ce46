#include "servers/replay/trace.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "core/error.h"
#include "core/units.h"
#include "servers/config/environment.h"
#include "servers/replay/synthetic_document.h"
#include "servers/replay/trace_generator.h"

namespace turmericshift {
namespace {

constexpr int kKindCount = static_cast<int>(TraceEventKind::kPublish) + 1;
constexpr std::array<const char*, kKindCount> kNames = {
    "submit",           "cancel",        "cancel_wave", "worker_down", "worker_up",
    "worker_fails_all", "worker_mended", "zone_out",    "zone_in",     "log_down",
    "log_up",           "entry_lost",    "publish"};
constexpr int kFormat = 1;
constexpr int kMaxGenerated = 100000;

[[noreturn]] void ThrowInvalid(const std::string& message) {
  throw Error(ErrorKind::kInvalidInput, message);
}

// Reads one JSON object of the file and records which fields were read, so that RequireAllKnown()
// can reject unknown ones.
class Fields {
 public:
  explicit Fields(const nlohmann::json& json) : json_(json) {
    if (!json.is_object()) ThrowInvalid("expected a JSON object");
  }

  bool Has(const char* field) {
    known_.insert(field);
    return json_.contains(field);
  }
  template <typename Value>
  Value Get(const char* field) {
    if (!Has(field)) ThrowInvalid(std::string("'") + field + "' is missing");
    return json_.at(field).get<Value>();
  }
  template <typename Value>
  Value Get(const char* field, const Value& default_value) {
    return Has(field) ? json_.at(field).get<Value>() : default_value;
  }
  Duration Time(const char* field);
  Duration Time(const char* field, Duration default_value) {
    return Has(field) ? Time(field) : default_value;
  }
  // Reads a number, or a duration that is converted to seconds.
  std::optional<double> Bound(const char* field) {
    if (!Has(field)) return std::nullopt;
    if (json_.at(field).is_string()) return Seconds(Time(field));
    return json_.at(field).get<double>();
  }
  const nlohmann::json& Object(const char* field) {
    if (!Has(field)) ThrowInvalid(std::string("'") + field + "' is missing");
    return json_.at(field);
  }
  void RequireAllKnown() const {
    for (const auto& [field, value] : json_.items()) {
      if (known_.count(field) == 0) ThrowInvalid("unknown field '" + field + "'");
    }
  }

 private:
  const nlohmann::json& json_;
  std::set<std::string> known_;
};

// Parses a sum of durations such as "20h30min".
Duration ParseOffset(const std::string& text) {
  Duration sum{};
  size_t begin = 0;
  while (begin < text.size()) {
    size_t end = text.find_first_not_of("0123456789.", begin);
    if (end == std::string::npos) end = text.size();
    end = std::min(text.find_first_of("0123456789", end), text.size());
    sum += ParseDuration(text.substr(begin, end - begin));
    begin = end;
  }
  if (text.empty()) ThrowInvalid("a time is empty; expected a sum of durations such as 20h30min");
  return sum;
}

Duration Fields::Time(const char* field) { return ParseOffset(Get<std::string>(field)); }

std::string ReadDocumentSize(const nlohmann::json& json) {
  Fields fields(json);
  DocumentSize size;
  size.zones = fields.Get<int>("zones");
  size.workers_per_zone = fields.Get<int>("workers_per_zone");
  size.workers_per_rack = fields.Get<int>("workers_per_rack", size.workers_per_rack);
  size.processors = fields.Get<int>("processors", size.processors);
  size.memory = fields.Get<std::string>("memory", size.memory);
  size.accelerators = fields.Get<int>("accelerators", size.accelerators);
  size.workspaces = fields.Get<int>("workspaces");
  size.guarantee = fields.Get<std::string>("guarantee", size.guarantee);
  size.accelerator_cap = fields.Get<int>("accelerator_cap");
  fields.RequireAllKnown();
  return SyntheticDocument(size);
}

std::string ReadDocument(Fields* fields) {
  if (fields->Has("document_size")) return ReadDocumentSize(fields->Object("document_size"));
  if (fields->Has("document_text")) return fields->Get<std::string>("document_text");
  const auto path = fields->Get<std::string>("document");
  std::ifstream file(path);
  if (!file) ThrowInvalid("can't read document " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void ReadHeader(Fields* fields, Trace* trace) {
  if (fields->Get<int>("trace") != kFormat) ThrowInvalid("'trace' must be 1");
  trace->why = fields->Get<std::string>("why", "");
  trace->document = ReadDocument(fields);
  trace->seed = fields->Get<uint64_t>("seed", trace->seed);
  trace->tick = fields->Time("tick", trace->tick);
  trace->until = fields->Time("until", trace->until);
  trace->report_lag = fields->Time("report_lag", trace->report_lag);
  trace->takeover = fields->Time("takeover", trace->takeover);
  trace->stop_time = fields->Time("stop_time", trace->stop_time);
  trace->fails_after = fields->Time("fails_after", trace->fails_after);
  if (trace->tick <= Duration::zero()) ThrowInvalid("'tick' must be above 0s");
  ParseEnvironment("document", trace->document);
}

JobSpec ReadJob(const nlohmann::json& json) { return ParseJobSpec(json.dump()); }

GenerateRule ReadRule(Fields* fields) {
  GenerateRule rule;
  rule.from = fields->Time("at");
  rule.until = fields->Time("until", rule.from);
  rule.count = fields->Get<int>("count");
  rule.prefix = fields->Get<std::string>("prefix");
  nlohmann::json job = fields->Object("job");
  if (job.is_object()) job["key"] = rule.prefix;
  rule.spec = ReadJob(job);
  const auto run_range = fields->Get<std::vector<std::string>>("runs");
  if (run_range.size() != 2) ThrowInvalid("'runs' must hold the shortest and the longest run time");
  rule.shortest = ParseOffset(run_range[0]);
  rule.longest = ParseOffset(run_range[1]);
  rule.off_by = fields->Get<double>("off_by", 1);
  rule.fails = fields->Get<double>("fails", 0);
  if (fields->Has("peak")) rule.peak = fields->Time("peak");
  rule.peak_width = fields->Time("peak_width", rule.peak_width);
  if (rule.count < 0 || rule.count > kMaxGenerated) ThrowInvalid("'count' is out of range");
  if (rule.until < rule.from) ThrowInvalid("'until' is before 'at'");
  if (rule.shortest <= Duration::zero() || rule.longest < rule.shortest) {
    ThrowInvalid("'runs' must be above 0s, the shortest first");
  }
  if (rule.off_by < 1) ThrowInvalid("'off_by' must be at least 1");
  return rule;
}

TraceEventKind KindFromName(const std::string& name) {
  const auto* const found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) ThrowInvalid("unknown event '" + name + "'");
  return static_cast<TraceEventKind>(found - kNames.begin());
}

// Returns the field that names the subject of the event, or null if the event has no subject.
const char* SubjectField(TraceEventKind kind) {
  switch (kind) {
    case TraceEventKind::kCancel:
      return "job";
    case TraceEventKind::kCancelWave:
      return "prefix";
    case TraceEventKind::kWorkerDown:
    case TraceEventKind::kWorkerUp:
    case TraceEventKind::kWorkerFailsAll:
    case TraceEventKind::kWorkerMended:
      return "worker";
    case TraceEventKind::kZoneOut:
    case TraceEventKind::kZoneIn:
    case TraceEventKind::kEntryLost:
      return "zone";
    default:
      return nullptr;
  }
}

TraceEvent ReadEvent(const std::string& name, Fields* fields) {
  TraceEvent event;
  event.kind = KindFromName(name);
  event.at = fields->Time("at");
  if (const char* field = SubjectField(event.kind)) {
    event.subject = fields->Get<std::string>(field);
  }
  if (event.kind == TraceEventKind::kCancelWave) event.share = fields->Get<double>("share", 1);
  if (event.kind == TraceEventKind::kPublish) event.subject = ReadDocument(fields);
  if (event.kind == TraceEventKind::kSubmit) {
    event.job.spec = ReadJob(fields->Object("job"));
    event.job.run_time = fields->Time("runs", event.job.spec.declared_run_time);
    event.job.fails = fields->Get<bool>("fails", false);
  }
  return event;
}

Expectation ReadExpectation(Fields* fields, int line) {
  Expectation expectation;
  expectation.line = line;
  expectation.name = fields->Get<std::string>("expect");
  if (expectation.name == "job") {
    expectation.job = fields->Get<std::string>("job");
    expectation.state = fields->Get<std::string>("state", "");
    if (fields->Has("started_before")) expectation.started_before = fields->Time("started_before");
    if (fields->Has("ended_before")) expectation.ended_before = fields->Time("ended_before");
    if (fields->Has("attempts_below")) {
      expectation.attempts_below = fields->Get<int>("attempts_below");
    }
    return expectation;
  }
  expectation.below = fields->Bound("below");
  expectation.above = fields->Bound("above");
  expectation.workspace = fields->Get<std::string>("workspace", "");
  return expectation;
}

class Parser {
 public:
  Parser(const std::string& name, const std::string& text) : lines_(text) { trace_.name = name; }

  Trace Parse() {
    std::string line;
    while (std::getline(lines_, line)) {
      ++number_;
      if (line.empty() || line[0] == '#') continue;
      try {
        ReadLine(line);
      } catch (const std::exception& error) {
        ThrowInvalid(trace_.name + ":" + std::to_string(number_) + ": " + error.what());
      }
    }
    if (!header_seen_) ThrowInvalid(trace_.name + ":1: the header is missing");
    std::stable_sort(
        trace_.events.begin(), trace_.events.end(),
        [](const TraceEvent& left, const TraceEvent& right) { return left.at < right.at; });
    return std::move(trace_);
  }

 private:
  void ReadLine(const std::string& line) {
    const nlohmann::json json = nlohmann::json::parse(line);
    Fields fields(json);
    if (!header_seen_) {
      ReadHeader(&fields, &trace_);
      random_ = TraceRandom(trace_.seed);
      header_seen_ = true;
    } else if (fields.Has("expect")) {
      trace_.expectations.push_back(ReadExpectation(&fields, number_));
    } else {
      ReadEvents(&fields);
    }
    fields.RequireAllKnown();
  }

  void ReadEvents(Fields* fields) {
    const auto name = fields->Get<std::string>("event");
    if (name != "generate") {
      Add(ReadEvent(name, fields));
      return;
    }
    for (const TraceEvent& event : Generate(ReadRule(fields), &random_)) Add(event);
  }

  void Add(TraceEvent event) {
    event.line = number_;
    trace_.events.push_back(std::move(event));
  }

  std::istringstream lines_;
  Trace trace_;
  TraceRandom random_{1};
  int number_ = 0;
  bool header_seen_ = false;
};

}  // namespace

const char* TraceEventName(TraceEventKind kind) { return kNames.at(static_cast<size_t>(kind)); }

Trace ParseTrace(const std::string& name, const std::string& text) {
  return Parser(name, text).Parse();
}

}  // namespace turmericshift
