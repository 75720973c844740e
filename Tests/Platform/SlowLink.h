#pragma once

#include <LibRpc/LibRpc.h>

namespace Hornbeam::Testing {

/// Forwards connections to another address. What the target sends arrives at a limited rate.
class SlowLink
{
public:
  SlowLink(EventLoop& aLoop, std::string const& aAddress, std::string aTarget, std::uint64_t aBytesPerSecond);

  /// Set while nothing that the target sends arrives.
  bool stopped{ false };

private:
  void Accept();
  kj::Promise<void> Forward(kj::Own<kj::AsyncIoStream> aCaller);

  EventLoop& loop;
  std::string target;
  std::uint64_t bytesPerSecond;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> accepting{ nullptr };
  kj::Vector<kj::Promise<void>> connections;
};

}
