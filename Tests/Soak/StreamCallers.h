#pragma once

#include "SoakWorld.h"
#include <random>

namespace Hornbeam::Testing {

/// A stream over all tries of its caller.
struct SoakStream
{
  std::string name;
  /// The request that brought the first event; empty until then.
  std::string begunBy;
  std::string version;
  unsigned lastEvent{ 0 };
  bool whole{ false };
  bool ended{ false };
  MonotonicTime begin{};
  std::vector<std::string> violations;
};

/// One try of a stream, as its caller receives it.
struct StreamTry
{
  std::string id;
  unsigned front{ 0 };
  Gateway::ResponseHead head;
  /// The bytes after the last whole event.
  std::string partial;
};

/// Callers of streams that keep their connections, and take a stream up again at any front when it breaks off. They
/// check that the events of a stream follow each other, come from one software version and are whole at its end.
class StreamCallers
{
public:
  StreamCallers(SoakWorld& aWorld, unsigned aSeed);

  /// Begins streams for aTime, one every aGap, then waits until all have ended or their callers have given up.
  void Load(Duration aTime, Duration aGap);

  std::vector<std::string> CheckGuarantees() const;
  void PrintCounts() const;

private:
  using StreamPointer = std::shared_ptr<SoakStream>;

  void Begin();
  void Try(StreamPointer const& aStream);
  void TryLater(StreamPointer const& aStream, Duration aDelay);
  void OnBytes(SoakStream& aStream, StreamTry& aTry, std::string_view aBytes) const;
  void OnEvent(SoakStream& aStream, StreamTry const& aTry, std::string const& aEvent) const;
  void OnEnd(StreamPointer const& aStream, StreamTry const& aTry, Gateway::CallEnd aEnd);

  SoakWorld& world;
  Gateway::ConnectionPool connections;
  std::mt19937 random;
  std::vector<StreamPointer> streams;
  unsigned tries{ 0 };
  unsigned takeUps{ 0 };
  unsigned takeUpsAnswered{ 0 };
};

}
