// Writes records of one stream; StreamClient in production.
#pragma once

#include "core/clock.h"
#include "servers/state/record.h"

namespace turmericshift {

struct WriteResult;

class RecordWriter {
 public:
  virtual ~RecordWriter() = default;
  // Appends `record` and waits until the fold has it.
  // Throws Error(kLogUnavailable): outcome not_run when it was surely not appended, otherwise
  // unknown; Error(kOverloaded) when too many records wait already.
  virtual WriteResult Write(const Record& record, Duration timeout) = 0;
};

}  // namespace turmericshift
