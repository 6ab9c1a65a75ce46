#include "servers/agent/start_guard.h"

#include <gtest/gtest.h>

#include "core/digest.h"
#include "core/error.h"

namespace turmericshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Document(const std::string& state) {
  return "[environment]\ndeployment = test\nzone_out_bound = 3s\n"
         "[availability_zone a]\nstate = " +
         state +
         "\nworkers = 1\nworkers_per_rack = 1\nprocessors_per_worker = 4\n"
         "accelerators_per_worker = 8\nmemory_per_worker = 1GiB\n"
         "[availability_zone b]\nstate = in\nworkers = 1\nworkers_per_rack = 1\n"
         "processors_per_worker = 4\naccelerators_per_worker = 8\nmemory_per_worker = 1GiB\n";
}

class StartGuardTest : public testing::Test {
 protected:
  // What an entry of zone `zone` answers; `age` of its newest read, `failing` reads now.
  EntryBeat Beat(const std::string& zone, int64_t version, Duration age, bool failing) const {
    EntryBeat beat;
    beat.self = {"entry-" + zone, zone, "10.0.0.1:1"};
    beat.config_version = version;
    if (version > guard_.config_version()) beat.config_text = Document(version == 1 ? "in" : "out");
    beat.config_digest = Digest(Document(version == 1 ? "in" : "out"));
    beat.freshness = {age, failing};
    return beat;
  }

  bool MayStart(Time now) const {
    try {
      guard_.RequireStartAllowed(now);
      return true;
    } catch (const Error& error) {
      EXPECT_EQ(error.outcome(), Outcome::kNotRun);
      return false;
    }
  }

  StartGuard guard_{"a"};
  Time now_ = Time{} + std::chrono::hours(1);
};

// The agent hears nobody: it can't know whether its zone was taken out meanwhile.
TEST_F(StartGuardTest, HearingNobodyEndsStartsAfterTheBound) {
  EXPECT_FALSE(MayStart(now_));
  guard_.HandleHeartbeatReply(Beat("a", 1, milliseconds(100), false), now_);
  EXPECT_TRUE(MayStart(now_ + milliseconds(2900)));
  EXPECT_FALSE(MayStart(now_ + milliseconds(2901)));
}

// One entry lost its way to the log while others read it: operators may take the zone out there.
TEST_F(StartGuardTest, AnEntryThatCannotReadDoesNotVouchAloneForTheLog) {
  guard_.HandleHeartbeatReply(Beat("a", 1, Duration{}, false), now_);
  guard_.HandleHeartbeatReply(Beat("b", 1, Duration{}, false), now_ + milliseconds(1));
  guard_.HandleHeartbeatReply(Beat("a", 1, seconds(4), true), now_ + seconds(4));
  EXPECT_FALSE(MayStart(now_ + seconds(4)));
  // The other one still reads: its word is enough.
  guard_.HandleHeartbeatReply(Beat("b", 1, milliseconds(200), false), now_ + seconds(4));
  EXPECT_TRUE(MayStart(now_ + seconds(5)));
}

// The log is down for all entries: accepted work goes on, for nobody can have accepted a document.
TEST_F(StartGuardTest, WorkGoesOnWhileEveryEntrySaysThatTheLogIsDown) {
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, Duration{}, false), now_);
  const Time later = now_ + seconds(600);
  guard_.HandleHeartbeatReply(Beat("a", 1, seconds(600), true), later);
  EXPECT_FALSE(MayStart(later));
  guard_.HandleHeartbeatReply(Beat("b", 1, seconds(599), true), later);
  EXPECT_TRUE(MayStart(later));
  // One falls silent: it may be the one that reads again.
  guard_.HandleHeartbeatReply(Beat("a", 1, seconds(604), true), later + seconds(4));
  EXPECT_FALSE(MayStart(later + seconds(4)));
}

// An entry that still read the log died during the outage; what it accepted last may have reached
// no agent. Only a read by another entry shows that there was nothing.
TEST_F(StartGuardTest, AReaderThatDiedIsNotForgottenUntilTheLogIsReadAgain) {
  for (const char* zone : {"a", "b", "c"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, Duration{}, false), now_);
  const Time later = now_ + seconds(600);
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, seconds(600), true), later);
  EXPECT_FALSE(MayStart(later));
  guard_.HandleHeartbeatReply(Beat("a", 1, Duration{}, false), later + seconds(1));
  const Time again = later + seconds(100);
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, seconds(99), true), again);
  EXPECT_TRUE(MayStart(again));
}

// The way to one entry breaks while it goes on reading the log; just afterwards the other entries,
// whose last read is newer than its last word, lose the log. Operators can still take the zone out
// at the first, and shops would see work start in a zone that is under maintenance.
TEST_F(StartGuardTest, AReaderThatFellSilentCountsThoughOthersReadOnceMore) {
  for (const char* zone : {"a", "b", "c"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, Duration{}, false), now_);
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(Beat(zone, 1, Duration{}, false), now_ + seconds(1));
  }
  const Time later = now_ + seconds(10);
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, seconds(9), true), later);
  EXPECT_FALSE(MayStart(later));
}

// An entry has just started when the way to it breaks; the others lose the log a moment later. It
// has read nothing yet when it was last heard, but it reads on and takes operators' orders.
TEST_F(StartGuardTest, AnEntryThatWasAboutToReadCounts) {
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, Duration{}, false), now_);
  guard_.HandleHeartbeatReply(Beat("c", 0, Duration(-1), false), now_);
  const Time later = now_ + seconds(10);
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, seconds(10), true), later);
  EXPECT_FALSE(MayStart(later));
}

// An entry restarted during the outage knows nothing of what it accepted before.
TEST_F(StartGuardTest, ARestartedEntryDoesNotVouch) {
  for (const char* zone : {"a", "b"})
    guard_.HandleHeartbeatReply(Beat(zone, 1, Duration{}, false), now_);
  const Time later = now_ + seconds(10);
  guard_.HandleHeartbeatReply(Beat("a", 1, seconds(10), true), later);
  guard_.HandleHeartbeatReply(Beat("b", 0, Duration(-1), true), later);
  EXPECT_FALSE(MayStart(later));
}

// A process that was paused holds an answer whose age no longer holds; time is counted from before
// the question was sent.
TEST_F(StartGuardTest, ALateAnswerClaimsNoMoreThanItsQuestion) {
  guard_.HandleHeartbeatReply(Beat("a", 1, Duration{}, false), now_);
  const Time woke = now_ + seconds(300);
  EXPECT_FALSE(MayStart(woke));
  guard_.HandleHeartbeatReply(Beat("a", 1, Duration{}, false), now_ + seconds(1));
  EXPECT_FALSE(MayStart(woke));
}

TEST_F(StartGuardTest, VersionsNeverFallAndAnOutZoneStaysOut) {
  guard_.HandleHeartbeatReply(Beat("a", 1, Duration{}, false), now_);
  guard_.HandleHeartbeatReply(Beat("b", 2, Duration{}, false), now_ + seconds(1));
  EXPECT_FALSE(MayStart(now_ + seconds(1)));
  // The other entry is behind and does not know yet.
  EntryBeat old = Beat("a", 1, Duration{}, false);
  old.config_text = Document("in");
  guard_.HandleHeartbeatReply(old, now_ + seconds(2));
  EXPECT_EQ(guard_.config_version(), 2);
  EXPECT_FALSE(MayStart(now_ + seconds(2)));
}

// An agent's settings name an entry of another environment: its documents must not mix in.
TEST_F(StartGuardTest, DocumentsOfAnotherEnvironmentAreRefused) {
  EntryBeat trial = Beat("a", 1, Duration{}, false);
  trial.environment = "trial";
  guard_.HandleHeartbeatReply(trial, now_);
  EntryBeat production = Beat("b", 2, Duration{}, false);
  production.environment = "production";
  guard_.HandleHeartbeatReply(production, now_);
  EXPECT_EQ(guard_.config_version(), 1);
  EntryBeat other = Beat("b", 1, Duration{}, false);
  other.config_digest = Digest("another document");
  guard_.HandleHeartbeatReply(other, now_ + seconds(4));
  EXPECT_FALSE(MayStart(now_ + seconds(4)));
}

}  // namespace
}  // namespace turmericshift
