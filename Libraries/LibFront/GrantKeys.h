#pragma once

#include <LibMembership/LibMembership.h>
#include <string>
#include <string_view>

namespace Hornbeam {

/// The keys of grants: "endpoint/NAME" and "account/NAME".
inline constexpr std::string_view kEndpointPrefix = "endpoint/";
inline constexpr std::string_view kAccountPrefix = "account/";

inline std::string
EndpointKey(std::string const& aEndpoint)
{
  return std::string(kEndpointPrefix) + aEndpoint;
}

inline std::string
AccountKey(std::string const& aAccount)
{
  return std::string(kAccountPrefix) + aAccount;
}

inline bool
IsAccountKey(std::string_view aKey)
{
  return aKey.starts_with(kAccountPrefix);
}

inline std::string
NameFromKey(std::string const& aKey)
{
  return aKey.substr(aKey.find('/') + 1);
}

/// The name under which a member holds grants. It includes the incarnation, so a restarted process is another holder.
inline std::string
HolderName(Member const& aMember)
{
  return aMember.name + "." + std::to_string(aMember.incarnation);
}

}
