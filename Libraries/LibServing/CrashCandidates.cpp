#include "CrashCandidates.h"
#include <LibCore/LibCore.h>
#include <algorithm>
#include <array>
#include <memory>
#include <openssl/evp.h>

namespace Hornbeam::Gateway {

static constexpr std::size_t kMaxParts = 16;
static constexpr std::size_t kMaxPartLength = 64;
static constexpr std::string_view kFingerprintPrefix = "request-";
/// Of the hash; enough that two requests never share a fingerprint.
static constexpr std::size_t kFingerprintBytes = 16;

static bool
IsPlain(char aCharacter)
{
  bool const letter = (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  return letter || (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' || aCharacter == '_';
}

static std::string
NameOf(std::string const& aPart)
{
  // A part must not pass for a fingerprint.
  if (aPart.size() <= kMaxPartLength && std::ranges::all_of(aPart, IsPlain) && !aPart.starts_with(kFingerprintPrefix))
    return aPart;
  return "hash-" + std::to_string(StableHash(aPart));
}

CrashCandidate
FingerprintOf(RequestIdentity const& aIdentity)
{
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> const context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  bool succeeded = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
  for (auto const field : { aIdentity.account, aIdentity.method, aIdentity.host, aIdentity.target, aIdentity.body }) {
    // With its size, so that text cannot move from one field to the next.
    std::uint64_t const size = field.size();
    succeeded = succeeded && EVP_DigestUpdate(context.get(), &size, sizeof size) == 1 &&
                EVP_DigestUpdate(context.get(), field.data(), field.size()) == 1;
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  succeeded = succeeded && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
  VERIFY(succeeded);
  CrashCandidate fingerprint{ std::string(kFingerprintPrefix), kWholeRequest };
  static constexpr char kDigits[] = "0123456789abcdef";
  for (std::size_t index = 0; index < kFingerprintBytes; ++index) {
    fingerprint.name += kDigits[digest[index] >> 4];
    fingerprint.name += kDigits[digest[index] & 0xf];
  }
  return fingerprint;
}

bool
IsFingerprint(CrashCandidate const& aCandidate)
{
  return aCandidate.position == kWholeRequest;
}

std::vector<CrashCandidate>
SharedParts(std::vector<std::string> const& aPromptParts)
{
  std::vector<CrashCandidate> parts;
  std::size_t const count = aPromptParts.empty() ? 0 : aPromptParts.size() - 1;
  for (std::size_t index = count > kMaxParts ? count - kMaxParts : 0; index < count; ++index)
    if (!aPromptParts[index].empty())
      parts.push_back({ NameOf(aPromptParts[index]), unsigned(index) });
  return parts;
}

std::string
ToLogField(std::vector<CrashCandidate> const& aCandidates)
{
  std::string field;
  for (auto const& candidate : aCandidates)
    field += (field.empty() ? "" : ",") + candidate.name;
  return field.empty() ? "none" : field;
}

}
