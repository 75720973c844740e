#include "ProxiedRequest.h"
#include "RequestLimits.h"

namespace Hornbeam::Gateway {

/// Retry-After if the origin of a stream is not known. Its record may still be on its way to the keeper.
static constexpr Duration kRetryAfterUnknownOrigin = 1s;
/// Retry-After if no endpoint has the stream's software version. One that crashed may return.
static constexpr Duration kRetryAfterVersionGone = 3s;

static constexpr std::size_t kMaxLoggedId = 64;

bool
ProxiedRequest::TakesStreamUp() const
{
  return this->route.kind == RequestKind::Streaming &&
         (this->metadata.hasEvents || !this->metadata.resumedRequest.empty());
}

void
ProxiedRequest::FindStreamOrigin()
{
  auto const requester = RequesterOf(this->account.name, this->exchange->Request().target);
  this->proxy.streamOrigins.Find(
    { this->metadata.resumedRequest, this->serviceName, requester },
    this->Callback([](ProxiedRequest& aRequest, FoundOrigin const& aFound) { aRequest.OnStreamOrigin(aFound); }));
}

void
ProxiedRequest::OnStreamOrigin(FoundOrigin const& aFound)
{
  if (this->ended)
    return;
  auto const version = aFound.origin ? aFound.origin->softwareVersion : "";
  PART_LOG("request") << "id=" << this->metadata.requestId
                      << " decision=take-up resumes=" << this->metadata.resumedRequest.substr(0, kMaxLoggedId)
                      << " source=" << aFound.source << " software=" << version;
  this->proxy.metrics.CountTakeUp(aFound.source);
  if (!aFound.origin) {
    this->Refuse("stream-origin-unknown", kRetryAfterUnknownOrigin);
    return;
  }
  auto const& origin = *aFound.origin;
  bool const allowed =
    std::ranges::any_of(this->route.services, [&](auto const& aChoice) { return aChoice.service == origin.service; });
  this->serviceName = origin.service;
  this->streamVersion = origin.softwareVersion;
  if (!allowed || !HasUntriedEndpoint(this->proxy.stateCache.MakeSelectionView(), this->MakeQuery())) {
    this->Refuse("stream-version-gone", kRetryAfterVersionGone);
    return;
  }
  this->StartWork();
}

void
ProxiedRequest::OnFirstEvent()
{
  this->streamVersion = this->attempt.softwareVersion;
  if (!this->route.resumable)
    return;
  auto const requester = RequesterOf(this->account.name, this->exchange->Request().target);
  this->proxy.streamOrigins.OnStreamBegun(
    { this->metadata.requestId, { this->serviceName, this->attempt.softwareVersion, requester } });
}

}
