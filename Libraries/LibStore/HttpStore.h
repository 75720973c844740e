#pragma once

#include "CallBudget.h"
#include "StorePort.h"
#include "VersionHistory.h"
#include <LibHttp/LibHttp.h>

namespace Hornbeam {

/// The address of the platform's store, call timeouts and rate limit.
struct HttpStoreSettings
{
  std::string address;
  Duration callTimeout{ 1s };
  Duration watchTimeout{ 10s };
  double callsPerSecond{ 20 };
};

/// HTTP client for the platform's object API, limited by a CallBudget.
class HttpStore
{
public:
  HttpStore(HttpClient& aClient, Clock& aClock, HttpStoreSettings aSettings);

  StorePort Port();
  StoreUsage const& Usage() const { return this->usage; }

private:
  void Call(HttpCall aCall, std::uint64_t& aCounter, StoreCallback aDone);
  /// Passes on responses about an object, unless the object went back.
  StoreCallback CheckVersion(std::string const& aKey, StoreCallback aDone);

  HttpClient& client;
  Clock& clock;
  HttpStoreSettings settings;
  CallBudget budget;
  StoreUsage usage;
  VersionHistory versions;
};

}
