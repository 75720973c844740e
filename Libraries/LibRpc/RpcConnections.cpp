#include "RpcConnections.h"
#include <algorithm>
#include <string_view>

namespace Hornbeam {

/// Bounds the memory of the log; beyond it, methods may be logged again.
static constexpr std::size_t kMaxUnknownMethods = 1024;
static constexpr std::size_t kMaxDescriptionBytes = 256;

CallFailure
ClassifyFailure(kj::Exception const& aException)
{
  switch (aException.getType()) {
    case kj::Exception::Type::FAILED:
    case kj::Exception::Type::UNIMPLEMENTED:
      return CallFailure::Rejected;
    case kj::Exception::Type::OVERLOADED:
      // KJ's timers use this type for a call that took too long.
      return CallFailure::Late;
    case kj::Exception::Type::DISCONNECTED:
      return CallFailure::Disconnected;
  }
  return CallFailure::Disconnected;
}

static std::string_view
ToString(CallFailure aFailure)
{
  switch (aFailure) {
    case CallFailure::Rejected:
      return "rejected";
    case CallFailure::Late:
      return "late";
    case CallFailure::Disconnected:
      return "disconnected";
  }
  VerifyNotReached();
}

std::string
DescribeFailure(kj::Exception const& aException)
{
  auto const whole = aException.getDescription();
  std::string description(whole.cStr(), std::min(whole.size(), kMaxDescriptionBytes));
  // A line end would begin another line of the log, and a quote would end the field.
  std::ranges::replace_if(
    description, [](unsigned char aByte) { return aByte < ' ' || aByte == 0x7f || aByte == '"'; }, ' ');
  return description;
}

void
FailedCallLog::Add(std::string const& aAddress, kj::Exception const& aException, CallReceipt const& aReceipt)
{
  auto const reason = DescribeFailure(aException);
  if (aException.getType() == kj::Exception::Type::UNIMPLEMENTED) {
    if (this->unknownMethods.size() >= kMaxUnknownMethods)
      this->unknownMethods.clear();
    if (this->unknownMethods.insert(aAddress + ' ' + reason).second)
      PART_LOG("peers") << "event=method-unknown address=" << aAddress << " reason=\"" << reason << "\"";
    return;
  }
  PART_WARNING("peers") << "event=call-failed address=" << aAddress
                        << " outcome=" << ToString(ClassifyFailure(aException)) << " reason=\"" << reason
                        << "\" received_bytes=" << aReceipt.bytes << " silence_ms="
                        << (aReceipt.silence ? std::to_string(Milliseconds(*aReceipt.silence)) : "none");
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
