#include <algorithm>
#include <map>
#include <set>

#include "servers/history/history_check.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

// No process returns to an older version of the document, and a version is the same document in all
// processes.
class ConfigNeverReverts : public HistoryCheck {
 public:
  const char* name() const override { return "config_never_reverts"; }

  CheckResult Check(const History& history, const HistoryBounds& /*bounds*/) const override {
    std::map<std::string, const HistoryEvent*> newest;
    std::map<int64_t, const HistoryEvent*> documents;
    bool any = false;
    for (const HistoryEvent& event : history.events) {
      if (event.kind != Kind::kConfigInForce && event.kind != Kind::kConfigAccepted) continue;
      const auto [document, inserted] = documents.emplace(event.version, &event);
      if (!inserted && document->second->digest != event.digest) {
        return Violated("one version has two documents", {*document->second, event});
      }
      if (event.kind != Kind::kConfigInForce) continue;
      any = true;
      const HistoryEvent*& last = newest[event.process + "/" + event.incarnation];
      if (last != nullptr && event.version < last->version) {
        return Violated("an older version came into force again", {*last, event});
      }
      last = &event;
    }
    return any ? Held() : NotChecked("no config_in_force lines");
  }
};

// When operators take a zone out of use, no task starts there after the bound has passed, until the
// zone is in use again.
class NoStartAfterZoneExit : public HistoryCheck {
 public:
  const char* name() const override { return "no_start_after_zone_exit"; }

  CheckResult Check(const History& history, const HistoryBounds& bounds) const override {
    const int64_t bound = duration_cast<std::chrono::milliseconds>(bounds.zone_out).count();
    std::map<std::string, const HistoryEvent*> out_since;
    int64_t version = 0;
    for (const HistoryEvent& event : history.events) {
      // The first event with a version counts, whichever process logged the event.
      const bool document =
          event.kind == Kind::kConfigAccepted || event.kind == Kind::kConfigInForce;
      if (document && event.version > version) {
        version = event.version;
        Update(event, &out_since);
      }
      if (event.kind != Kind::kGangReleased) continue;
      const auto out = out_since.find(event.zone);
      if (out == out_since.end() || event.time_ms - out->second->time_ms <= bound) continue;
      return Violated("a task started " + std::to_string(event.time_ms - out->second->time_ms) +
                          " ms after its zone was taken out",
                      {*out->second, event});
    }
    return version == 0 ? NotChecked("no config_accepted or config_in_force lines") : Held();
  }

 private:
  static void Update(const HistoryEvent& document,
                     std::map<std::string, const HistoryEvent*>* out_since) {
    const std::set<std::string> out(document.zones_out.begin(), document.zones_out.end());
    std::erase_if(*out_since, [&out](const auto& zone) { return out.count(zone.first) == 0; });
    for (const std::string& zone : out) out_since->emplace(zone, &document);
  }
};

}  // namespace

std::vector<std::unique_ptr<HistoryCheck>> ConfigChecks() {
  std::vector<std::unique_ptr<HistoryCheck>> checks;
  checks.push_back(std::make_unique<ConfigNeverReverts>());
  checks.push_back(std::make_unique<NoStartAfterZoneExit>());
  return checks;
}

}  // namespace turmericshift
