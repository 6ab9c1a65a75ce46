#include "servers/agent/start_guard.h"

#include <gtest/gtest.h>

#include <map>

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
  // Reply of an entry in `zone` whose newest read is `age` old; `failing` if its reads fail now.
  HeartbeatReply MakeReply(const std::string& zone, int64_t version, Duration age,
                           bool failing) const {
    HeartbeatReply beat;
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

// Without replies, the agent can't know whether its zone was taken out meanwhile.
TEST_F(StartGuardTest, NoStartsAfterBoundWithoutReplies) {
  EXPECT_FALSE(MayStart(now_));
  guard_.HandleHeartbeatReply(MakeReply("a", 1, milliseconds(100), false), now_);
  EXPECT_TRUE(MayStart(now_ + milliseconds(2900)));
  EXPECT_FALSE(MayStart(now_ + milliseconds(2901)));
}

// An entry that has not read the newest document states its version all the same, without a digest.
// If agents reported that the entry holds it, the document would be said to be in force there.
TEST_F(StartGuardTest, ReportsOnlyVersionsThatEntriesHold) {
  guard_.HandleHeartbeatReply(MakeReply("a", 1, Duration{}, false), now_);
  HeartbeatReply lagging = MakeReply("b", 1, Duration{}, false);
  lagging.config_digest.clear();
  lagging.config_text.clear();
  guard_.HandleHeartbeatReply(lagging, now_);
  const auto versions = [this] {
    std::map<std::string, int64_t> held;
    for (const ObservedEntry& each : guard_.entry_statements(now_)) {
      held[each.entry.process] = each.config_version;
    }
    return held;
  };
  EXPECT_EQ(versions()["entry-a"], 1);
  EXPECT_EQ(versions()["entry-b"], 0);
  guard_.HandleHeartbeatReply(MakeReply("b", 1, Duration{}, false), now_ + milliseconds(1));
  EXPECT_EQ(versions()["entry-b"], 1);
}

// One entry can't reach the log while others read it, so operators may take the zone out through
// the other entries.
TEST_F(StartGuardTest, OneEntryReportingLogFailureIsNotEnough) {
  guard_.HandleHeartbeatReply(MakeReply("a", 1, Duration{}, false), now_);
  guard_.HandleHeartbeatReply(MakeReply("b", 1, Duration{}, false), now_ + milliseconds(1));
  guard_.HandleHeartbeatReply(MakeReply("a", 1, seconds(4), true), now_ + seconds(4));
  EXPECT_FALSE(MayStart(now_ + seconds(4)));
  // The other entry still reads the log, which is sufficient for starts.
  guard_.HandleHeartbeatReply(MakeReply("b", 1, milliseconds(200), false), now_ + seconds(4));
  EXPECT_TRUE(MayStart(now_ + seconds(5)));
}

// The log is down for all entries, so none can have accepted a document and work may go on.
TEST_F(StartGuardTest, StartsContinueWhileAllEntriesReportLogDown) {
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, Duration{}, false), now_);
  }
  const Time later = now_ + seconds(600);
  guard_.HandleHeartbeatReply(MakeReply("a", 1, seconds(600), true), later);
  EXPECT_FALSE(MayStart(later));
  guard_.HandleHeartbeatReply(MakeReply("b", 1, seconds(599), true), later);
  EXPECT_TRUE(MayStart(later));
  // The silent entry may be able to read the log again.
  guard_.HandleHeartbeatReply(MakeReply("a", 1, seconds(604), true), later + seconds(4));
  EXPECT_FALSE(MayStart(later + seconds(4)));
}

// An entry that could read the log died during the outage. The last document that it accepted may
// have reached no agent. Only a read by another entry shows that there was no such document.
TEST_F(StartGuardTest, DeadReaderCountsUntilLogIsReadAgain) {
  for (const char* zone : {"a", "b", "c"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, Duration{}, false), now_);
  }
  const Time later = now_ + seconds(600);
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, seconds(600), true), later);
  }
  EXPECT_FALSE(MayStart(later));
  guard_.HandleHeartbeatReply(MakeReply("a", 1, Duration{}, false), later + seconds(1));
  const Time again = later + seconds(100);
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, seconds(99), true), again);
  }
  EXPECT_TRUE(MayStart(again));
}

// The connection to one entry breaks while the entry goes on reading the log. Then the other
// entries, whose last read is newer than its last reply, lose the log. Operators can still take the
// zone out at the first entry, so no work may start.
TEST_F(StartGuardTest, SilentReaderCountsAfterOthersRead) {
  for (const char* zone : {"a", "b", "c"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, Duration{}, false), now_);
  }
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, Duration{}, false), now_ + seconds(1));
  }
  const Time later = now_ + seconds(10);
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, seconds(9), true), later);
  }
  EXPECT_FALSE(MayStart(later));
}

// The connection to an entry breaks just after the entry has started, and the others lose the log
// shortly after. The entry had read nothing at its last reply, but may read the log and accept
// documents since.
TEST_F(StartGuardTest, EntryAboutToReadCounts) {
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, Duration{}, false), now_);
  }
  guard_.HandleHeartbeatReply(MakeReply("c", 0, Duration(-1), false), now_);
  const Time later = now_ + seconds(10);
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, seconds(10), true), later);
  }
  EXPECT_FALSE(MayStart(later));
}

// An entry that restarted during the outage does not know which documents it accepted before.
TEST_F(StartGuardTest, RestartedEntryIsNoEvidenceOfLogFailure) {
  for (const char* zone : {"a", "b"}) {
    guard_.HandleHeartbeatReply(MakeReply(zone, 1, Duration{}, false), now_);
  }
  const Time later = now_ + seconds(10);
  guard_.HandleHeartbeatReply(MakeReply("a", 1, seconds(10), true), later);
  guard_.HandleHeartbeatReply(MakeReply("b", 0, Duration(-1), true), later);
  EXPECT_FALSE(MayStart(later));
}

// A process that was paused holds a reply whose age is outdated. The age must count from before the
// heartbeat was sent.
TEST_F(StartGuardTest, DelayedReplyCountsFromRequestTime) {
  guard_.HandleHeartbeatReply(MakeReply("a", 1, Duration{}, false), now_);
  const Time woke = now_ + seconds(300);
  EXPECT_FALSE(MayStart(woke));
  guard_.HandleHeartbeatReply(MakeReply("a", 1, Duration{}, false), now_ + seconds(1));
  EXPECT_FALSE(MayStart(woke));
}

TEST_F(StartGuardTest, VersionNeverDecreasesAndZoneStaysOut) {
  guard_.HandleHeartbeatReply(MakeReply("a", 1, Duration{}, false), now_);
  guard_.HandleHeartbeatReply(MakeReply("b", 2, Duration{}, false), now_ + seconds(1));
  EXPECT_FALSE(MayStart(now_ + seconds(1)));
  // The other entry lags and does not know version 2 yet.
  HeartbeatReply old = MakeReply("a", 1, Duration{}, false);
  old.config_text = Document("in");
  guard_.HandleHeartbeatReply(old, now_ + seconds(2));
  EXPECT_EQ(guard_.config_version(), 2);
  EXPECT_FALSE(MayStart(now_ + seconds(2)));
}

// An agent's settings name an entry of another environment, whose documents must not be adopted.
TEST_F(StartGuardTest, DocumentsOfAnotherEnvironmentAreRefused) {
  HeartbeatReply trial = MakeReply("a", 1, Duration{}, false);
  trial.environment = "trial";
  guard_.HandleHeartbeatReply(trial, now_);
  HeartbeatReply production = MakeReply("b", 2, Duration{}, false);
  production.environment = "production";
  guard_.HandleHeartbeatReply(production, now_);
  EXPECT_EQ(guard_.config_version(), 1);
  HeartbeatReply other = MakeReply("b", 1, Duration{}, false);
  other.config_digest = Digest("another document");
  guard_.HandleHeartbeatReply(other, now_ + seconds(4));
  EXPECT_FALSE(MayStart(now_ + seconds(4)));
}

}  // namespace
}  // namespace turmericshift
