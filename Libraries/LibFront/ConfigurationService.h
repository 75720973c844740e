#pragma once

#include "MembershipService.h"

namespace Hornbeam {

enum class EditStatus
{
  Accepted,
  /// Stored, but a majority of the fronts has not confirmed it in time.
  Pending,
  Conflict,
  Invalid,
  /// Nothing was written.
  StoreUnavailable,
  /// The store's answer was lost and could not be resolved; the edit may have taken effect.
  Unknown,
};

struct EditResult
{
  EditStatus status{ EditStatus::Invalid };
  Revision revision{ 0 };
  RolloutState reach{ RolloutState::Pending };
  LastReason reason;
  /// The present state of the row that conflicts.
  std::optional<RowKey> conflicting;
};

using EditCallback = std::function<void(EditResult)>;

/// Keeps the newest known table, never an older one, and carries edits into the store.
class ConfigurationService
{
public:
  explicit ConfigurationService(Kernel& aKernel);

  void Start();

  Table const& Current() const { return this->table; }
  TableDocument const& Document() const { return this->document; }
  std::string StoredForm() const;

  /// How far the table in force here has come.
  RolloutState Reach() const;

  /// Carries an edit out and answers once it is accepted, or why it is not.
  void Edit(TableEdit aEdit, EditCallback aDone);

  /// Reads the table in the store, works under it if it is newer, and answers the revision that was read.
  void ReadFromStore(std::function<void(std::optional<Revision>)> aDone);

  void FetchFromPeer(Member const& aPeer);

  /// Is called each time a newer table is in force here.
  void OnTableChange(std::function<void()> aAction);

private:
  struct PendingEdit;

  void Watch();
  /// Works under a newer table; an older one is ignored.
  void Adopt(TableDocument aDocument, char const* aSource);
  void TakeStored(StoreResponse const& aAnswer);
  void TryEdit(std::shared_ptr<PendingEdit> const& aEdit);
  void OnEditRead(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aAnswer);
  void OnEditWritten(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aAnswer);
  void RetryEdit(std::shared_ptr<PendingEdit> const& aEdit);
  void AwaitAcceptance(std::shared_ptr<PendingEdit> const& aEdit, Revision aRevision);
  void NoteAcceptance();
  std::string TableKey() const;

  Kernel& kernel;
  Clock& clock;
  StorePort& store;
  PeerPort& peers;
  FrontSettings const& settings;
  TableDocument document;
  Table table;
  StoreVersion watchedVersion{ 0 };
  std::optional<MonotonicTime> acceptedAt;
  bool fetching{ false };
  std::vector<std::function<void()>> changeActions;
};

}
