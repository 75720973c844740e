#pragma once

#include "StandardWorld.h"
#include <yaml-cpp/yaml.h>

namespace Hornbeam {

/// One line of the load: requests at a steady rate, each at the next front that callers would be sent to.
struct ScenarioLoad
{
  std::string pipeline;
  std::string account;
  Duration interval{ 0 };
  Duration from{ 0 };
  Duration until{ 0 };
  bool keyed{ false };
  /// Sends every request with a key once more, to another front, after this time.
  Duration resendAfter{ 0 };
};

/// One thing that happens at a time. See docs/TESTING.md for the language.
struct ScenarioEvent
{
  Duration at{ 0 };
  std::string action;
  std::string target;
  std::string value;
  Duration duration{ 0 };
};

/// What must hold at the end, beside what the world checks after every step.
struct ScenarioExpectation
{
  int completePercent{ 0 };
  int members{ 0 };
  int acceptedEdits{ -1 };
  int conflictingEdits{ -1 };
  int unavailableEdits{ -1 };
  int coldOverloads{ -1 };
  /// No endpoint of this data centre, or this endpoint, gets new work in the window.
  std::string quietTarget;
  Duration quietFrom{ 0 };
  Duration quietUntil{ 0 };
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

/// Reads a scenario file; a malformed one stops the test.
Scenario
LoadScenario(std::string const& aFile);

/// Runs a scenario and returns what did not hold.
std::vector<std::string>
RunScenario(Scenario const& aScenario, std::uint64_t aSeed);

/// Carries out one event; the random schedules use it too.
void
CarryOutEvent(World& aWorld, ScenarioEvent const& aEvent, std::vector<std::shared_ptr<TrackedEdit>>& aEdits);

}
