#include "CrashFleet.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static MonotonicTime const kStart{ 1h };

static CrashReport
ReportOf(unsigned aProcess, std::map<std::string, unsigned> aCandidates)
{
  return { "e" + std::to_string(aProcess) + ".1", std::move(aCandidates), {}, { "f0" } };
}

static std::vector<std::string>
QuarantinedAt(CrashLedger& aLedger, MonotonicTime aNow)
{
  UpdateQuarantine(aLedger, aNow);
  std::vector<std::string> parts;
  for (auto const& [part, quarantine] : aLedger.quarantined)
    parts.push_back(part);
  return parts;
}

using Parts = std::vector<std::string>;

TEST(CrashCandidates, ExcludeTheLastPartAndNameUnprintableOnes)
{
  EXPECT_TRUE(SharedParts({}).empty());
  EXPECT_TRUE(SharedParts({ "own" }).empty());
  auto const parts = SharedParts({ "first", "\xff\n", "own" });
  ASSERT_EQ(parts.size(), 2U);
  EXPECT_EQ(parts[0].name, "first");
  EXPECT_TRUE(parts[1].name.starts_with("hash-"));
  EXPECT_EQ(parts[1].position, 1U);
}

TEST(CrashSuspicion, QuarantinesThePartThatExplainsTheCrashes)
{
  CrashLedger ledger;
  RecordCrash(ledger, ReportOf(1, { { "caller", 0 }, { "dead", 1 }, { "x", 2 } }), kStart);
  RecordCrash(ledger, ReportOf(2, { { "caller", 0 }, { "dead", 1 }, { "y", 2 } }), kStart + 1s);
  EXPECT_EQ(QuarantinedAt(ledger, kStart + 1s), Parts{});
  RecordCrash(ledger, ReportOf(3, { { "caller", 0 }, { "dead", 2 }, { "y", 1 } }), kStart + 2s);
  EXPECT_EQ(QuarantinedAt(ledger, kStart + 2s), Parts{ "dead" });
  EXPECT_TRUE(FindQuarantined(ledger, { { "other", 0 }, { "dead", 1 } }, kStart + 2s));
  EXPECT_FALSE(FindQuarantined(ledger, { { "caller", 0 }, { "y", 1 } }, kStart + 2s));
}

// Many sound requests at one endpoint must not crowd out the part that crashed it.
TEST(CrashSuspicion, KeepsUnclearedCandidatesOfAFullReport)
{
  CrashReport full;
  for (unsigned index = 0; index < 200; ++index) {
    auto const part = "p" + std::to_string(index);
    MergeReport(full, { "e1.1", { { part, 1 } }, { part }, { "f0" } });
  }
  auto const size = full.candidates.size();
  EXPECT_LT(size, 200U);
  EXPECT_TRUE(MergeReport(full, ReportOf(1, { { "dead", 1 } })));
  EXPECT_TRUE(full.candidates.contains("dead"));
  EXPECT_EQ(full.candidates.size(), size);
}

TEST(CrashCandidates, FingerprintsNameTheSameRequestOnly)
{
  RequestIdentity const identity{ "account", "POST", "host", "/a/b?c", "body" };
  auto const fingerprint = FingerprintOf(identity);
  EXPECT_EQ(fingerprint.name, FingerprintOf(identity).name);
  EXPECT_TRUE(IsFingerprint(fingerprint));
  for (auto const& other : { RequestIdentity{ "other", "POST", "host", "/a/b?c", "body" },
                             RequestIdentity{ "account", "PUT", "host", "/a/b?c", "body" },
                             RequestIdentity{ "account", "POST", "hos", "t/a/b?c", "body" },
                             RequestIdentity{ "account", "POST", "host", "/a/b?c", "body " } })
    EXPECT_NE(FingerprintOf(other).name, fingerprint.name);
  EXPECT_EQ(fingerprint.name.find("body"), std::string::npos);
  // A caller cannot name a part like another's request.
  EXPECT_NE(SharedParts({ fingerprint.name, "own" })[0].name, fingerprint.name);
}

TEST(CrashSuspicion, BlamesTheRequestBeforeThePartsThatItSharesWithSoundOnes)
{
  CrashLedger ledger;
  for (unsigned process = 1; process <= 3; ++process)
    RecordCrash(
      ledger, ReportOf(process, { { "caller", 0 }, { "shared", 1 }, { "request-1", kWholeRequest } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{ "request-1" });
  // A front may have learnt of a crash from a neighbour of the request only.
  RecordCrash(ledger, ReportOf(4, { { "caller", 0 }, { "shared", 1 }, { "request-2", kWholeRequest } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{ "request-1" });
  RecordCrash(ledger, ReportOf(5, { { "caller", 0 }, { "shared", 1 }, { "request-3", kWholeRequest } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{ "shared" });
}

// While two requests explained the same crashes, both were sent on, and the harmful one ended four endpoints more.
TEST(CrashSuspicion, LetsOneFrontTryRequestsThatExplainTheSameCrashes)
{
  CrashLedger ledger;
  std::map<std::string, unsigned> const both{ { "request-1", kWholeRequest }, { "request-2", kWholeRequest } };
  for (unsigned process = 1; process <= 3; ++process)
    RecordCrash(ledger, ReportOf(process, both), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), (Parts{ "request-1", "request-2" }));
  std::vector<CrashCandidate> const request{ { "request-1", kWholeRequest } };
  auto const tries = [](std::string const&) { return true; };
  EXPECT_TRUE(FindQuarantined(ledger, request, kStart + 1s, tries));
  EXPECT_FALSE(FindQuarantined(ledger, request, kStart + 10s, tries));
  EXPECT_TRUE(FindQuarantined(ledger, request, kStart + 10s));
  auto decided = ledger;
  RecordCrash(decided, ReportOf(4, { { "request-1", kWholeRequest } }), kStart);
  EXPECT_EQ(QuarantinedAt(decided, kStart), Parts{ "request-1" });
  auto cleared = ledger;
  RecordHarmless(cleared, { { "request-2", kWholeRequest } }, kStart, kStart);
  EXPECT_EQ(QuarantinedAt(cleared, kStart), Parts{ "request-1" });
  RecordCrash(ledger, ReportOf(4, both), kStart);
  RecordCrash(ledger, ReportOf(5, both), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), (Parts{ "request-1", "request-2" }));
  EXPECT_TRUE(FindQuarantined(ledger, request, kStart + 10s, tries));
}

// One entry for each sound request would push out what speaks for the parts of prompts.
TEST(CrashSuspicion, KeepsNoEntryForRequestsThatNoCrashNames)
{
  CrashLedger ledger;
  RecordHarmless(ledger, { { "part", 1 }, { "request-1", kWholeRequest } }, kStart, kStart);
  EXPECT_EQ(ledger.harmless.size(), 1U);
  RecordCrash(ledger, ReportOf(1, { { "request-2", kWholeRequest } }), kStart);
  RecordHarmless(ledger, { { "request-2", kWholeRequest } }, kStart, kStart);
  EXPECT_EQ(ledger.harmless.size(), 2U);
}

TEST(CrashSuspicion, CountsAProcessOnce)
{
  CrashLedger ledger;
  for (int index = 0; index < 5; ++index)
    RecordCrash(ledger, ReportOf(1, { { "caller", 0 }, { "dead", 1 } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{});
}

TEST(CrashSuspicion, SparesPartsThatDidNoHarm)
{
  CrashLedger ledger;
  RecordHarmless(ledger, { { "caller", 0 }, { "shared", 2 } }, kStart, kStart);
  for (unsigned process = 1; process <= 9; ++process)
    RecordCrash(ledger, ReportOf(process, { { "caller", 0 }, { "shared", 2 } }), kStart + process * 1s);
  EXPECT_EQ(QuarantinedAt(ledger, kStart + 10s), Parts{});
  EXPECT_TRUE(PossibleCauses(ledger, { { "caller", 0 }, { "shared", 2 } }, kStart + 10s).empty());
  // The answer speaks for its parts for a limited time.
  EXPECT_EQ(PossibleCauses(ledger, { { "caller", 0 }, { "shared", 2 } }, kStart + 60s).size(), 2U);
}

TEST(CrashSuspicion, SparesPartsThatAnotherFrontCleared)
{
  CrashLedger ledger;
  for (unsigned process = 1; process <= 3; ++process)
    RecordCrash(ledger, ReportOf(process, { { "caller", 0 }, { "shared", 2 } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{ "shared" });
  auto cleared = ReportOf(1, { { "shared", 2 } });
  cleared.cleared = { "shared" };
  EXPECT_TRUE(RecordCrash(ledger, cleared, kStart));
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{});
}

TEST(CrashSuspicion, ClearsPartsThatDidNoHarmHere)
{
  CrashLedger ledger;
  for (unsigned process = 1; process <= 2; ++process)
    RecordCrash(ledger, ReportOf(process, { { "dead", 1 }, { "shared", 2 } }), kStart);
  EXPECT_TRUE(CandidatesToClear(ledger).empty());
  RecordHarmless(ledger, { { "shared", 2 } }, kStart + 1s, kStart + 2s);
  auto const parts = CandidatesToClear(ledger);
  ASSERT_EQ(parts.size(), 2U);
  EXPECT_EQ(parts.at("e1.1"), std::set<std::string>{ "shared" });
}

TEST(CrashSuspicion, DemandsMoreEvidenceAgainstAFirstPart)
{
  CrashLedger ledger;
  for (unsigned process = 1; process <= 4; ++process)
    RecordCrash(ledger, ReportOf(process, { { "caller", 0 } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{});
  RecordCrash(ledger, ReportOf(5, { { "caller", 0 } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart), Parts{ "caller" });
}

TEST(CrashSuspicion, TriesAPartAgainAndOneCrashQuarantinesItAgain)
{
  CrashLedger ledger;
  for (unsigned process = 1; process <= 3; ++process)
    RecordCrash(ledger, ReportOf(process, { { "dead", 1 } }), kStart);
  EXPECT_EQ(QuarantinedAt(ledger, kStart + 9min), Parts{ "dead" });
  EXPECT_EQ(QuarantinedAt(ledger, kStart + 11min), Parts{});
  RecordCrash(ledger, ReportOf(4, { { "dead", 1 } }), kStart + 12min);
  EXPECT_EQ(QuarantinedAt(ledger, kStart + 12min), Parts{ "dead" });
  EXPECT_EQ(ObsoleteCrashes(ledger, kStart + 21min).size(), 3U);
}

/// Attempts at two processes; each is sent at kStart.
static AttemptWatch
TwoProcesses()
{
  AttemptWatch watch;
  watch.running[1] = { "e1.1", { { "caller", 0 }, { "dead", 1 } }, kStart, kStart + 50ms, kStart + 90ms, false };
  watch.running[2] = { "e1.1", { { "caller", 0 }, { "x", 1 } }, kStart, kStart + 50ms, kStart + 90ms, false };
  watch.running[3] = { "e2.1", { { "caller", 0 }, { "y", 1 } }, kStart, std::nullopt, {}, false };
  return watch;
}

TEST(AttemptWatch, ReportsACrashWithThePartsOfAnswersThatHadJustBegun)
{
  auto watch = TwoProcesses();
  watch.running[4] = { "e1.1", { { "old", 1 } }, kStart - 5s, kStart - 4s, kStart, false };
  auto const at = kStart + 100ms;
  for (std::uint64_t id : { 1U, 2U, 4U })
    RecordBroken(watch, id, at, at);
  EXPECT_EQ(CrashDecisionTime(watch), at + 100ms);
  auto const reports = TakeCrashes(watch, {}, "f0", at + 100ms);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].process, "e1.1");
  EXPECT_EQ(reports[0].candidates, (std::map<std::string, unsigned>{ { "caller", 0 }, { "dead", 1 }, { "x", 1 } }));
  EXPECT_FALSE(CrashDecisionTime(watch));
}

TEST(AttemptWatch, TakesASingleBrokenConnectionForNoCrash)
{
  auto watch = TwoProcesses();
  RecordBroken(watch, 1, kStart + 100ms, kStart + 100ms);
  watch.running.at(2).lastBytes = kStart + 180ms;
  EXPECT_TRUE(TakeCrashes(watch, {}, "f0", kStart + 200ms).empty());
}

// Reading is paused on a connection whose caller is slow, so its break is not noticed.
TEST(AttemptWatch, ReportsACrashThatASilentConnectionDoesNotShow)
{
  auto watch = TwoProcesses();
  RecordBroken(watch, 1, kStart + 100ms, kStart + 100ms);
  EXPECT_EQ(TakeCrashes(watch, {}, "f0", kStart + 200ms).size(), 1U);
}

// A front that had the same request in flight at two endpoints, which ended within 100 ms, reported one of them only.
TEST(AttemptWatch, ReportsEachProcessThatTheSameRequestCrashesAtOneMoment)
{
  AttemptWatch watch;
  for (std::uint64_t id = 1; id <= 2; ++id)
    watch.running[id] = {
      "e" + std::to_string(id) + ".1", { { "request-dead", kWholeRequest } }, kStart, std::nullopt, {}, false
    };
  watch.running[3] = { "e3.1", { { "request-sound", kWholeRequest } }, kStart, std::nullopt, {}, false };
  RecordBroken(watch, 1, kStart + 60ms, kStart + 60ms);
  RecordBroken(watch, 2, kStart + 70ms, kStart + 70ms);
  RecordBroken(watch, 3, kStart + 70ms, kStart + 70ms);
  std::vector<std::string> processes;
  for (auto const& report : TakeCrashes(watch, {}, "f0", kStart + 160ms))
    processes.push_back(report.process);
  EXPECT_EQ(processes, (std::vector<std::string>{ "e1.1", "e2.1" }));
}

TEST(AttemptWatch, TakesConnectionsThatBreakOffTogetherForOneCrash)
{
  auto watch = TwoProcesses();
  for (std::uint64_t id : { 1U, 2U, 3U })
    RecordBroken(watch, id, kStart + 100ms, kStart + 100ms);
  auto const reports = TakeCrashes(watch, {}, "f0", kStart + 200ms);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_FALSE(reports[0].candidates.contains("y"));
  EXPECT_TRUE(TakeCrashes(watch, {}, "f0", kStart + 300ms).empty());
}

TEST(AttemptWatch, ReportsTheCrashThatARetryCauses)
{
  auto watch = TwoProcesses();
  RecordBroken(watch, 1, kStart + 100ms, kStart + 100ms);
  RecordBroken(watch, 2, kStart + 100ms, kStart + 100ms);
  watch.running[4] = { "e2.1", { { "dead", 1 } }, kStart + 101ms, kStart + 110ms, kStart + 110ms, false };
  RecordBroken(watch, 3, kStart + 120ms, kStart + 120ms);
  RecordBroken(watch, 4, kStart + 120ms, kStart + 120ms);
  EXPECT_EQ(TakeCrashes(watch, {}, "f0", kStart + 200ms).size(), 2U);
}

// A front that was frozen reads the reset long after the answer began.
TEST(AttemptWatch, DatesBreaksByTheirEarliestArrival)
{
  auto watch = TwoProcesses();
  EXPECT_TRUE(RecordBroken(watch, 1, kStart + 110ms, kStart + 6s));
  EXPECT_FALSE(RecordBroken(watch, 2, kStart + 6s, kStart + 6s));
}

struct FleetCase
{
  unsigned fronts;
  unsigned endpoints;
  double soundRate;
  Duration deadInterval;
  Duration contactTime;
};

class CrashingPart : public testing::TestWithParam<FleetCase>
{
protected:
  static CrashFleetSettings Settings(unsigned aSeed)
  {
    auto const& param = GetParam();
    CrashFleetSettings settings;
    settings.fronts = param.fronts;
    settings.endpoints = param.endpoints;
    settings.soundRate = param.soundRate;
    settings.seed = aSeed;
    return settings;
  }
};

// The platform's rule: at most three requests with the part are sent to endpoints later than the contact time after
// the fifth crash, and sound requests with its caller and its other parts are served later than twice that time.
TEST_P(CrashingPart, IsStoppedInTheWholeFleetAndNothingElse)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    auto settings = Settings(seed);
    settings.deadInterval = GetParam().deadInterval;
    settings.lostReports = seed > 3 ? 0.2 : 0;
    CrashFleet fleet(settings);
    fleet.RunFor(40s);
    ASSERT_FALSE(fleet.Crashes().empty());
    auto const fifth = fleet.Crashes().size() < 5 ? fleet.Crashes().back() : fleet.Crashes()[4];
    EXPECT_LE(fleet.CountDeadSentAfter(fifth + GetParam().contactTime), 3U) << "seed " << seed;
    EXPECT_EQ(fleet.Quarantined(), (std::map<std::string, std::size_t>{ { "dead", settings.fronts } }))
      << "seed " << seed;
    EXPECT_EQ(fleet.CountSoundRefusedAfter(fifth + 2 * GetParam().contactTime), 0U) << "seed " << seed;
  }
}

// A request without a harmful part ended endpoints without end, as only parts were held against crashes. The platform
// allows three more later than the contact time after the third crash.
TEST_P(CrashingPart, RequestIsStoppedInTheWholeFleetAndNothingElse)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    auto settings = Settings(seed);
    settings.dead = DeadKind::Request;
    settings.deadInterval = GetParam().deadInterval;
    settings.lostReports = seed > 6 ? 0.2 : 0;
    CrashFleet fleet(settings);
    fleet.RunFor(40s);
    ASSERT_GE(fleet.Crashes().size(), 3U);
    auto const third = fleet.Crashes()[2];
    EXPECT_LE(fleet.CountDeadSentAfter(third + GetParam().contactTime), 3U) << "seed " << seed;
    EXPECT_EQ(fleet.Quarantined(), (std::map<std::string, std::size_t>{ { "request-dead", settings.fronts } }))
      << "seed " << seed;
    EXPECT_EQ(fleet.CountSoundRefusedAfter({}), 0U) << "seed " << seed;
  }
}

// On a service of three endpoints, every sound request in flight shares the crashes and meets the same endpoints again.
TEST(CrashingRequest, IsToldApartFromItsNeighboursOnASmallService)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CrashFleetSettings settings;
    settings.endpoints = 3;
    settings.soundRate = 12;
    settings.dead = DeadKind::Request;
    settings.deadInterval = 300ms;
    settings.seed = seed;
    CrashFleet fleet(settings);
    fleet.RunFor(40s);
    ASSERT_GE(fleet.Crashes().size(), 3U);
    EXPECT_LE(fleet.CountDeadSentAfter(fleet.Crashes()[2] + 3s), 3U) << "seed " << seed;
    EXPECT_EQ(fleet.Quarantined(), (std::map<std::string, std::size_t>{ { "request-dead", settings.fronts } }))
      << "seed " << seed;
    EXPECT_EQ(fleet.CountSoundRefusedAfter({}), 0U) << "seed " << seed;
  }
}

TEST_P(CrashingPart, IsNotInferredFromCrashesThatNoRequestCauses)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    auto settings = Settings(seed);
    settings.otherCrashInterval = seed > 3 ? 150ms : 1s;
    CrashFleet fleet(settings);
    fleet.RunFor(seed > 3 ? 6s : 30s);
    EXPECT_EQ(fleet.Quarantined(), (std::map<std::string, std::size_t>{})) << "seed " << seed;
    EXPECT_EQ(fleet.CountSoundRefusedAfter({}), 0U) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         CrashingPart,
                         testing::Values(FleetCase{ 7, 12, 60, 700ms, 3s },
                                         FleetCase{ 195, 600, 600, 500ms, 4s },
                                         FleetCase{ 370, 600, 1000, 350ms, 4s }));

}
