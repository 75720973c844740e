#pragma once

#include <LibStore/LibStore.h>
#include <map>

namespace Hornbeam {

enum class StoreFault
{
  None,
  Down,
  /// Writes take effect, but their responses are lost.
  LoseWriteResponses,
};

/// An in-memory fake of the platform's store, on the world's clock.
class FakeStore
{
public:
  explicit FakeStore(Clock& aClock);

  void SetFault(StoreFault aFault) { this->fault = aFault; }
  void SetDelay(Duration aDelay) { this->delay = aDelay; }
  void SetVms(std::vector<VmEntry> aVms) { this->vms = std::move(aVms); }

  void Read(std::string const& aKey, StoreCallback aDone);
  void Write(std::string const& aKey, std::string aValue, StoreVersion aExpected, StoreCallback aDone);
  void Watch(std::string const& aKey, StoreVersion aKnown, StoreCallback aDone);
  void ListVms(std::function<void(VmListResponse)> aDone);

  /// Responds with StoreStatus::Unknown after the caller's timeout.
  void TimeOut(StoreCallback aDone);

  std::uint64_t Calls() const { return this->calls; }

private:
  struct Object
  {
    StoreVersion version{ 0 };
    std::string value;
  };
  struct Waiting
  {
    std::uint64_t id{ 0 };
    StoreCallback done;
  };

  StoreResponse ResponseFor(std::string const& aKey) const;

  Clock& clock;
  StoreFault fault{ StoreFault::None };
  Duration delay{ 1ms };
  std::map<std::string, Object> objects;
  std::map<std::string, std::vector<Waiting>> watches;
  std::vector<VmEntry> vms;
  StoreVersion lastVersion{ 0 };
  std::uint64_t lastWatch{ 0 };
  std::uint64_t calls{ 0 };
};

}
