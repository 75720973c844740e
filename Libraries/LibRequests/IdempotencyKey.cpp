#include "IdempotencyKey.h"
#include <charconv>

namespace Hornbeam {

static constexpr char kSeparator = '~';
static constexpr std::size_t kMaxCallerPartLength = 128;
/// How long an entry is kept after its key has expired, so that a late retry still receives the stored response.
static constexpr Duration kRetentionAfterExpiry = 30s;

std::string
EncodeKeyPrefix(std::string const& aFront, Incarnation aIncarnation, WallTime aExpiresAt)
{
  auto const expires = Milliseconds(aExpiresAt.time_since_epoch());
  return aFront + kSeparator + std::to_string(aIncarnation) + kSeparator + std::to_string(expires);
}

static std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  auto const [stop, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || stop != aText.data() + aText.size())
    return std::nullopt;
  return number;
}

std::optional<IdempotencyKey>
ParseIdempotencyKey(std::string const& aText, LastReason& aReason)
{
  aReason = { ReasonCode::InvalidInput,
              "key '" + aText.substr(0, kMaxCallerPartLength) +
                "' must be the key prefix of GET /v1/entry, then '~', then 1 to 128 characters of your own" };
  std::string_view const text(aText);
  auto const first = text.find(kSeparator);
  auto const second = first == text.npos ? first : text.find(kSeparator, first + 1);
  auto const third = second == text.npos ? second : text.find(kSeparator, second + 1);
  if (third == text.npos || first == 0)
    return std::nullopt;
  auto const incarnation = ParseNumber(text.substr(first + 1, second - first - 1));
  auto const expires = ParseNumber(text.substr(second + 1, third - second - 1));
  auto const callerPart = text.substr(third + 1);
  constexpr std::uint64_t kMaxExpiry = std::uint64_t(1) << 48;
  if (!incarnation || !expires || *expires > kMaxExpiry)
    return std::nullopt;
  if (callerPart.empty() || callerPart.size() > kMaxCallerPartLength)
    return std::nullopt;
  return IdempotencyKey{ std::string(text.substr(0, first)),
                         *incarnation,
                         WallTime(std::chrono::milliseconds(*expires)),
                         std::string(callerPart) };
}

KeyLookup
ClaimKey(KeyLedger& aLedger,
         std::string const& aText,
         IdempotencyKey const& aKey,
         std::uint64_t aFingerprint,
         RequestId aRequest,
         WallTime aNow)
{
  if (auto const found = aLedger.entries.find(aText); found != aLedger.entries.end()) {
    auto const& entry = found->second;
    if (entry.fingerprint != aFingerprint)
      return { KeyVerdict::Reused, 0, std::nullopt };
    if (entry.response)
      return { KeyVerdict::Replay, 0, entry.response };
    return { KeyVerdict::Join, entry.request, std::nullopt };
  }
  if (aNow >= aKey.expiresAt)
    return { KeyVerdict::Expired, 0, std::nullopt };
  auto const evictAt = aKey.expiresAt + kRetentionAfterExpiry;
  aLedger.entries.emplace(aText, KeyEntry{ aFingerprint, aRequest, std::nullopt, evictAt });
  aLedger.evictionOrder[evictAt].push_back(aText);
  return { KeyVerdict::Run, aRequest, std::nullopt };
}

void
CompleteKey(KeyLedger& aLedger, std::string const& aText, PipelineResponse const& aResponse)
{
  auto const found = aLedger.entries.find(aText);
  if (found == aLedger.entries.end())
    return;
  bool const certainlyNotRun = aResponse.refusal && aResponse.refusal->run == RunState::NotRun;
  if (certainlyNotRun)
    aLedger.entries.erase(found);
  else
    found->second.response = aResponse;
}

void
EvictKeys(KeyLedger& aLedger, WallTime aNow)
{
  auto& order = aLedger.evictionOrder;
  for (auto due = order.begin(); due != order.end() && due->first <= aNow;) {
    // The entry of a running request is kept and examined again on the next call.
    std::erase_if(due->second, [&](std::string const& aKey) {
      auto const found = aLedger.entries.find(aKey);
      if (found != aLedger.entries.end() && !found->second.response)
        return false;
      aLedger.entries.erase(aKey);
      return true;
    });
    due = due->second.empty() ? order.erase(due) : std::next(due);
  }
}

}
