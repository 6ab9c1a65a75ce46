// Checks whether a document's guarantees can be met with all zones in, and with any one zone out.
#pragma once

#include <string>
#include <vector>

#include "servers/config/environment.h"

namespace turmericshift {

struct GuaranteeReport {
  // Reasons why the document must not be published: not even all zones together can hold the
  // guarantees, or a guarantee exceeds its workspace's cap.
  std::vector<std::string> errors;
  // Guarantees that can't be met while a zone is out. The document may be published nevertheless.
  std::vector<std::string> warnings;
};

// Checks the guarantees of `environment`. The result depends on the document only. Messages state
// the numbers of guaranteed and of existing accelerators.
GuaranteeReport CheckGuarantees(const Environment& environment);

// Throws Error(kInvalidInput) if the report has errors; each line begins with `name`.
void RequireGuarantees(const std::string& name, const GuaranteeReport& report);

}  // namespace turmericshift
