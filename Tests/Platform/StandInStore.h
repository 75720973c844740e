#pragma once

#include <LibExchange/LibExchange.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Hornbeam::Testing {

/// How the stand-in for the platform's store behaves.
enum class StoreBehavior
{
  Healthy,
  /// Every call gets 503.
  Refusing,
  /// Every call's connection is reset.
  Resetting,
  /// No call is answered.
  Silent,
};

/// A stand-in for the platform's store: objects with revisions, lists in pages, watches, conditional writes.
class StandInStore
{
public:
  StandInStore(uv_loop_t& aLoop, Clock& aClock, std::string aAddress);

  std::string const& Address() const { return this->address; }

  /// What the operator and the endpoints do.
  void Put(std::string const& aKind, std::string const& aName, nlohmann::json aSpec);
  void Remove(std::string const& aKind, std::string const& aName);
  bool Has(std::string const& aKind, std::string const& aName) const;

  /// Puts an object without waking the watches, then forgets all history and, a moment later, resets waiting watches.
  void PutInGap(std::string const& aKind, std::string const& aName, nlohmann::json aSpec);

  /// Cuts the watches; only then puts an object that no watch hears of, and forgets all history.
  void PutAfterCut(std::string const& aKind, std::string const& aName, nlohmann::json aSpec, Duration aDelay);

  void CutWatches();
  void DropHistory();

  StoreBehavior behavior{ StoreBehavior::Healthy };
  /// Writes that are done and whose answer is lost.
  unsigned responsesToLose{ 0 };
  std::size_t pageSize{ 50 };
  std::uint64_t calls{ 0 };
  /// Objects removed by callers.
  unsigned removals{ 0 };

private:
  struct Object
  {
    nlohmann::json spec;
    std::uint64_t revision{ 0 };
  };
  struct Event
  {
    std::string kind;
    nlohmann::json object;
    bool removed{ false };
    std::uint64_t revision{ 0 };
  };
  struct Waiting
  {
    std::shared_ptr<Gateway::Exchange> exchange;
    std::string kind;
    std::uint64_t since{ 0 };
  };

  void Handle(std::shared_ptr<Gateway::Exchange> const& aExchange);
  void HandleList(Gateway::Exchange& aExchange, std::string const& aKind, std::string const& aAfter);
  void HandleWatch(std::shared_ptr<Gateway::Exchange> const& aExchange,
                   std::string const& aKind,
                   std::uint64_t aSince,
                   Duration aWait);
  void HandleWrite(Gateway::Exchange& aExchange, std::string const& aKind, std::string const& aName);
  bool AnswerWatch(Waiting const& aWaiting);
  void WakeWatches();
  void Change(std::string const& aKind, std::string const& aName, nlohmann::json aSpec);
  void Erase(std::string const& aKind, std::string const& aName);
  static nlohmann::json Whole(std::string const& aName, Object const& aObject);

  Clock& clock;
  std::string address;
  Gateway::HttpListener entry;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::vector<Event> history;
  std::vector<Waiting> waiting;
  std::uint64_t revision{ 1 };
  std::uint64_t historyFrom{ 0 };
};

}
