// Formats a burn report as text, JSON or a self-contained HTML page.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "servers/burn/burn_report.h"

namespace turmericshift {

std::string BurnText(const BurnReport& report);
nlohmann::json BurnJson(const BurnReport& report);
// The plots are inline SVG; the page has no scripts and refers to no other files.
std::string BurnHtml(const BurnReport& report);

}  // namespace turmericshift
