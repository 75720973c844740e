#pragma once

#include "PipelineResponse.h"
#include <LibMembership/LibMembership.h>

namespace Hornbeam {

/// The key of a non-repeatable request: a prefix issued by one front, and a part chosen by the caller. The request runs
/// only on the front and incarnation named in the prefix.
struct IdempotencyKey
{
  std::string front;
  Incarnation incarnation{ 0 };
  /// By the named front's clock: a key that is first seen after this time is refused.
  WallTime expiresAt{};
  std::string callerPart;
};

/// Encodes a prefix such as "front-1~1764800000000~5400000". A complete key adds "~" and the caller's part.
std::string
EncodeKeyPrefix(std::string const& aFront, Incarnation aIncarnation, WallTime aExpiresAt);

std::optional<IdempotencyKey>
ParseIdempotencyKey(std::string const& aText, LastReason& aReason);

/// How the front named in the key handles a request with that key.
enum class KeyVerdict
{
  /// The key is new: run the request.
  Run,
  /// The same request is running: wait for its response.
  Join,
  /// The same request has ended: return its stored response.
  Replay,
  /// The key is unknown and has expired: whether its request ran is no longer known.
  Expired,
  /// The key was used for a request with different contents.
  Reused,
};

struct KeyEntry
{
  std::uint64_t fingerprint{ 0 };
  RequestId request{ 0 };
  std::optional<PipelineResponse> response;
  WallTime evictAt{};
};

/// The keys that one incarnation has seen, in memory. Keys are evicted only after they have expired, so an evicted key
/// is never run again.
struct KeyLedger
{
  std::map<std::string, KeyEntry> entries;
  std::map<WallTime, std::vector<std::string>> evictionOrder;
};

struct KeyLookup
{
  KeyVerdict verdict{ KeyVerdict::Run };
  /// The request to run, or the running request to wait for.
  RequestId request{ 0 };
  std::optional<PipelineResponse> response;
};

/// Looks up the key. A new key is recorded as running under aRequest.
KeyLookup
ClaimKey(KeyLedger& aLedger,
         std::string const& aText,
         IdempotencyKey const& aKey,
         std::uint64_t aFingerprint,
         RequestId aRequest,
         WallTime aNow);

/// Stores the response for the key. If the request certainly did not run, removes the key so that it can be retried.
void
CompleteKey(KeyLedger& aLedger, std::string const& aText, PipelineResponse const& aResponse);

/// Removes keys whose eviction time has passed.
void
EvictKeys(KeyLedger& aLedger, WallTime aNow);

}
