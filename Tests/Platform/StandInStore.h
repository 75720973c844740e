#pragma once

#include "StandInTarget.h"
#include <LibExchange/LibExchange.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Hornbeam::Testing {

/// The behaviour of the stand-in store.
enum class StoreBehavior
{
  Healthy,
  /// Responds to every call with 503.
  Refusing,
  /// Resets the connection of every call.
  Resetting,
  /// Never responds.
  Silent,
};

/// What gets lost of the answers of waiting watches, on connections that stay open.
enum class LostAnswer
{
  None,
  Whole,
  AfterHead,
  InsideBody,
};

/// What happens to the watches that wait while the store is restored.
enum class WaitingWatches
{
  Cut,
  /// They stay open, and start at a revision that the store does not have any more.
  Kept,
};

/// A stand-in for the platform's store, with object revisions, paged lists, watches and conditional writes.
class StandInStore
{
public:
  StandInStore(uv_loop_t& aLoop, Clock& aClock, std::string aAddress);

  std::string const& Address() const { return this->address; }

  /// Writes or removes an object as an operator or endpoint does, and notifies the watches.
  void Put(std::string const& aKind, std::string const& aName, nlohmann::json aSpec);
  void Remove(std::string const& aKind, std::string const& aName);
  bool Has(std::string const& aKind, std::string const& aName) const;

  /// The status of an object; null if there is none.
  nlohmann::json StatusOf(std::string const& aKind, std::string const& aName) const;

  std::size_t Count(std::string const& aKind) const;
  /// The number of objects of a kind with that spec.
  std::size_t CountSpecs(std::string const& aKind, nlohmann::json const& aSpec) const;

  /// Disconnects the watches, writes an object and drops its event. The store reports the gap in the history only after
  /// a short delay, so watches that start before that miss the change.
  void PutInHistoryGap(std::string const& aKind, std::string const& aName, nlohmann::json aSpec);

  /// Disconnects the watches and, after aDelay, writes an object that is not reported to watches and drops the history.
  void PutAfterDisconnect(std::string const& aKind, std::string const& aName, nlohmann::json aSpec, Duration aDelay);

  void CutWatches();
  void DropHistory();

  /// Keeps a copy of the objects, from which the store can be restored.
  void TakeCopy();

  /// Writes again what operators and endpoints last wrote or removed, where it is gone.
  void WriteAgain();

  /// Returns to the copy: all later writes are gone, and their revisions are given out again in a new era.
  void Restore(WaitingWatches aWatches = WaitingWatches::Cut);

  StoreBehavior behavior{ StoreBehavior::Healthy };
  LostAnswer lostAnswer{ LostAnswer::None };
  /// The number of next writes that are applied but whose response is lost.
  unsigned responsesToLose{ 0 };
  std::size_t pageSize{ 50 };
  /// Whether watches get an answer without events at once instead of waiting for one.
  bool answersWatchesAtOnce{ false };
  /// The status with which all watches are refused; zero while they are not.
  unsigned watchStatus{ 0 };
  /// A kind whose calls the store refuses with unknownKindStatus; empty for none.
  std::string unknownKind;
  unsigned unknownKindStatus{ 404 };
  /// Replaces the text "@raw@" in answers, for values that other writers may store and this stand-in cannot hold.
  std::string rawValue;
  std::uint64_t calls{ 0 };
  /// The number of lists of each kind.
  std::map<std::string, std::uint64_t> lists;
  /// The number of calls that created an object.
  unsigned creations{ 0 };
  /// The value of the era header; an empty one is not sent.
  std::string era{ "1" };
  /// The number of times that the status of an object was replaced.
  unsigned statusWrites{ 0 };
  /// The number of objects removed through calls.
  unsigned removals{ 0 };
  /// The number of writes answered with a conflict.
  unsigned conflicts{ 0 };
  /// A kind whose writes all meet a conflict, if the object exists, whatever revision they name; empty for none.
  std::string conflictingKind;

private:
  struct Object
  {
    nlohmann::json spec;
    std::uint64_t revision{ 0 };
    nlohmann::json status;
  };
  struct Event
  {
    std::string kind;
    nlohmann::json object;
    bool removed{ false };
    std::uint64_t revision{ 0 };
  };
  struct PendingWatch
  {
    std::shared_ptr<Gateway::Exchange> exchange;
    std::string kind;
    std::uint64_t since{ 0 };
  };

  struct State
  {
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Event> history;
    std::uint64_t revision{ 1 };
    std::uint64_t historyFrom{ 0 };
  };

  void Respond(Gateway::Exchange& aExchange, unsigned aStatus, nlohmann::json const& aBody) const;
  void Handle(std::shared_ptr<Gateway::Exchange> const& aExchange);
  /// Responds to a watch, as far as the answer does not get lost.
  void RespondToWatch(std::shared_ptr<Gateway::Exchange> const& aExchange, nlohmann::json const& aBody);
  void HandleGet(Gateway::Exchange& aExchange, std::string const& aKind, std::string const& aName);
  void HandleList(Gateway::Exchange& aExchange, std::string const& aKind, std::string const& aAfter);
  void HandleWatch(std::shared_ptr<Gateway::Exchange> const& aExchange,
                   std::string const& aKind,
                   std::uint64_t aSince,
                   Duration aWait);
  void HandleWrite(Gateway::Exchange& aExchange, StandInTarget const& aTarget);
  void HandleStatusWrite(Gateway::Exchange& aExchange, std::string const& aKind, std::string const& aName);
  bool TryCompleteWatch(PendingWatch const& aWatch);
  void NotifyWatches();
  void Change(std::string const& aKind, std::string const& aName, nlohmann::json aSpec);
  void Erase(std::string const& aKind, std::string const& aName);
  static nlohmann::json ToDocument(std::string const& aName, Object const& aObject);

  Clock& clock;
  std::string address;
  Gateway::HttpListener entry;
  State state;
  State copy;
  /// What operators and endpoints wrote last; nothing if they removed it.
  std::map<std::string, std::map<std::string, std::optional<nlohmann::json>>> written;
  std::vector<PendingWatch> pendingWatches;
  /// Kept open although the store has done with them.
  std::vector<std::shared_ptr<Gateway::Exchange>> abandoned;
};

}
