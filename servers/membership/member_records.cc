#include "servers/membership/member_records.h"

#include <nlohmann/json.hpp>

#include "core/error.h"

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

json EntryToJson(const EntryRecord& entry) {
  return {{"node", entry.node},
          {"zone", entry.zone},
          {"address", entry.address},
          {"planning_capacity", entry.planning_capacity}};
}

EntryRecord EntryFrom(const json& in) {
  return {in.at("node").get<std::string>(), in.at("zone").get<std::string>(),
          in.at("address").get<std::string>(), in.at("planning_capacity").get<int>()};
}

json PlannerFields(const PlannerRecord& planner) {
  return {{"epoch", planner.epoch}, {"node", planner.node}, {"address", planner.address}};
}

PlannerRecord PlannerFrom(const json& in) {
  return {in.at("epoch").get<int64_t>(), in.at("node").get<std::string>(),
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
    for (const json& former : in.value("former", json::array())) {
      planner.former.push_back(PlannerFrom(former));
    }
    for (const json& relay : in.value("relays", json::array())) {
      planner.relays.push_back(EntryFrom(relay));
    }
    return planner;
  });
}

std::string EncodeEntry(const EntryRecord& entry) { return EntryToJson(entry).dump(); }

EntryRecord DecodeEntry(const std::string& bytes) {
  return Decoded("entry record", [&] { return EntryFrom(json::parse(bytes)); });
}

}  // namespace turmericshift::membership
