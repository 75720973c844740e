#pragma once

#include "Verify.h"
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <typeindex>

namespace Hornbeam {

/// The micro-kernel: services register under a name and find each other by it. It holds no policy.
class Kernel
{
public:
  /// Registers a service that outlives the kernel's users. A name can be taken once. A service registered as const is
  /// to be found as const.
  template<typename Service>
  void Provide(std::string const& aName, Service& aService)
  {
    Entry const entry{ const_cast<std::remove_const_t<Service>*>(&aService), typeid(Service const*) };
    auto const inserted = this->services.emplace(aName, entry).second;
    VERIFY(inserted) << "service " << aName << " is registered twice";
  }

  /// Returns the service with this name. A missing service or another type is a wiring mistake and stops the process.
  template<typename Service>
  Service& Find(std::string const& aName) const
  {
    auto const found = this->services.find(aName);
    VERIFY(found != this->services.end()) << "no service named " << aName;
    VERIFY(found->second.type == typeid(Service const*)) << "service " << aName << " has another type";
    return *static_cast<Service*>(found->second.service);
  }

private:
  struct Entry
  {
    void* service;
    std::type_index type;
  };
  std::map<std::string, Entry> services;
};

}
