#include "servers/membership/member_records.h"

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift::membership {
namespace {

using nlohmann::json;

// Runs `body`, which reads JSON, and converts its exceptions.
template <typename Body>
auto Decoded(const char* what, Body&& body) {
  try {
    return body();
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kInvalidInput, std::string("malformed ") + what + ": " + error.what());
  }
}

constexpr int64_t kMaxPort = 65535;

// Throws Error(kInvalidInput) unless the address ends with a port.
void CheckAddress(const std::string& address) {
  ParseInteger(address.substr(address.rfind(':') + 1), 1, kMaxPort);
}

// Returns the list `field` of `object`, or an empty list if there is none. Not copied: a copy of
// nested lists recurses, and a record of another writer may nest them deeper than a stack allows.
const json& ListIn(const json& object, const char* field) {
  static const json empty = json::array();
  const auto found = object.find(field);
  return found == object.end() ? empty : *found;
}

json EntryToJson(const EntryRecord& entry) {
  return {{"node", entry.node},
          {"zone", entry.zone},
          {"address", entry.address},
          {"planning_capacity", entry.planning_capacity}};
}

EntryRecord EntryFrom(const json& in) {
  const json& capacity = in.at("planning_capacity");
  if (!capacity.is_number_integer()) {
    throw Error(ErrorKind::kInvalidInput, "planning_capacity is not a whole number");
  }
  return {in.at("node").get<std::string>(), in.at("zone").get<std::string>(),
          in.at("address").get<std::string>(), capacity.get<int>()};
}

json PlannerFields(const PlannerRecord& planner) {
  return {{"epoch", planner.epoch}, {"node", planner.node}, {"address", planner.address}};
}

PlannerRecord PlannerFrom(const json& in) {
  const json& epoch = in.at("epoch");
  if (!epoch.is_number_integer()) {
    throw Error(ErrorKind::kInvalidInput, "epoch is not a whole number");
  }
  return {epoch.get<int64_t>(), in.at("node").get<std::string>(),
          in.at("address").get<std::string>()};
}

}  // namespace

std::string EncodePlanner(const PlannerRecord& planner) {
  json out = PlannerFields(planner);
  for (const PlannerRecord& former : planner.former) {
    out["former"].push_back(PlannerFields(former));
  }
  for (const EntryRecord& relay : planner.relays) out["relays"].push_back(EntryToJson(relay));
  return out.dump();
}

PlannerRecord DecodePlanner(const std::string& bytes) {
  return Decoded("planner record", [&] {
    const json in = json::parse(bytes);
    PlannerRecord planner = PlannerFrom(in);
    for (const json& former : ListIn(in, "former")) {
      planner.former.push_back(PlannerFrom(former));
    }
    for (const json& relay : ListIn(in, "relays")) {
      planner.relays.push_back(EntryFrom(relay));
    }
    return planner;
  });
}

std::string EncodeEntry(const EntryRecord& entry) { return EntryToJson(entry).dump(); }

EntryRecord DecodeEntry(const std::string& bytes) {
  return Decoded("entry record", [&] {
    EntryRecord entry = EntryFrom(json::parse(bytes));
    CheckAddress(entry.address);
    return entry;
  });
}

}  // namespace turmericshift::membership
