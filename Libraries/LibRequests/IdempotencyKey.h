#pragma once

#include "Answer.h"
#include <LibMembership/LibMembership.h>

namespace Hornbeam {

/// The key of a non-repeatable request: a prefix that one front issued, and a part that the caller chose. The request
/// runs only at the incarnation that the prefix names.
struct IdempotencyKey
{
  std::string front;
  Incarnation incarnation{ 0 };
  /// On the named front's clock: first sight of the key after this time is refused.
  WallTime expiresAt{};
  std::string callerPart;
};

/// "front-1~1764800000000~5400000", followed by "~" and the caller's part in a whole key.
std::string
EncodeKeyPrefix(std::string const& aFront, Incarnation aIncarnation, WallTime aExpiresAt);

std::optional<IdempotencyKey>
ParseIdempotencyKey(std::string const& aText, LastReason& aReason);

/// What becomes of a request with a key at the front that the key names.
enum class KeyVerdict
{
  /// First sight: run it.
  Run,
  /// The same request is running: wait for its answer.
  Join,
  /// The same request has ended: give its answer again.
  Replay,
  /// First sight after the key's expiry: whether it ran is no longer known.
  Expired,
  /// The key was used for a request with other contents.
  Reused,
};

struct KeyEntry
{
  std::uint64_t fingerprint{ 0 };
  RequestId request{ 0 };
  std::optional<Answer> answer;
  WallTime forgetAt{};
};

/// The keys that one incarnation has seen, in memory. Forgotten keys are past their expiry, so they never run again.
struct KeyLedger
{
  std::map<std::string, KeyEntry> entries;
  std::map<WallTime, std::vector<std::string>> forgetOrder;
};

struct KeyLookup
{
  KeyVerdict verdict{ KeyVerdict::Run };
  /// The running request to wait for.
  RequestId request{ 0 };
  std::optional<Answer> answer;
};

/// Looks the key up and, on first sight, enters it as running under aRequest.
KeyLookup
ClaimKey(KeyLedger& aLedger,
         std::string const& aText,
         IdempotencyKey const& aKey,
         std::uint64_t aFingerprint,
         RequestId aRequest,
         WallTime aNow);

/// Records how the request ended. A request that certainly did not run gives its key free for another try.
void
SettleKey(KeyLedger& aLedger, std::string const& aText, Answer const& aAnswer);

/// Forgets keys whose time has come.
void
ForgetKeys(KeyLedger& aLedger, WallTime aNow);

}
