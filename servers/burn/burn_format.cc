#include "servers/burn/burn_format.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "core/units.h"

namespace turmericshift {
namespace {

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3g", value);
  return text.data();
}

std::string Percent(double share) { return Number(100 * share) + "%"; }

std::string CausesText(const BurnRow& row) {
  std::string text;
  for (const auto& [cause, count] : row.causes) {
    text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
  }
  return text;
}

std::string PairName(const WindowPair& pair) {
  return FormatDuration(pair.short_window) + "/" + FormatDuration(pair.long_window);
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

constexpr double kPlotWidth = 480;
constexpr double kPlotHeight = 90;

// Returns the SVG element of a line in a plot. Values are clamped to [low, high].
template <typename Value>
std::string Polyline(const std::vector<BurnPoint>& points, const char* colour, double low,
                     double high, Value value) {
  std::string coordinates;
  for (size_t index = 0; index < points.size(); ++index) {
    const double share = (std::clamp(value(points[index]), low, high) - low) / (high - low);
    const double x = kPlotWidth * static_cast<double>(index) /
                     static_cast<double>(std::max<size_t>(points.size() - 1, 1));
    coordinates += Number(x) + "," + Number(kPlotHeight * (1 - share)) + " ";
  }
  return "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" + std::string(colour) +
         "\" points=\"" + coordinates + "\"/>";
}

std::string Plot(const BurnRow& row) {
  double highest = 1;
  for (const BurnPoint& point : row.points) highest = std::max(highest, point.rate);
  return "<svg viewBox=\"0 0 " + Number(kPlotWidth) + " " + Number(kPlotHeight) +
         "\" width=\"480\" height=\"90\" role=\"img\" aria-label=\"burn rate and budget left\">" +
         Polyline(row.points, "#b03a2e", 0, highest, [](const BurnPoint& p) { return p.rate; }) +
         Polyline(row.points, "#1f618d", 0, 1, [](const BurnPoint& p) { return p.budget_left; }) +
         "</svg><p class=\"key\"><span style=\"color:#b03a2e\">burn rate over 1h, 0 to " +
         Number(highest) +
         "</span>; <span style=\"color:#1f618d\">budget left, 0 to 100%</span></p>";
}

std::string RowHtml(const BurnRow& row) {
  std::string html = "<section><h2>" + Escape(row.workspace) + ": " + ObjectiveName(row.objective) +
                     (row.alert() ? " <b>burning</b>" : "") + "</h2><p>" +
                     std::to_string(row.total - row.bad) + " of " + std::to_string(row.total) +
                     " good, wanted " + Percent(row.wanted_share) + ", budget left " +
                     Percent(row.budget_left) +
                     "</p><table><tr><th>windows</th>"
                     "<th>short</th><th>long</th><th>limit</th></tr>";
  for (size_t index = 0; index < kWindowPairs.size(); ++index) {
    const PairBurn& burn = row.pairs.at(index);
    html += "<tr" + std::string(burn.alert ? " class=\"alert\"" : "") + "><td>" +
            PairName(kWindowPairs.at(index)) + "</td><td>" + Number(burn.short_rate) + "</td><td>" +
            Number(burn.long_rate) + "</td><td>" + Number(kWindowPairs.at(index).threshold) +
            "</td></tr>";
  }
  html += "</table>";
  if (!row.causes.empty()) html += "<p>Causes: " + Escape(CausesText(row)) + "</p>";
  return html + Plot(row) + "</section>\n";
}

}  // namespace

std::string BurnText(const BurnReport& report) {
  std::string text = "deployment " + report.deployment + ", milliseconds " +
                     std::to_string(report.from_ms) + " to " + std::to_string(report.now_ms) + "\n";
  for (const BurnRow& row : report.rows) {
    text += (row.alert() ? "BURNING  " : "         ") + row.workspace + " " +
            ObjectiveName(row.objective) + ": " + std::to_string(row.total - row.bad) + " of " +
            std::to_string(row.total) + " good, wanted " + Percent(row.wanted_share) +
            ", budget left " + Percent(row.budget_left) + ";";
    for (size_t index = 0; index < kWindowPairs.size(); ++index) {
      text += " ";
      text += PairName(kWindowPairs.at(index)) + " " + Number(row.pairs.at(index).short_rate) +
              "/" + Number(row.pairs.at(index).long_rate);
    }
    if (!row.causes.empty()) text += "; " + CausesText(row);
    text += "\n";
  }
  return text;
}

nlohmann::json BurnJson(const BurnReport& report) {
  nlohmann::json rows = nlohmann::json::array();
  for (const BurnRow& row : report.rows) {
    nlohmann::json pairs = nlohmann::json::array();
    for (size_t index = 0; index < kWindowPairs.size(); ++index) {
      const PairBurn& burn = row.pairs.at(index);
      pairs.push_back({{"windows", PairName(kWindowPairs.at(index))},
                       {"short_rate", burn.short_rate},
                       {"long_rate", burn.long_rate},
                       {"threshold", kWindowPairs.at(index).threshold},
                       {"alert", burn.alert}});
    }
    rows.push_back({{"workspace", row.workspace},
                    {"objective", ObjectiveName(row.objective)},
                    {"wanted_share", row.wanted_share},
                    {"total", row.total},
                    {"bad", row.bad},
                    {"budget_left", row.budget_left},
                    {"burn", pairs},
                    {"causes", row.causes}});
  }
  return {{"deployment", report.deployment},
          {"from_ms", report.from_ms},
          {"now_ms", report.now_ms},
          {"alert", report.alert()},
          {"objectives", rows}};
}

std::string BurnHtml(const BurnReport& report) {
  std::string html =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn: " +
      Escape(report.deployment) +
      "</title><style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:"
      "collapse}td,th{border:1px solid #999;padding:2px 8px;text-align:right}.alert{background:"
      "#f5b7b1}.key{font-size:12px}b{color:#b03a2e}</style><h1>Service-level burn: " +
      Escape(report.deployment) + "</h1>\n";
  for (const BurnRow& row : report.rows) html += RowHtml(row);
  if (report.rows.empty()) html += "<p>The logs hold nothing that is counted by an objective.</p>";
  return html + "</html>\n";
}

}  // namespace turmericshift
