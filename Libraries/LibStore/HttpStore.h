#pragma once

#include "CallBudget.h"
#include "StorePort.h"
#include <LibHttp/LibHttp.h>

namespace Hornbeam {

/// Where the platform's store is and how long one call may take.
struct HttpStoreSettings
{
  std::string address;
  Duration callTimeout{ 1s };
  Duration watchTimeout{ 10s };
  double callsPerSecond{ 20 };
};

/// The platform's object API over HTTP, within a call budget.
class HttpStore
{
public:
  HttpStore(HttpClient& aClient, Clock& aClock, HttpStoreSettings aSettings);

  StorePort Port();
  StoreUsage const& Usage() const { return this->usage; }

private:
  void Call(HttpCall aCall, std::uint64_t& aCounter, StoreCallback aDone);

  HttpClient& client;
  Clock& clock;
  HttpStoreSettings settings;
  CallBudget budget;
  StoreUsage usage;
};

}
