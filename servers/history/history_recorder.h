// Records the events that this process logs during the recorder's lifetime, so that concurrent
// tests check the same lines that an operator would read.
#pragma once

#include <glog/logging.h>

#include <mutex>

#include "servers/history/history_event.h"

namespace turmericshift {

class HistoryRecorder : public google::LogSink {
 public:
  HistoryRecorder();
  ~HistoryRecorder() override;
  HistoryRecorder(const HistoryRecorder&) = delete;
  HistoryRecorder& operator=(const HistoryRecorder&) = delete;

  // Returns the events recorded so far, ordered by time.
  History Recorded() const;

  // Called by glog, from any thread.
  void send(google::LogSeverity severity, const char* full_filename,  // NOLINT: the library's name
            const char* base_filename, int line, const struct ::tm* tm_time, const char* message,
            size_t message_len) override;

 private:
  mutable std::mutex mutex_;
  History history_;
};

}  // namespace turmericshift
