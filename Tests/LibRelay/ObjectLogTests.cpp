#include <LibRelay/LibRelay.h>
#include <gtest/gtest.h>
#include <random>

namespace Hornbeam::Gateway {

static LoggedObject
Present(std::string const& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, aName + "@" + std::to_string(aRevision) };
}

static LoggedObject
Removed(std::string const& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, std::nullopt };
}

static ObjectLog
LogOf(std::vector<LoggedObject> const& aObjects, std::uint64_t aRevision)
{
  ObjectLog log;
  ApplyUpdate(log, { true, 0, aRevision, aObjects });
  return log;
}

/// The objects that exist, by name.
using Objects = std::map<std::string, std::string>;

static Objects
ObjectsOf(ObjectLog const& aLog)
{
  Objects result;
  for (auto const& [name, entry] : aLog.entries)
    if (entry.object.document)
      result[name] = *entry.object.document;
  return result;
}

// A relay that lags behind must not bring back an object that another relay has reported as removed.
TEST(ObjectLog, IgnoresAnUpdateThatEndsBeforeItsRevision)
{
  auto log = LogOf({ Present("a", 3) }, 5);
  EXPECT_EQ(ApplyUpdate(log, { false, 5, 8, { Removed("a", 8) } }).size(), 1U);
  EXPECT_TRUE(ApplyUpdate(log, { false, 4, 7, { Present("a", 7) } }).empty());
  EXPECT_TRUE(ObjectsOf(log).empty());
  EXPECT_EQ(log.revision, 8U);
}

// An update that begins after the log's revision may lack changes in between.
TEST(ObjectLog, IgnoresAnUpdateThatDoesNotConnect)
{
  auto log = LogOf({ Present("a", 3) }, 5);
  EXPECT_TRUE(ApplyUpdate(log, { false, 6, 9, { Present("b", 9) } }).empty());
  EXPECT_EQ(log.revision, 5U);
  ObjectLog empty;
  EXPECT_TRUE(ApplyUpdate(empty, { false, 0, 9, { Present("b", 9) } }).empty());
}

// The relay listed anew after a failure and never saw an object that came and went meanwhile. A reader that knows the
// object must be told all that exists, or it would keep the object for good.
TEST(ObjectLog, SendsAllObjectsToAReaderInsideAGap)
{
  auto relay = LogOf({ Present("a", 3) }, 5);
  ApplyUpdate(relay, { true, 0, 20, { Present("a", 3) } });
  auto reader = LogOf({ Present("a", 3), Present("b", 9) }, 10);
  auto const update = UpdateSince(relay, reader.revision);
  EXPECT_TRUE(update.complete);
  ApplyUpdate(reader, update);
  EXPECT_EQ(ObjectsOf(reader), ObjectsOf(relay));
  // A reader at the beginning of the gap needs only the changes, unless it has meanwhile got into the gap.
  auto const changes = UpdateSince(relay, 5);
  EXPECT_FALSE(changes.complete);
  auto late = LogOf({ Present("a", 3), Present("b", 9) }, 10);
  EXPECT_TRUE(ApplyUpdate(late, changes).empty());
  EXPECT_EQ(late.revision, 10U);
}

// The gap of a relay is passed on: a follower that got past it by an update with changes must not hide it from a front
// that follows the follower. Found by Specifications/ObjectLog.pml.
TEST(ObjectLog, PassesOnTheGapsOfItsSources)
{
  auto relay = LogOf({ Present("a", 3) }, 5);
  ApplyUpdate(relay, { true, 0, 20, { Present("a", 3) } });
  auto follower = LogOf({ Present("a", 3) }, 5);
  ApplyUpdate(follower, UpdateSince(relay, 5));
  EXPECT_EQ(follower.revision, 20U);
  auto reader = LogOf({ Present("a", 3), Present("b", 9) }, 10);
  ApplyUpdate(reader, UpdateSince(follower, 10));
  EXPECT_EQ(ObjectsOf(reader), ObjectsOf(relay));
}

// A relay that relists must not make every follower fetch every object again.
TEST(ObjectLog, SendsNothingThatDidNotChange)
{
  auto relay = LogOf({ Present("a", 3), Present("b", 4) }, 5);
  ApplyUpdate(relay, { true, 0, 20, { Present("a", 3), Present("b", 15) } });
  auto const update = UpdateSince(relay, 5);
  ASSERT_EQ(update.objects.size(), 1U);
  EXPECT_EQ(update.objects[0].name, "b");
  EXPECT_TRUE(UpdateSince(relay, 20).objects.empty());
}

// Thousands of endpoints that come and go must not fill a relay's memory.
TEST(ObjectLog, ForgetsOldRemovals)
{
  auto log = LogOf({}, 1);
  for (std::uint64_t revision = 2; revision < 10'000; revision += 2) {
    auto const name = "i-" + std::to_string(revision);
    ApplyUpdate(log, { false, log.revision, revision, { Present(name, revision) } });
    ApplyUpdate(log, { false, log.revision, revision + 1, { Removed(name, revision + 1) } });
  }
  EXPECT_LE(log.entries.size(), 600U);
  EXPECT_TRUE(UpdateSince(log, 100).complete);
  EXPECT_FALSE(UpdateSince(log, log.revision - 10).complete);
}

namespace {

/// A store with a history, and fronts that list, watch and follow each other with arbitrary delays.
class DelayedFleet
{
public:
  explicit DelayedFleet(unsigned aSeed)
    : random(aSeed)
    , states{ { 1, {} } }
    , logs(4)
  {
  }

  void Step()
  {
    auto& log = this->logs[this->Draw(this->logs.size())];
    switch (this->Draw(6)) {
      case 0:
      case 1:
        this->Change();
        break;
      case 2:
        this->inFlight.emplace_back(&log, this->List());
        break;
      case 3:
        if (log.revision != 0)
          this->inFlight.emplace_back(&log, this->Watch(log.revision));
        break;
      case 4:
        this->inFlight.emplace_back(&log, UpdateSince(this->logs[this->Draw(this->logs.size())], log.revision));
        break;
      default:
        this->Deliver();
    }
  }

  /// Checks that each front has exactly the objects that existed at its revision.
  void Check() const
  {
    for (auto const& log : this->logs)
      if (log.revision != 0) {
        ASSERT_EQ(ObjectsOf(log), this->At(log.revision)) << "revision " << log.revision;
      }
  }

private:
  std::size_t Draw(std::size_t aCount) { return this->random() % aCount; }
  std::uint64_t Now() const { return this->states.rbegin()->first; }
  Objects const& At(std::uint64_t aRevision) const { return std::prev(this->states.upper_bound(aRevision))->second; }

  void Change()
  {
    auto objects = this->states.rbegin()->second;
    auto const revision = this->Now() + 1 + this->Draw(2);
    auto const name = std::string(1, char('a' + this->Draw(5)));
    if (this->Draw(3) == 0)
      objects.erase(name);
    else
      objects[name] = *Present(name, revision).document;
    this->states[revision] = std::move(objects);
  }

  static LoggedObject Parse(std::string const& aName, std::string const& aDocument)
  {
    return Present(aName, std::stoull(aDocument.substr(aDocument.find('@') + 1)));
  }

  ObjectUpdate List() const
  {
    ObjectUpdate update{ true, 0, this->Now(), {} };
    for (auto const& [name, document] : this->At(this->Now()))
      update.objects.push_back(Parse(name, document));
    return update;
  }

  ObjectUpdate Watch(std::uint64_t aSince) const
  {
    ObjectUpdate update{ false, aSince, this->Now(), {} };
    std::map<std::string, LoggedObject> latest;
    for (auto state = this->states.upper_bound(aSince); state != this->states.end(); ++state) {
      auto const& before = std::prev(state)->second;
      for (auto const& [name, document] : state->second)
        if (!before.contains(name) || before.at(name) != document)
          latest[name] = Parse(name, document);
      for (auto const& [name, document] : before)
        if (!state->second.contains(name))
          latest[name] = Removed(name, state->first);
    }
    for (auto const& [name, object] : latest)
      update.objects.push_back(object);
    return update;
  }

  void Deliver()
  {
    if (this->inFlight.empty())
      return;
    auto const chosen = this->inFlight.begin() + std::ptrdiff_t(this->Draw(this->inFlight.size()));
    ApplyUpdate(*chosen->first, chosen->second);
    this->inFlight.erase(chosen);
  }

  std::minstd_rand random;
  std::map<std::uint64_t, Objects> states;
  std::vector<ObjectLog> logs;
  std::vector<std::pair<ObjectLog*, ObjectUpdate>> inFlight;
};

}

// Lists, watches and updates of other fronts arrive late and in any order: a front must always have the objects of one
// revision of the store, and never go back.
TEST(ObjectLog, HoldsTheObjectsOfOneRevisionWhateverTheOrderOfUpdates)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    DelayedFleet fleet(seed);
    for (int step = 0; step < 300; ++step) {
      fleet.Step();
      fleet.Check();
      ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed << " step " << step;
    }
  }
}

// After a restore of the store, everything was ignored until the new revisions had passed the old ones.
TEST(ObjectLog, TakesALaterEraAtALowerRevision)
{
  auto log = LogOf({ Present("a", MakePosition(1, 3)), Present("b", MakePosition(1, 40)) }, MakePosition(1, 41));
  auto const copy = MakePosition(2, 30);
  EXPECT_EQ(ApplyUpdate(log, { true, 0, copy, { Present("a", MakePosition(1, 3)) } }).size(), 1U);
  EXPECT_EQ(log.revision, copy);
  EXPECT_EQ(ObjectsOf(log).size(), 1U);
  // What the store still has in the same state is known at its revision in the new era.
  EXPECT_EQ(log.entries.at("a").object.revision, MakePosition(2, 3));
  EXPECT_TRUE(ApplyUpdate(log, { true, 0, MakePosition(1, 60), { Present("b", MakePosition(1, 60)) } }).empty());
  EXPECT_EQ(log.revision, copy);
}

// A follower in the former era got changes that do not lead from its state to that of the relay.
TEST(ObjectLog, LeadsReadersOfAFormerEraToTheLatest)
{
  auto relay = LogOf({ Present("a", MakePosition(1, 3)), Present("b", MakePosition(1, 20)) }, MakePosition(1, 40));
  ApplyUpdate(relay, { true, 0, MakePosition(2, 10), { Present("a", MakePosition(1, 3)) } });
  ApplyUpdate(relay, { false, MakePosition(2, 10), MakePosition(2, 12), { Present("c", MakePosition(2, 12)) } });
  auto const reader = [](std::uint64_t aRevision, std::vector<LoggedObject> aObjects) {
    return LogOf(aObjects, MakePosition(1, aRevision));
  };
  auto const a = Present("a", MakePosition(1, 3));
  for (auto log : { reader(10, { a }),
                    reader(40, { a, Present("b", MakePosition(1, 20)) }),
                    reader(60, { a, Present("d", MakePosition(1, 50)) }) }) {
    ApplyUpdate(log, UpdateSince(relay, log.revision));
    EXPECT_EQ(ObjectsOf(log), ObjectsOf(relay));
    EXPECT_EQ(log.revision, relay.revision);
  }
}

}
