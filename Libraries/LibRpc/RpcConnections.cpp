#include "RpcConnections.h"
#include <array>
#include <string_view>

namespace Hornbeam {

void
LogFailedCall(std::string const& aAddress, kj::Exception const& aException)
{
  // Cap'n Proto has no type of its own for a call that took too long.
  static constexpr std::array<std::string_view, 4> kOutcomes{ "failed", "late", "disconnected", "unknown-method" };
  PART_WARNING("peers") << "event=call-failed address=" << aAddress
                        << " outcome=" << kOutcomes.at(std::size_t(aException.getType())) << " reason=\""
                        << aException.getDescription().cStr() << "\"";
}

bool
ListenForRpc(EventLoop& aLoop,
             std::string const& aAddress,
             capnp::Capability::Client aInterface,
             kj::Own<kj::ConnectionReceiver>& aReceiver,
             kj::Own<capnp::TwoPartyServer>& aServer)
{
  // KJ throws when the address is already in use; this function reports failure by its return value.
  auto const failure = kj::runCatchingExceptions([&] {
    auto address = aLoop.Io().provider->getNetwork().parseAddress(aAddress).wait(aLoop.Io().waitScope);
    aReceiver = address->listen();
  });
  KJ_IF_MAYBE (exception, failure) {
    PART_WARNING("peers") << "event=cannot-listen address=" << aAddress << " reason=\""
                          << exception->getDescription().cStr() << "\"";
    return false;
  }
  aServer = kj::heap<capnp::TwoPartyServer>(kj::mv(aInterface));
  return true;
}

}
