#pragma once

#include "Subscription.h"
#include <LibServing/StorePosition.h>
#include <set>
#include <vector>

namespace Hornbeam::Gateway {

/// What proves that the state read from the store is the newest. A watch that waits proves nothing: the store may never
/// have heard it, or its answer may be lost. A check asks for the store's revision. Each change raises it by one, so
/// that the state is the newest if each revision since the last proof has been seen at an object. If not, the kinds
/// that are known up to an earlier revision only are listed.
struct StoreProof
{
  /// Up to which revision the store's answers have told all changes of a kind.
  std::vector<StorePosition> known;
  /// The state was the newest at this revision.
  StorePosition provenRevision{ 0 };
  /// Later revisions at which the front has seen an object change.
  std::set<StorePosition> seen;
  /// When the check in flight was sent.
  std::optional<MonotonicTime> checkSentAt;
  MonotonicTime lastCheckAt{};

  struct Answer
  {
    StorePosition revision{ 0 };
    MonotonicTime sentAt{};
    /// When the watches should have told of the same changes.
    MonotonicTime verifyAt{};
  };
  /// The latest answer to a check, until all kinds are known up to its revision.
  std::optional<Answer> answer;
  /// The latest time at which the state was the newest, as far as is proven.
  MonotonicTime provenAt{};
};

/// How often this front must check the store; nothing if another front does it for this one. aAge is the time since the
/// state was last proven the newest, by this front or another.
std::optional<Duration>
CheckInterval(RelayRoles const& aRoles, StoreUse aUse, bool aHasFollowers, Duration aAge);

/// Records a check if one is due, and returns whether it is to be sent.
bool
BeginCheckIfDue(StoreProof& aProof, std::optional<Duration> aInterval, MonotonicTime aNow);

/// aLag is how long the watches may take to tell of the same changes.
void
OnCheckAnswered(StoreProof& aProof, StorePosition aRevision, Duration aLag, MonotonicTime aNow);

void
OnCheckFailed(StoreProof& aProof);

/// Records that an object changed at a revision, as the store's answers told.
void
OnSeen(StoreProof& aProof, StorePosition aRevision);

/// Records that the store's answers told all changes of a kind up to a revision.
void
OnKnown(StoreProof& aProof, std::size_t aKind, StorePosition aRevision);

/// The kinds whose watches should have told of the changes up to the checked revision by now, and have not.
std::vector<std::size_t>
KindsToVerify(StoreProof const& aProof, MonotonicTime aNow);

}
