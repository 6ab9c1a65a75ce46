#include "servers/pool/job_records.h"

#include <cstring>
#include <iterator>
#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift::pool {
namespace {

using nlohmann::json;

// Former versions stored the field only for jobs whose starts had been refused. They read it in the
// same way.
constexpr const char* kNoneBegunField = "starts_refused";

// Larger specifications leave out numbers that are zero. Former versions can't read those, but
// could not store them either: stores accept records of about this size.
constexpr size_t kMaxFullSpecBytes = size_t{255} << 10;

constexpr int64_t kMaxPart = int64_t{1} << 53;

// Returns the list `field` of `object`, or an empty list if there is none. Not copied: a copy of
// nested lists recurses, and a record of another writer may nest them deeper than a stack allows.
const json& ListIn(const json& object, const char* field) {
  static const json empty = json::array();
  const auto found = object.find(field);
  return found == object.end() ? empty : *found;
}

json StepToJson(const StepSpec& step) {
  json out = {{"tasks", step.tasks},
              {"cpu", step.need.processor_millis},
              {"mem", step.need.memory_mib},
              {"acc", step.need.accelerators},
              {"estimate_ms", duration_cast<std::chrono::milliseconds>(step.estimate).count()}};
  if (!step.after.empty()) out["after"] = step.after;
  if (step.gang) out["gang"] = true;
  if (step.one_rack) out["one_rack"] = true;
  if (step.checkpoints) out["checkpoints"] = true;
  if (step.copies_allowed) out["copies"] = true;
  if (step.long_running) out["lasting"] = true;
  if (step.best_effort) out["fills"] = true;
  if (!step.label.empty()) out["label"] = step.label;
  if (!step.data_rack.empty()) out["data_rack"] = step.data_rack;
  if (step.max_per_worker > 0) out["most_per_worker"] = step.max_per_worker;
  if (!step.image.empty()) out["image"] = step.image;
  return out;
}

StepSpec StepFromJson(const json& in) {
  StepSpec step;
  step.tasks = in.at("tasks").get<int>();
  step.need.processor_millis = in.value("cpu", int64_t{0});
  step.need.memory_mib = in.value("mem", int64_t{0});
  step.need.accelerators = in.value("acc", int64_t{0});
  step.estimate = std::chrono::milliseconds(in.value("estimate_ms", int64_t{0}));
  step.after = in.value("after", std::vector<int>());
  step.gang = in.value("gang", false);
  step.one_rack = in.value("one_rack", false);
  step.checkpoints = in.value("checkpoints", false);
  step.copies_allowed = in.value("copies", false);
  step.long_running = in.value("lasting", false);
  step.best_effort = in.value("fills", false);
  step.label = in.value("label", "");
  step.data_rack = in.value("data_rack", "");
  step.max_per_worker = in.value("most_per_worker", 0);
  step.image = in.value("image", "");
  return step;
}

void RemoveZeros(json* object) {
  for (auto row = object->begin(); row != object->end();) {
    row = *row == 0 ? object->erase(row) : std::next(row);
  }
}

json TermsToJson(const QueueTerms& terms) {
  json out = {
      {"service", terms.service},
      {"priority", terms.priority},
      {"max_attempts", terms.max_attempts},
      {"stretch", terms.stretch},
      {"target_ms", duration_cast<std::chrono::milliseconds>(terms.target_latency).count()}};
  if (terms.advised) out["advised"] = true;
  const AdviceTiming& timing = terms.advice_timing;
  const auto millis = [](Duration time) {
    return duration_cast<std::chrono::milliseconds>(time).count();
  };
  if (terms.advised) {
    out["advice_ms"] = {millis(timing.decision), millis(timing.per_worker),
                        millis(timing.validity)};
  }
  return out;
}

QueueTerms TermsFromJson(const json& in) {
  QueueTerms terms;
  terms.service = in.at("service").get<std::string>();
  terms.priority = in.at("priority").get<int>();
  terms.max_attempts = in.at("max_attempts").get<int>();
  terms.stretch = in.at("stretch").get<double>();
  terms.target_latency = std::chrono::milliseconds(in.at("target_ms").get<int64_t>());
  terms.advised = in.value("advised", false);
  if (in.contains("advice_ms")) {
    const json& timing = in.at("advice_ms");
    const auto at = [&](size_t index) {
      return std::chrono::milliseconds(timing.at(index).get<int64_t>());
    };
    terms.advice_timing = {at(0), at(1), at(2)};
  }
  return terms;
}

// Converts exceptions of the JSON library to Error.
template <typename Body>
auto Decoded(const char* what, Body&& body) {
  try {
    return body();
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kInvalidInput, std::string("malformed ") + what + ": " + error.what());
  }
}

}  // namespace

std::string PartKey(const std::string& id, int64_t part) {
  return kPartPrefix + id + "/" + std::to_string(part);
}

PartName ParsePartKey(const std::string& key) {
  const size_t prefix = std::strlen(kPartPrefix);
  const size_t separator = key.rfind('/');
  if (key.rfind(kPartPrefix, 0) != 0 || separator < prefix) {
    throw Error(ErrorKind::kInvalidInput, "not the key of a part: " + key);
  }
  const int64_t part = ParseInteger(key.substr(separator + 1), 0, kMaxPart);
  return {key.substr(prefix, separator - prefix), part};
}

std::string EncodeSpec(const JobSpec& spec) {
  json steps = json::array();
  for (const StepSpec& step : spec.steps) steps.push_back(StepToJson(step));
  json out = {{"queue", spec.queue},
              {"workspace", spec.workspace},
              {"payload", spec.payload},
              {"accepted_ms", spec.accepted_ms},
              {"terms", TermsToJson(spec.terms)},
              {"steps", std::move(steps)}};
  if (spec.schedule.occurrences > 0) {
    out["occurrences"] = spec.schedule.occurrences;
    out["first_due_ms"] = spec.schedule.first_due_ms;
    out["interval_ms"] = spec.schedule.interval_ms;
  }
  std::string bytes = out.dump(-1, ' ', false, json::error_handler_t::replace);
  if (bytes.size() <= kMaxFullSpecBytes) return bytes;
  for (json& step : out["steps"]) RemoveZeros(&step);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

JobSpec DecodeSpec(const std::string& id, const std::string& bytes) {
  return Decoded("job", [&] {
    const json in = json::parse(bytes);
    JobSpec spec;
    spec.id = id;
    spec.queue = in.at("queue").get<std::string>();
    spec.workspace = in.at("workspace").get<std::string>();
    spec.payload = in.at("payload").get<std::string>();
    spec.accepted_ms = in.at("accepted_ms").get<int64_t>();
    spec.terms = TermsFromJson(in.at("terms"));
    for (const json& step : in.at("steps")) spec.steps.push_back(StepFromJson(step));
    spec.schedule.occurrences = in.value("occurrences", 0);
    spec.schedule.first_due_ms = in.value("first_due_ms", int64_t{0});
    spec.schedule.interval_ms = in.value("interval_ms", int64_t{0});
    return spec;
  });
}

std::string EncodeProgress(const JobProgress& progress) {
  json out = {{"state", JobStateName(progress.state)}};
  if (progress.ended_ms > 0) out["ended_ms"] = progress.ended_ms;
  if (progress.none_begun) out[kNoneBegunField] = true;
  json done = json::array();
  for (const auto& [place, indices] : progress.done) {
    done.push_back({place.occurrence, place.step, indices});
  }
  if (!done.empty()) out["done"] = std::move(done);
  json failures = json::array();
  for (const auto& [place, runs] : progress.failures) {
    failures.push_back({place.occurrence, place.step, place.index, runs});
  }
  if (!failures.empty()) out["failures"] = std::move(failures);
  json checkpoints = json::array();
  for (const auto& [place, saved] : progress.checkpoints) {
    checkpoints.push_back({place.occurrence, place.step, place.index, saved});
  }
  if (!checkpoints.empty()) out["checkpoints"] = std::move(checkpoints);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

size_t EncodedBytes(const std::string& text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace).size();
}

JobProgress DecodeProgress(const std::string& bytes) {
  return Decoded("progress", [&] {
    const json in = json::parse(bytes);
    JobProgress progress;
    progress.state = JobStateFromName(in.at("state").get<std::string>());
    progress.ended_ms = in.value("ended_ms", int64_t{0});
    progress.none_begun = in.value(kNoneBegunField, false);
    for (const json& row : ListIn(in, "done")) {
      progress.done[{row.at(0).get<int>(), row.at(1).get<int>()}] = row.at(2).get<std::set<int>>();
    }
    for (const json& row : ListIn(in, "failures")) {
      progress.failures[{row.at(0).get<int>(), row.at(1).get<int>(), row.at(2).get<int>()}] =
          row.at(3).get<std::set<int64_t>>();
    }
    for (const json& row : ListIn(in, "checkpoints")) {
      progress.checkpoints[{row.at(0).get<int>(), row.at(1).get<int>(), row.at(2).get<int>()}] =
          row.at(3).get<std::string>();
    }
    return progress;
  });
}

}  // namespace turmericshift::pool
