#pragma once

#include "StandardWorld.h"
#include <yaml-cpp/yaml.h>

namespace Hornbeam {

/// A stream of requests at a constant rate, each sent to the next front that callers would be directed to.
struct ScenarioLoad
{
  std::string pipeline;
  std::string account;
  Duration interval{ 0 };
  Duration from{ 0 };
  Duration until{ 0 };
  bool keyed{ false };
  /// Resends every request with a key to another front after this time.
  Duration resendAfter{ 0 };
};

/// An event at a point in time. docs/TESTING.md describes the format.
struct ScenarioEvent
{
  Duration at{ 0 };
  std::string action;
  std::string target;
  std::string value;
  Duration duration{ 0 };
};

/// Conditions that must hold at the end, in addition to the invariants that the world checks after every step.
struct ScenarioExpectation
{
  int completePercent{ 0 };
  int members{ 0 };
  int acceptedEdits{ -1 };
  int conflictingEdits{ -1 };
  int unavailableEdits{ -1 };
  int coldOverloads{ -1 };
  /// An endpoint, or a data centre whose endpoints all must get no new work in the window.
  std::string idleTarget;
  Duration idleFrom{ 0 };
  Duration idleUntil{ 0 };
  std::string endedFront;
};

struct Scenario
{
  std::string name;
  bool startsWarm{ true };
  std::vector<ScenarioLoad> loads;
  std::vector<ScenarioEvent> events;
  Duration length{ 10s };
  std::vector<ScenarioExpectation> expectations;
};

/// Loads a scenario file. A malformed file fails the test.
Scenario
LoadScenario(std::string const& aFile);

/// Runs a scenario and returns the conditions that did not hold.
std::vector<std::string>
RunScenario(Scenario const& aScenario, std::uint64_t aSeed);

/// Executes one event.
void
ExecuteEvent(World& aWorld, ScenarioEvent const& aEvent, std::vector<std::shared_ptr<TrackedEdit>>& aEdits);

}
