#include "ServingTable.h"

namespace Hornbeam::Gateway {

Route const*
MatchRoute(ServingTable const& aTable, std::string const& aHost, std::string_view aTarget)
{
  auto const found = aTable.routes.find(aHost);
  if (found == aTable.routes.end())
    return nullptr;
  auto const path = aTarget.substr(0, aTarget.find('?'));
  for (auto const& route : found->second)
    if (path.starts_with(route.pathPrefix))
      return &route;
  return nullptr;
}

KeyCheck
CheckKey(ServingTable const& aTable, Route const& aRoute, std::string const& aKey)
{
  bool const needed = aRoute.needsKey && aTable.accountsByKey;
  if (aTable.accountsByKey) {
    auto const found = aTable.accountsByKey->find(aKey);
    if (found != aTable.accountsByKey->end())
      return { KeyVerdict::Granted, found->second };
  }
  return { needed ? KeyVerdict::Unknown : KeyVerdict::NotNeeded, {} };
}

std::string const&
PickService(Route const& aRoute, double aDraw)
{
  double total = 0;
  for (auto const& choice : aRoute.services)
    total += choice.weight;
  double remaining = aDraw * total;
  for (auto const& choice : aRoute.services) {
    remaining -= choice.weight;
    if (remaining < 0 && choice.weight > 0)
      return choice.service;
  }
  return aRoute.services.back().service;
}

ServiceRule const&
RuleOf(ServingTable const& aTable, std::string const& aService)
{
  static ServiceRule const unknown;
  auto const found = aTable.services.find(aService);
  return found == aTable.services.end() ? unknown : found->second;
}

}
