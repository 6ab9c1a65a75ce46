#include "servers/history/history_recorder.h"

#include <string_view>

namespace turmericshift {

HistoryRecorder::HistoryRecorder() { google::AddLogSink(this); }

HistoryRecorder::~HistoryRecorder() { google::RemoveLogSink(this); }

History HistoryRecorder::Recorded() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  History history = history_;
  SortHistory(&history);
  return history;
}

void HistoryRecorder::send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
                           const char* /*base_filename*/, int /*line*/,
                           const struct ::tm* /*tm_time*/, const char* message,
                           size_t message_len) {
  const std::lock_guard<std::mutex> lock(mutex_);
  AddHistoryLine("recorded", std::string_view(message, message_len), &history_);
}

}  // namespace turmericshift
