#include "servers/learned/learned_state.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift::learned {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Upper limit of a record's size without its data: names, version and time.
constexpr size_t kEnvelopeBytes = 64;

// Longest age that is reported; a record may state any time.
constexpr int64_t kMaxReportedAgeMs = int64_t{365} * 24 * 3600 * 1000;

constexpr std::array<std::pair<LoadResult, const char*>, 6> kResultNames = {{
    {LoadResult::kLoaded, "loaded"},
    {LoadResult::kUnreadable, "unreadable"},
    {LoadResult::kUnknownVersion, "unknown_version"},
    {LoadResult::kTooOld, "too_old"},
    {LoadResult::kFromFuture, "from_future"},
    {LoadResult::kTooLarge, "too_large"},
}};

std::string ContentOf(const LearnedPart& part, Time now) {
  return part.Save(kMaxRecordBytes - kEnvelopeBytes, now)
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

// A record's header, without its data.
struct Header {
  int64_t version = 0;
  int64_t at_ms = 0;
};

std::optional<Header> HeaderOf(const json& record) {
  if (!record.is_object() || !record.contains("data")) return std::nullopt;
  const auto version = record.find("v");
  const auto at = record.find("at");
  if (version == record.end() || !version->is_number_integer()) return std::nullopt;
  if (at == record.end() || !at->is_number_integer()) return std::nullopt;
  const Header header = {version->get<int64_t>(), at->get<int64_t>()};
  if (header.at_ms < 0) return std::nullopt;
  return header;
}

}  // namespace

const char* LoadResultName(LoadResult result) {
  for (const auto& [known, name] : kResultNames) {
    if (known == result) return name;
  }
  return "";
}

LearnedState::LearnedState(const std::vector<LearnedPart*>& parts, Time now) {
  for (LearnedPart* part : parts) {
    if (part->max_age() <= Duration::zero()) continue;
    const std::string content = ContentOf(*part, now);
    entries_.push_back({part, content, content, now, now + kWriteInterval});
  }
}

std::vector<LoadOutcome> LearnedState::Load(const std::map<std::string, std::string>& records,
                                            int64_t wall_ms, Time now) {
  std::vector<LoadOutcome> outcomes;
  for (Entry& entry : entries_) {
    const auto found = records.find(entry.part->name());
    if (found == records.end()) continue;
    outcomes.push_back(LoadRecord(found->second, wall_ms, now, &entry));
    counts_.dropped += outcomes.back().result != LoadResult::kLoaded;
  }
  return outcomes;
}

LoadOutcome LearnedState::LoadRecord(const std::string& text, int64_t wall_ms, Time now,
                                     Entry* entry) {
  LoadOutcome outcome = {entry->part->name(), LoadResult::kLoaded, {}, text.size(), ""};
  const auto discarded = [&](LoadResult result, const std::string& error = "") {
    outcome.result = result;
    outcome.error = error;
    return outcome;
  };
  if (text.size() > kMaxRecordBytes) return discarded(LoadResult::kTooLarge);
  const json record = json::parse(text, nullptr, false);
  const std::optional<Header> header = HeaderOf(record);
  if (!header) return discarded(LoadResult::kUnreadable, "not a record of learned state");
  // Compared in milliseconds: an arbitrary time would overflow a Duration.
  const int64_t age_ms = wall_ms - header->at_ms;
  const int64_t max_age_ms = duration_cast<milliseconds>(entry->part->max_age()).count();
  const int64_t max_skew_ms = duration_cast<milliseconds>(kMaxClockSkew).count();
  outcome.age = milliseconds(std::clamp(age_ms, -kMaxReportedAgeMs, kMaxReportedAgeMs));
  if (header->version != entry->part->version()) return discarded(LoadResult::kUnknownVersion);
  if (age_ms < -max_skew_ms) return discarded(LoadResult::kFromFuture);
  if (age_ms > max_age_ms) return discarded(LoadResult::kTooOld);
  try {
    entry->part->Load(record.at("data"), std::max(outcome.age, Duration::zero()), now);
  } catch (const Error& error) {
    return discarded(LoadResult::kUnreadable, error.what());
  }
  entry->written = ContentOf(*entry->part, now);
  return outcome;
}

Duration LearnedState::IntervalFor(size_t bytes) const {
  const double share = kMaxBytesPerSecond / static_cast<double>(entries_.size());
  return std::max(kWriteInterval, FromSeconds(static_cast<double>(bytes) / share));
}

std::string LearnedState::FittingContent(const Entry& entry, Time now) {
  std::string content = ContentOf(*entry.part, now);
  if (content.size() + kEnvelopeBytes <= kMaxRecordBytes) return content;
  ++counts_.dropped;
  LogEvent(LogLevel::kError, "learned_too_large",
           {{"part", entry.part->name()}, {"bytes", content.size()}});
  return "";
}

LearnedRecord LearnedState::Write(const std::string& content, int64_t wall_ms, Time now,
                                  Entry* entry) {
  LearnedRecord record = {kKeyPrefix + entry->part->name(),
                          "{\"v\":" + std::to_string(entry->part->version()) +
                              ",\"at\":" + std::to_string(wall_ms) + ",\"data\":" + content + "}"};
  entry->written = content;
  entry->written_at = now;
  entry->next_check = now + kWriteInterval;
  ++counts_.records;
  counts_.bytes += static_cast<int64_t>(record.key.size() + record.value.size());
  return record;
}

std::vector<LearnedRecord> LearnedState::TakeDue(int64_t wall_ms, Time now) {
  std::vector<LearnedRecord> due;
  for (Entry& entry : entries_) {
    if (now < entry.next_check) continue;
    const std::string content = FittingContent(entry, now);
    entry.next_check = now + kWriteInterval;
    if (content.empty() || content == entry.written) continue;
    const Time earliest = entry.written_at + IntervalFor(content.size() + kEnvelopeBytes);
    if (now < earliest) {
      entry.next_check = earliest;
    } else {
      due.push_back(Write(content, wall_ms, now, &entry));
    }
  }
  return due;
}

std::vector<LearnedRecord> LearnedState::TakeLast(int64_t wall_ms, Time now) {
  std::vector<LearnedRecord> last;
  for (Entry& entry : entries_) {
    const std::string content = FittingContent(entry, now);
    // An emptied state replaces the record of a fuller one.
    const bool nothing_learned = content == entry.empty && content == entry.written;
    if (content.empty() || nothing_learned) continue;
    last.push_back(Write(content, wall_ms, now, &entry));
  }
  return last;
}

LearnedCounts LearnedState::TakeCounts() { return std::exchange(counts_, {}); }

void LogLoads(const std::vector<LoadOutcome>& outcomes, int64_t epoch) {
  for (const LoadOutcome& outcome : outcomes) {
    const bool loaded = outcome.result == LoadResult::kLoaded;
    LogEvent(loaded ? LogLevel::kInfo : LogLevel::kWarning,
             loaded ? "learned_loaded" : "learned_discarded",
             {{"part", outcome.part},
              {"result", LoadResultName(outcome.result)},
              {"age_s", Seconds(outcome.age)},
              {"bytes", outcome.bytes},
              {"error", outcome.error},
              {"epoch", epoch}});
  }
}

}  // namespace turmericshift::learned
