#pragma once

#include <platform/Platform.h>

namespace Hornbeam::Gateway {

using Platform::ObjectKind;
using Platform::StoreClient;
using Platform::StoredObject;
using Platform::StorePosition;

enum class StoreReachability
{
  Unknown,
  Reachable,
  Unreachable,
};

/// Callbacks to the owner of a watch.
struct ObjectWatchEvents
{
  /// Receives all objects of the kind and their revision, at startup, after failures, after a gap in the event history
  /// and when the watch is resumed.
  std::function<void(std::vector<StoredObject> const&, StorePosition aRevision)> onList;
  /// Receives changes between two revisions of the store.
  std::function<void(std::vector<Platform::ObjectEvent> const&, StorePosition aFrom, StorePosition aTo)> onEvents;
  /// Called when the store becomes unreachable, and when it is reachable again after that.
  std::function<void(StoreReachability)> onReachabilityChange;
  /// Called after a failed call; returns the delay before the next one.
  std::function<Duration()> onFailure;
  std::function<void()> onResponse;
  /// Called when all changes up to a later revision than before are known from the store's answers.
  std::function<void()> onKnown;
};

/// Tracks all objects of one kind in the store: lists them once and then, while watching is enabled, long-polls for
/// changes.
class ObjectWatch
{
public:
  ObjectWatch(StoreClient& aStore, Clock& aClock, ObjectKind aKind, ObjectWatchEvents aEvents);
  ObjectWatch(ObjectWatch const&) = delete;
  ObjectWatch& operator=(ObjectWatch const&) = delete;

  void Start() { this->List(); }

  /// Enables or disables the long polls. Disabling also stops retries, but not before the first list.
  void SetWatching(bool aWatching);

  /// Retries immediately if a retry after a failure is pending.
  void RetryNow();

  /// Lists all objects again if the last list is of another era. A watch that waits on a revision of a former era gets
  /// events that do not connect to it, or none.
  void ListInEra(std::uint64_t aEra);

  /// Lists all objects, unless all changes up to a revision are known or the answer to a pending list will tell them.
  /// The long poll that waits may be lost.
  void Verify(StorePosition aRevision);

  /// Lists all objects if a long poll waits that was sent before a time. The store may not have heard it.
  void ListIfWaitingSince(MonotonicTime aTime);

  /// Records that a call of this kind outside the watch failed.
  void NoteFailure(std::string_view aCall, Platform::StoreOutcome aOutcome);

  /// Records that a complete list outside the watch told all changes up to a revision.
  void NoteList(StorePosition aRevision);

  /// Up to which revision the store's answers have told all changes.
  StorePosition Known() const { return this->known; }

  /// Whether a long poll is waiting, as opposed to a list or a retry.
  bool IsWaiting() const { return this->waiting; }

  StoreReachability Reachability() const { return this->reachability; }

  /// Records that one of this front's watches was disconnected: the store may be about to drop its event history.
  void NoteDisconnect() { this->lastDisconnectTime = this->clock.Now(); }

  /// The time of the store's last successful response to this watch.
  MonotonicTime LastResponseTime() const { return this->lastResponseTime; }

private:
  bool IsCurrentCall(std::uint64_t aCall) const { return aCall == this->currentCall; }
  void List();
  /// Lists all objects, but not within a short time of the list before, however often calls fail or succeed.
  void ListAfterPause();
  void Watch();
  void WatchAfter(Duration aDelay);
  void OnEvents(Platform::ObjectEvents aResponse);
  void SetKnown(StorePosition aRevision);
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
  MonotonicTime listSentAt{};
  /// When the last long poll was sent.
  MonotonicTime watchSentAt{};
  /// Zero until the first list.
  StorePosition revision{ 0 };
  StorePosition known{ 0 };
  bool watching{ true };
  /// Set while a long poll is in flight.
  bool waiting{ false };
  /// Set while a call, a retry or the next long poll is pending.
  bool active{ false };
  /// Set while a list is in flight.
  bool listing{ false };
  /// Identifies the call in flight; responses to earlier calls are ignored.
  std::uint64_t currentCall{ 0 };
  /// Set while a retry after a failure is pending.
  std::optional<TimerId> retryTimer;
};

}
