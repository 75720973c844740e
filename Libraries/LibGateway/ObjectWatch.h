#pragma once

#include <platform/Platform.h>

namespace Hornbeam::Gateway {

using Platform::ObjectKind;
using Platform::StoreClient;
using Platform::StoredObject;

enum class StoreReach
{
  Unknown,
  Reached,
  Lost,
};

/// What the owner of a watch is told.
struct ObjectWatchEvents
{
  /// All objects of the kind, after the start and after a gap in the history.
  std::function<void(std::vector<StoredObject>)> onList;
  std::function<void(StoredObject)> onChanged;
  std::function<void(StoredObject)> onRemoved;
  std::function<void(StoreReach)> onReach;
  /// A call failed; the time until the next one.
  std::function<Duration()> onFailure;
  std::function<void()> onAnswer;
};

/// Follows all objects of one kind: one list, then one long watch after the other.
class ObjectWatch
{
public:
  ObjectWatch(StoreClient& aStore, Clock& aClock, ObjectKind aKind, ObjectWatchEvents aEvents);
  ObjectWatch(ObjectWatch const&) = delete;
  ObjectWatch& operator=(ObjectWatch const&) = delete;

  void Start() { this->List(); }

  /// Asks at once if it waits after a failure.
  void Resume();

  StoreReach Reach() const { return this->reach; }

  /// A watch of this front was cut: the store may be about to drop its history.
  void NoteCut() { this->cutAt = this->clock.Now(); }

  /// When the store last answered this watch.
  MonotonicTime HeardAt() const { return this->heardAt; }

private:
  void List();
  void Watch();
  void OnEvents(Platform::ObjectEvents aAnswer);
  void SetReach(StoreReach aReach);
  void OnAnswer();
  void OnFailure(std::string_view aCall, Platform::StoreOutcome aOutcome);

  StoreClient& store;
  Clock& clock;
  ObjectKind kind;
  ObjectWatchEvents events;
  StoreReach reach{ StoreReach::Unknown };
  MonotonicTime heardAt{};
  MonotonicTime cutAt{};
  std::uint64_t revision{ 0 };
  /// Set while it waits after a failure.
  std::optional<TimerId> retryTimer;
};

}
