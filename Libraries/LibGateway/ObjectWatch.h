#pragma once

#include <platform/Platform.h>

namespace Hornbeam::Gateway {

using Platform::ObjectKind;
using Platform::StoreClient;
using Platform::StoredObject;

enum class StoreReachability
{
  Unknown,
  Reachable,
  Unreachable,
};

/// Callbacks to the owner of a watch.
struct ObjectWatchEvents
{
  /// Receives all objects of the kind, at startup, after failures and after a gap in the event history.
  std::function<void(std::vector<StoredObject>)> onList;
  std::function<void(StoredObject)> onChanged;
  std::function<void(StoredObject)> onRemoved;
  std::function<void(StoreReachability)> onReachabilityChange;
  /// Called after a failed call; returns the delay before the next one.
  std::function<Duration()> onFailure;
  std::function<void()> onResponse;
};

/// Tracks all objects of one kind in the store: lists them once and then long-polls for changes.
class ObjectWatch
{
public:
  ObjectWatch(StoreClient& aStore, Clock& aClock, ObjectKind aKind, ObjectWatchEvents aEvents);
  ObjectWatch(ObjectWatch const&) = delete;
  ObjectWatch& operator=(ObjectWatch const&) = delete;

  void Start() { this->List(); }

  /// Retries immediately if a retry after a failure is pending.
  void RetryNow();

  StoreReachability Reachability() const { return this->reachability; }

  /// Records that one of this front's watches was disconnected: the store may be about to drop its event history.
  void NoteDisconnect() { this->lastDisconnectTime = this->clock.Now(); }

  /// The time of the store's last successful response to this watch.
  MonotonicTime LastResponseTime() const { return this->lastResponseTime; }

private:
  void List();
  void Watch();
  void OnEvents(Platform::ObjectEvents aResponse);
  void SetReachability(StoreReachability aReachability);
  void OnResponse();
  void OnFailure(std::string_view aCall, Platform::StoreOutcome aOutcome);

  StoreClient& store;
  Clock& clock;
  ObjectKind kind;
  ObjectWatchEvents events;
  StoreReachability reachability{ StoreReachability::Unknown };
  MonotonicTime lastResponseTime{};
  MonotonicTime lastDisconnectTime{};
  std::uint64_t revision{ 0 };
  /// Set while a retry after a failure is pending.
  std::optional<TimerId> retryTimer;
};

}
