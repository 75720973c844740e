#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam::Gateway {

/// Something about a request that may crash the endpoints that run it: a part of its prompt, or the request as a whole.
struct CrashCandidate
{
  /// The part's hash, or a name made from it if that is long or not printable; or the request's fingerprint. It can be
  /// logged and stored.
  std::string name;
  /// How specific the candidate is to its request: the position of a part in the prompt, starting at 0, or
  /// kWholeRequest.
  unsigned position{ 0 };
};

/// The position of a fingerprint; no prompt has as many parts.
constexpr unsigned kWholeRequest = 1'000'000;

/// What makes client attempts the same request: it stays the same when a caller sends the request again.
struct RequestIdentity
{
  std::string_view account;
  std::string_view method;
  std::string_view host;
  /// The path with its query.
  std::string_view target;
  std::string_view body;
};

/// Returns a name for the request that does not reveal its content: a truncated SHA-256.
CrashCandidate
FingerprintOf(RequestIdentity const& aIdentity);

bool
IsFingerprint(CrashCandidate const& aCandidate);

/// Returns the parts of a prompt that other requests can share: all but the last. Of a long prompt, only the last ones
/// of these are returned.
std::vector<CrashCandidate>
SharedParts(std::vector<std::string> const& aPromptParts);

/// Returns the names of the candidates as the value of a log field.
std::string
ToLogField(std::vector<CrashCandidate> const& aCandidates);

}
