// Interface for writing records to one stream. StreamClient implements it in production.
#pragma once

#include "core/clock.h"
#include "servers/state/record.h"

namespace turmericshift {

struct WriteResult;

class RecordWriter {
 public:
  virtual ~RecordWriter() = default;
  // Appends `record` and waits until it was read back and applied to the replicated state. Throws
  // Error(kLogUnavailable) if this takes longer than `timeout`: outcome not_run if the record was
  // certainly not appended, otherwise unknown. Throws Error(kOverloaded) if too many records are
  // queued.
  virtual WriteResult Write(const Record& record, Duration timeout) = 0;
};

}  // namespace turmericshift
