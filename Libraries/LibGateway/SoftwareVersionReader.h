#pragma once

#include "StateCache.h"
#include <platform/Platform.h>

namespace Hornbeam::Gateway {

/// The software versions of each service, as the store tells them.
struct ReadVersions
{
  /// Those of the endpoints that are in the store.
  Platform::VersionsByService present;
  /// Those that the fronts have seen lately, and where this is stored; nothing if it never was.
  std::optional<Platform::VersionsByService> seenLately;
  StorePosition seenLatelyRevision{ 0 };
};

/// Reads from the store which software versions serve. Questions that come during a read share the next one, so that
/// each answer is newer than its question.
class SoftwareVersionReader
{
public:
  explicit SoftwareVersionReader(Kernel& aKernel);

  /// aDone receives nothing if the store does not answer in time, or if it was restored from a copy a moment ago, which
  /// may lack versions. Calls back exactly once, not before Read() returns.
  void Read(std::function<void(std::optional<ReadVersions> const&)> aDone);

private:
  using Callback = std::function<void(std::optional<ReadVersions> const&)>;

  struct Question
  {
    Callback done;
    TimerId timeout{ 0 };
  };

  struct Answers
  {
    std::optional<Platform::ObjectList> endpoints;
    std::optional<Platform::ObjectRead> seenLately;
  };

  void BeginRead();
  void EndReadIfAnswered();
  std::optional<ReadVersions> Decode() const;
  void Answer(std::uint64_t aQuestion, std::optional<ReadVersions> const& aVersions);

  Clock& clock;
  StoreClient& store;
  std::map<std::uint64_t, Question> questions;
  std::uint64_t lastQuestion{ 0 };
  /// The questions up to this one are answered by the read in flight.
  std::uint64_t lastOfRead{ 0 };
  bool reading{ false };
  Answers answers;
  /// When the store was last found to have been restored.
  std::optional<MonotonicTime> restored;
};

}
