#pragma once

#include "MembershipService.h"

namespace Hornbeam {

enum class EditStatus
{
  Accepted,
  /// Stored, but not confirmed by a majority of the fronts within the timeout.
  Pending,
  Conflict,
  Invalid,
  /// Nothing was written.
  StoreUnavailable,
  /// The store's response was lost and the outcome could not be determined; the edit may have taken effect.
  Unknown,
};

struct EditResult
{
  EditStatus status{ EditStatus::Invalid };
  Revision revision{ 0 };
  RolloutState reach{ RolloutState::Pending };
  LastReason reason;
  /// The row that conflicts.
  std::optional<RowKey> conflicting;
};

using EditCallback = std::function<void(EditResult)>;

/// Holds the newest known table, never replaces it by an older one, and writes edits to the store.
class ConfigurationService
{
public:
  explicit ConfigurationService(Kernel& aKernel);

  void Start();

  Table const& Current() const { return this->table; }
  TableDocument const& Document() const { return this->document; }
  std::string StoredForm() const;

  /// How far the table in force at this front has spread to the other fronts.
  RolloutState Reach() const;

  /// Applies an edit. Calls aDone once the edit is accepted, or with the reason why it is not.
  void Edit(TableEdit aEdit, EditCallback aDone);

  /// Reads the table from the store, adopts it if it is newer, and passes the revision that was read to aDone.
  void ReadFromStore(std::function<void(std::optional<Revision>)> aDone);

  void FetchFromPeer(Member const& aPeer);

  /// Registers a callback for each newer table that takes effect at this front.
  void OnTableChange(std::function<void()> aCallback);

private:
  struct PendingEdit;

  void Watch();
  /// Puts a newer table in force; ignores an older one.
  void Adopt(TableDocument aDocument, char const* aSource);
  void AdoptStored(StoreResponse const& aResponse);
  void AttemptEdit(std::shared_ptr<PendingEdit> const& aEdit);
  void OnEditRead(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aResponse);
  void OnEditWritten(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aResponse);
  void RetryEdit(std::shared_ptr<PendingEdit> const& aEdit);
  void AwaitAcceptance(std::shared_ptr<PendingEdit> const& aEdit, Revision aRevision);
  void RecordAcceptance();
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
  std::vector<std::function<void()>> changeCallbacks;
};

}
