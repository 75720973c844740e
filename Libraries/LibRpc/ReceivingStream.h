#pragma once

#include <LibCore/LibCore.h>
#include <kj/async-io.h>

namespace Hornbeam {

/// What has arrived on a connection.
struct ReceivedBytes
{
  std::uint64_t count{ 0 };
  /// When the last bytes arrived.
  MonotonicTime lastAt{};
  /// Whether the reader waits for the rest of a message of which a part has arrived.
  bool partial{ false };
};

/// A stream that records what arrives on it, also while a reader waits for the rest of a message.
class ReceivingStream final : public kj::AsyncIoStream
{
public:
  ReceivingStream(kj::Own<kj::AsyncIoStream> aInner, Clock& aClock);

  ReceivedBytes const& Received() const { return this->received; }

  // kj::AsyncIoStream
  kj::Promise<std::size_t> tryRead(void* aBuffer, std::size_t aMinBytes, std::size_t aMaxBytes) override;
  kj::Promise<void> write(void const* aBuffer, std::size_t aSize) override;
  kj::Promise<void> write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;
  void getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aLength) override;
  void setsockopt(int aLevel, int aOption, void const* aValue, kj::uint aLength) override;

private:
  kj::Promise<std::size_t> ReadRest(kj::byte* aBuffer, std::size_t aRead, std::size_t aMinBytes, std::size_t aMaxBytes);

  kj::Own<kj::AsyncIoStream> inner;
  Clock& clock;
  ReceivedBytes received;
};

}
