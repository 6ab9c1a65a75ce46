#include <gtest/gtest.h>

#include "core/digest.h"
#include "servers/state/replicated_config.h"

namespace turmericshift {
namespace {

std::string Document(const std::string& state, const std::string& deployment = "test") {
  return "[environment]\ndeployment = " + deployment + "\n[availability_zone a]\nstate = " + state +
         "\nworkers = 1\nworkers_per_rack = 1\nprocessors_per_worker = 4\n"
         "accelerators_per_worker = 8\nmemory_per_worker = 1GiB\n";
}

ConfigPublished Publish(int64_t parent, const std::string& text) {
  ConfigPublished record;
  record.id = NewRecordId();
  record.parent = parent;
  record.version = parent + 1;
  record.text = text;
  record.digest = Digest(text);
  record.author = "kati";
  return record;
}

ZoneChanged Zone(bool in) { return {NewRecordId(), "a", in, "angus", 0, ""}; }

// Two operators publish on the same parent: the log's order decides, and the second is told whose
// document came first.
TEST(ConfigFoldTest, OfTwoRacingDocumentsTheFirstCounts) {
  ReplicatedConfig fold;
  EXPECT_TRUE(fold.Apply(Publish(0, Document("in")), 0).accepted);
  EXPECT_TRUE(fold.Apply(Publish(1, Document("in") + "# one\n"), 1).accepted);
  const RecordVerdict second = fold.Apply(Publish(1, Document("in") + "# two\n"), 2);
  EXPECT_FALSE(second.accepted);
  EXPECT_EQ(second.reason, "version 2 by 'kati' came first");
  EXPECT_EQ(fold.current()->version, 2);
}

// One operator takes a zone out while another publishes an unrelated change: the zone is out in
// either order, and a document written before does not bring it back unnoticed.
TEST(ConfigFoldTest, AZoneChangeNeverLosesAgainstADocument) {
  ReplicatedConfig fold;
  fold.Apply(Publish(0, Document("in")), 0);
  fold.Apply(Publish(1, Document("in") + "# one\n"), 1);
  EXPECT_TRUE(fold.Apply(Zone(false), 2).accepted);
  EXPECT_EQ(fold.current()->version, 3);
  EXPECT_EQ(fold.current()->text, Document("out") + "# one\n");
  EXPECT_FALSE(fold.Apply(Publish(2, Document("in")), 3).accepted);
  EXPECT_FALSE(fold.Apply(Publish(3, Document("in")), 4).accepted);
  EXPECT_FALSE(fold.current()->environment->FindZone("a")->in);
  ConfigPublished deliberate = Publish(3, Document("in"));
  deliberate.sets_zones = true;
  EXPECT_TRUE(fold.Apply(deliberate, 5).accepted);
  EXPECT_FALSE(fold.Apply(Zone(true), 6).accepted);
}

// A document is promoted while production has a zone out: the zone stays out.
TEST(ConfigFoldTest, APromotedDocumentMayKeepTheZonesAsTheyAre) {
  ReplicatedConfig fold;
  fold.Apply(Publish(0, Document("in")), 0);
  fold.Apply(Zone(false), 1);
  ConfigPublished promoted = Publish(2, Document("in") + "# new\n");
  promoted.keeps_zones = true;
  EXPECT_TRUE(fold.Apply(promoted, 2).accepted);
  EXPECT_EQ(fold.current()->text, Document("out") + "# new\n");
}

TEST(ConfigFoldTest, RefusesDocumentsOfOtherEnvironmentsAndDeployments) {
  ReplicatedConfig fold;
  ConfigPublished first = Publish(0, Document("in"));
  first.environment = "trial";
  EXPECT_TRUE(fold.Apply(first, 0).accepted);
  ConfigPublished foreign = Publish(1, Document("in"));
  foreign.environment = "production";
  EXPECT_FALSE(fold.Apply(foreign, 1).accepted);
  EXPECT_FALSE(fold.Apply(Publish(1, Document("in", "other")), 2).accepted);
  EXPECT_EQ(fold.environment_name(), "trial");
}

}  // namespace
}  // namespace turmericshift
