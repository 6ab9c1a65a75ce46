#include "servers/state/replicated_config.h"

#include <gtest/gtest.h>

#include "core/digest.h"

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

// Two operators publish documents based on the same parent version. Only the first record in the
// log may be accepted, and the second operator must be told whose document came first.
TEST(ReplicatedConfigTest, FirstOfTwoCompetingDocumentsWins) {
  ReplicatedConfig config;
  EXPECT_TRUE(config.Apply(Publish(0, Document("in")), 0).accepted);
  EXPECT_TRUE(config.Apply(Publish(1, Document("in") + "# one\n"), 1).accepted);
  const RecordVerdict second = config.Apply(Publish(1, Document("in") + "# two\n"), 2);
  EXPECT_FALSE(second.accepted);
  EXPECT_EQ(second.reason, "version 2 by 'kati' came first");
  EXPECT_EQ(config.current()->version, 2);
}

// One operator takes a zone out while another publishes an unrelated change. The zone must end up
// out in either order, and an older document must not bring it back unnoticed.
TEST(ReplicatedConfigTest, ZoneChangeSucceedsDespiteConcurrentDocument) {
  ReplicatedConfig config;
  config.Apply(Publish(0, Document("in")), 0);
  config.Apply(Publish(1, Document("in") + "# one\n"), 1);
  EXPECT_TRUE(config.Apply(Zone(false), 2).accepted);
  EXPECT_EQ(config.current()->version, 3);
  EXPECT_EQ(config.current()->text, Document("out") + "# one\n");
  EXPECT_FALSE(config.Apply(Publish(2, Document("in")), 3).accepted);
  EXPECT_FALSE(config.Apply(Publish(3, Document("in")), 4).accepted);
  EXPECT_FALSE(config.current()->environment->FindZone("a")->in);
  ConfigPublished deliberate = Publish(3, Document("in"));
  deliberate.sets_zones = true;
  EXPECT_TRUE(config.Apply(deliberate, 5).accepted);
  EXPECT_FALSE(config.Apply(Zone(true), 6).accepted);
}

// A document is promoted while production has a zone out. The zone must stay out.
TEST(ReplicatedConfigTest, PromotedDocumentCanKeepZoneStates) {
  ReplicatedConfig config;
  config.Apply(Publish(0, Document("in")), 0);
  config.Apply(Zone(false), 1);
  ConfigPublished promoted = Publish(2, Document("in") + "# new\n");
  promoted.keeps_zones = true;
  EXPECT_TRUE(config.Apply(promoted, 2).accepted);
  EXPECT_EQ(config.current()->text, Document("out") + "# new\n");
}

TEST(ReplicatedConfigTest, RefusesDocumentsOfOtherEnvironmentsAndDeployments) {
  ReplicatedConfig config;
  ConfigPublished first = Publish(0, Document("in"));
  first.environment = "trial";
  EXPECT_TRUE(config.Apply(first, 0).accepted);
  ConfigPublished foreign = Publish(1, Document("in"));
  foreign.environment = "production";
  EXPECT_FALSE(config.Apply(foreign, 1).accepted);
  EXPECT_FALSE(config.Apply(Publish(1, Document("in", "other")), 2).accepted);
  EXPECT_EQ(config.environment_name(), "trial");
}

}  // namespace
}  // namespace turmericshift
