#include "SlowLink.h"

namespace Hornbeam::Testing {

static constexpr Duration kStep = 20ms;

namespace {

struct Link
{
  kj::Own<kj::AsyncIoStream> caller;
  kj::Own<kj::AsyncIoStream> target;
  kj::Array<kj::byte> buffer;
};

}

static kj::Promise<void>
SendSlowly(kj::Timer& aTimer, Link& aLink, bool const& aStopped)
{
  auto const pause = [&] { return aTimer.afterDelay(kStep.count() * kj::MICROSECONDS); };
  if (aStopped)
    return pause().then([&] { return SendSlowly(aTimer, aLink, aStopped); });
  return aLink.target->tryRead(aLink.buffer.begin(), 1, aLink.buffer.size())
    .then([&, pause](std::size_t aCount) -> kj::Promise<void> {
      if (aCount == 0) {
        aLink.caller->shutdownWrite();
        return kj::READY_NOW;
      }
      return aLink.caller->write(aLink.buffer.begin(), aCount).then([pause] { return pause(); }).then([&] {
        return SendSlowly(aTimer, aLink, aStopped);
      });
    });
}

SlowLink::SlowLink(EventLoop& aLoop, std::string const& aAddress, std::string aTarget, std::uint64_t aBytesPerSecond)
  : loop(aLoop)
  , target(std::move(aTarget))
  , bytesPerSecond(aBytesPerSecond)
{
  auto address = aLoop.Io().provider->getNetwork().parseAddress(aAddress).wait(aLoop.Io().waitScope);
  this->receiver = address->listen();
  this->Accept();
}

void
SlowLink::Accept()
{
  this->accepting = this->receiver->accept()
                      .then([this](kj::Own<kj::AsyncIoStream> aCaller) {
                        this->connections.add(this->Forward(kj::mv(aCaller)).eagerlyEvaluate([](kj::Exception&&) {}));
                        this->Accept();
                      })
                      .eagerlyEvaluate(nullptr);
}

kj::Promise<void>
SlowLink::Forward(kj::Own<kj::AsyncIoStream> aCaller)
{
  auto& network = this->loop.Io().provider->getNetwork();
  return network.parseAddress(this->target)
    .then([](kj::Own<kj::NetworkAddress> aAddress) {
      auto connected = aAddress->connect();
      return connected.attach(kj::mv(aAddress));
    })
    .then([this, aCaller = kj::mv(aCaller)](kj::Own<kj::AsyncIoStream> aTarget) mutable {
      auto const step = this->bytesPerSecond * std::uint64_t(kStep.count()) / 1'000'000;
      auto link = kj::heap<Link>(Link{ kj::mv(aCaller), kj::mv(aTarget), kj::heapArray<kj::byte>(step) });
      auto& forwarded = *link;
      auto toTarget =
        forwarded.caller->pumpTo(*forwarded.target).then([&](std::uint64_t) { forwarded.target->shutdownWrite(); });
      auto fromTarget = SendSlowly(this->loop.Io().provider->getTimer(), forwarded, this->stopped);
      return toTarget.exclusiveJoin(kj::mv(fromTarget)).attach(kj::mv(link));
    });
}

}
