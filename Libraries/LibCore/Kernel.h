#pragma once

#include "Verify.h"
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <typeindex>

namespace Hornbeam {

/// The registry of the micro-kernel architecture: services register under a name and look each other up by it. It
/// contains no policy.
class Kernel
{
public:
  /// Registers a service, which must outlive all users of the kernel. Each name can be registered once. A service that
  /// is registered as const must be looked up as const.
  template<typename Service>
  void Provide(std::string const& aName, Service& aService)
  {
    Entry const entry{ const_cast<std::remove_const_t<Service>*>(&aService), typeid(Service const*) };
    auto const inserted = this->services.emplace(aName, entry).second;
    VERIFY(inserted) << "service " << aName << " is registered twice";
  }

  /// Returns the service with this name. A missing service or a type mismatch is a programming error and aborts the
  /// process.
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
