#include "ReceivingStream.h"

namespace Hornbeam {

ReceivingStream::ReceivingStream(kj::Own<kj::AsyncIoStream> aInner, Clock& aClock)
  : inner(kj::mv(aInner))
  , clock(aClock)
{
}

kj::Promise<std::size_t>
ReceivingStream::ReadRest(kj::byte* aBuffer, std::size_t aRead, std::size_t aMinBytes, std::size_t aMaxBytes)
{
  // KJ's own stream reports nothing until it has read aMinBytes.
  return this->inner->tryRead(aBuffer + aRead, 1, aMaxBytes - aRead)
    .then([this, aBuffer, aRead, aMinBytes, aMaxBytes](std::size_t aCount) -> kj::Promise<std::size_t> {
      auto const read = aRead + aCount;
      if (aCount == 0)
        return read;
      this->received.count += aCount;
      this->received.lastAt = this->clock.Now();
      this->received.partial = read < aMinBytes;
      if (!this->received.partial)
        return read;
      return this->ReadRest(aBuffer, read, aMinBytes, aMaxBytes);
    });
}

kj::Promise<std::size_t>
ReceivingStream::tryRead(void* aBuffer, std::size_t aMinBytes, std::size_t aMaxBytes)
{
  if (aMinBytes == 0)
    return this->inner->tryRead(aBuffer, 0, aMaxBytes);
  return this->ReadRest(static_cast<kj::byte*>(aBuffer), 0, aMinBytes, aMaxBytes);
}

kj::Promise<void>
ReceivingStream::write(void const* aBuffer, std::size_t aSize)
{
  return this->inner->write(aBuffer, aSize);
}

kj::Promise<void>
ReceivingStream::write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> aPieces)
{
  return this->inner->write(aPieces);
}

kj::Promise<void>
ReceivingStream::whenWriteDisconnected()
{
  return this->inner->whenWriteDisconnected();
}

void
ReceivingStream::shutdownWrite()
{
  this->inner->shutdownWrite();
}

void
ReceivingStream::abortRead()
{
  this->inner->abortRead();
}

void
ReceivingStream::getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aLength)
{
  this->inner->getsockopt(aLevel, aOption, aValue, aLength);
}

void
ReceivingStream::setsockopt(int aLevel, int aOption, void const* aValue, kj::uint aLength)
{
  this->inner->setsockopt(aLevel, aOption, aValue, aLength);
}

}
