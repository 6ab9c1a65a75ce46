// Whether a document's guarantees can be met: in all its zones together, and with any one zone out.
#pragma once

#include <string>
#include <vector>

#include "servers/config/environment.h"

namespace turmericshift {

struct GuaranteeReport {
  // The document must not be published: not even all zones together hold the guarantees.
  std::vector<std::string> errors;
  // It may, but operators should know what is not promised when a zone leaves.
  std::vector<std::string> warnings;
};

// Pure in the document. Each message carries its numbers.
GuaranteeReport CheckGuarantees(const Environment& environment);

// Throws Error(kInvalidInput) that lists the report's errors, a line each with `name`, if any.
void RequireGuarantees(const std::string& name, const GuaranteeReport& report);

}  // namespace turmericshift
