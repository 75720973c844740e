#include "ConfigurationService.h"

namespace Hornbeam {

static constexpr Duration kWatchBackoff = 500ms;
static constexpr Duration kEditBackoff = 100ms;
/// How long an edit retries to reach the store and then waits to be accepted.
static constexpr Duration kEditTimeout = 4s;
static constexpr Duration kAcceptanceInterval = 20ms;

/// An edit that is being written to the store.
struct ConfigurationService::PendingEdit
{
  TableEdit edit;
  EditCallback done;
  MonotonicTime deadline{};
  /// Whether a write was sent that the store has not confirmed.
  bool writeUnconfirmed{ false };
  TableDocument written;
};

ConfigurationService::ConfigurationService(Kernel& aKernel)
  : kernel(aKernel)
  , clock(aKernel.Find<Clock>(ServiceName::kClock))
  , store(aKernel.Find<StorePort>(ServiceName::kStorePort))
  , peers(aKernel.Find<PeerPort>(ServiceName::kPeerPort))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
{
}

void
ConfigurationService::Start()
{
  this->Watch();
}

std::string
ConfigurationService::TableKey() const
{
  return this->settings.deployment + "/table";
}

std::string
ConfigurationService::StoredForm() const
{
  return this->document.revision == 0 ? std::string() : EncodeTable(this->document);
}

void
ConfigurationService::OnTableChange(std::function<void()> aCallback)
{
  this->changeCallbacks.push_back(std::move(aCallback));
}

RolloutState
ConfigurationService::Reach() const
{
  auto const& membership = this->kernel.Find<MembershipService>(ServiceName::kMembership);
  return RolloutStateOf(membership.State(), this->document.revision, this->acceptedAt, this->clock.Now());
}

void
ConfigurationService::Adopt(TableDocument aDocument, char const* aSource)
{
  if (aDocument.revision <= this->document.revision)
    return;
  LastReason reason;
  auto compiled = CompileTable(aDocument, reason);
  if (!compiled) {
    PART_WARNING("configuration") << "revision " << aDocument.revision << " rejected: " << reason.detail << ".";
    return;
  }
  this->document = std::move(aDocument);
  this->table = std::move(*compiled);
  this->acceptedAt.reset();
  PART_LOG("configuration") << "revision " << this->document.revision << " from " << aSource
                            << " is in force at this front.";
  this->kernel.Find<MembershipService>(ServiceName::kMembership).HandleTableRevision(this->document.revision);
  for (auto const& callback : this->changeCallbacks)
    callback();
}

void
ConfigurationService::AdoptStored(StoreResponse const& aResponse)
{
  if (aResponse.status != StoreStatus::Ok)
    return;
  LastReason reason;
  auto document = DecodeTable(aResponse.value, reason);
  if (!document) {
    PART_WARNING("configuration") << "rejected the table in the store: " << reason.detail << ".";
    return;
  }
  this->Adopt(std::move(*document), "the store");
}

void
ConfigurationService::Watch()
{
  this->store.watch(this->TableKey(), this->watchedVersion, [this](StoreResponse aResponse) {
    if (aResponse.status == StoreStatus::Ok)
      this->watchedVersion = aResponse.version;
    this->AdoptStored(aResponse);
    bool const responded = aResponse.status == StoreStatus::Ok || aResponse.status == StoreStatus::Unchanged;
    this->clock.Schedule(responded ? Duration::zero() : kWatchBackoff, [this] { this->Watch(); });
  });
}

void
ConfigurationService::ReadFromStore(std::function<void(std::optional<Revision>)> aDone)
{
  this->store.read(this->TableKey(), [this, aDone = std::move(aDone)](StoreResponse aResponse) {
    if (aResponse.status == StoreStatus::Absent) {
      aDone(Revision(0));
      return;
    }
    this->AdoptStored(aResponse);
    LastReason reason;
    auto const document =
      aResponse.status == StoreStatus::Ok ? DecodeTable(aResponse.value, reason) : std::optional<TableDocument>();
    aDone(document ? std::optional(document->revision) : std::nullopt);
  });
}

void
ConfigurationService::FetchFromPeer(Member const& aPeer)
{
  if (this->fetching)
    return;
  this->fetching = true;
  this->peers.fetchTable(aPeer, [this](std::optional<std::string> aTable) {
    this->fetching = false;
    if (!aTable || aTable->empty())
      return;
    LastReason reason;
    auto document = DecodeTable(*aTable, reason);
    if (document)
      this->Adopt(std::move(*document), "a peer");
    else
      PART_WARNING("configuration") << "rejected the table of a peer: " << reason.detail << ".";
  });
}

void
ConfigurationService::Edit(TableEdit aEdit, EditCallback aDone)
{
  auto const pending = std::make_shared<PendingEdit>();
  pending->edit = std::move(aEdit);
  pending->done = std::move(aDone);
  pending->deadline = this->clock.Now() + kEditTimeout;
  this->AttemptEdit(pending);
}

void
ConfigurationService::AttemptEdit(std::shared_ptr<PendingEdit> const& aEdit)
{
  this->store.read(this->TableKey(), [this, aEdit](StoreResponse aResponse) { this->OnEditRead(aEdit, aResponse); });
}

void
ConfigurationService::RetryEdit(std::shared_ptr<PendingEdit> const& aEdit)
{
  if (this->clock.Now() < aEdit->deadline) {
    this->clock.Schedule(kEditBackoff, [this, aEdit] { this->AttemptEdit(aEdit); });
    return;
  }
  EditResult result;
  result.status = aEdit->writeUnconfirmed ? EditStatus::Unknown : EditStatus::StoreUnavailable;
  result.reason = { ReasonCode::Unavailable,
                    aEdit->writeUnconfirmed ? "the store did not confirm the write; it may have taken effect"
                                            : "the store does not answer; nothing was written" };
  PART_WARNING("configuration") << "edit " << aEdit->edit.identifier << ": " << result.reason.detail << ".";
  aEdit->done(result);
}

void
ConfigurationService::OnEditRead(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aResponse)
{
  bool const responded = aResponse.status == StoreStatus::Ok || aResponse.status == StoreStatus::Absent;
  LastReason reason;
  auto present = aResponse.status == StoreStatus::Ok ? DecodeTable(aResponse.value, reason) : TableDocument();
  if (!responded || !present) {
    this->RetryEdit(aEdit);
    return;
  }
  this->AdoptStored(aResponse);
  auto outcome = ApplyEdit(*present, aEdit->edit);
  switch (outcome.verdict) {
    case EditVerdict::AlreadyApplied:
      this->AwaitAcceptance(aEdit, outcome.document.revision);
      return;
    case EditVerdict::Conflict:
    case EditVerdict::Invalid: {
      EditResult result;
      bool const conflict = outcome.verdict == EditVerdict::Conflict;
      result.status = conflict ? EditStatus::Conflict : EditStatus::Invalid;
      result.revision = present->revision;
      result.reason = outcome.reason;
      result.conflicting = outcome.conflictingRow;
      aEdit->done(result);
      return;
    }
    case EditVerdict::Applied:
      break;
  }
  aEdit->writeUnconfirmed = true;
  aEdit->written = std::move(outcome.document);
  this->store.write(this->TableKey(),
                    EncodeTable(aEdit->written),
                    aResponse.version,
                    [this, aEdit](StoreResponse aWritten) { this->OnEditWritten(aEdit, aWritten); });
}

void
ConfigurationService::OnEditWritten(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aResponse)
{
  if (aResponse.status == StoreStatus::Ok) {
    auto const revision = aEdit->written.revision;
    this->Adopt(aEdit->written, "an edit at this front");
    this->AwaitAcceptance(aEdit, revision);
    return;
  }
  // After a conflict, an earlier attempt of the same edit may have taken effect; the next read shows whether it did.
  this->RetryEdit(aEdit);
}

void
ConfigurationService::RecordAcceptance()
{
  if (!this->acceptedAt && this->Reach() != RolloutState::Pending)
    this->acceptedAt = this->clock.Now();
}

void
ConfigurationService::AwaitAcceptance(std::shared_ptr<PendingEdit> const& aEdit, Revision aRevision)
{
  this->RecordAcceptance();
  EditResult result;
  result.revision = aRevision;
  result.reach = this->Reach();
  bool const accepted = this->document.revision >= aRevision && result.reach != RolloutState::Pending;
  if (!accepted && this->clock.Now() < aEdit->deadline) {
    this->clock.Schedule(kAcceptanceInterval, [this, aEdit, aRevision] { this->AwaitAcceptance(aEdit, aRevision); });
    return;
  }
  result.status = accepted ? EditStatus::Accepted : EditStatus::Pending;
  PART_LOG("configuration") << "edit " << aEdit->edit.identifier << " is revision " << aRevision
                            << (accepted ? ", accepted." : ", not yet confirmed by a majority.");
  aEdit->done(result);
}

}
