#include "ConfigurationService.h"

namespace Hornbeam {

static constexpr Duration kWatchBackoff = 500ms;
static constexpr Duration kEditBackoff = 100ms;
/// How long an edit tries to reach the store and then to be accepted.
static constexpr Duration kEditTimeout = 4s;
static constexpr Duration kAcceptanceInterval = 20ms;

/// An edit on its way into the store.
struct ConfigurationService::PendingEdit
{
  TableEdit edit;
  EditCallback done;
  MonotonicTime giveUpAt{};
  /// Whether a write was sent whose answer has not come.
  bool uncertain{ false };
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
ConfigurationService::OnTableChange(std::function<void()> aAction)
{
  this->changeActions.push_back(std::move(aAction));
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
    PART_WARNING("configuration") << "revision " << aDocument.revision << " is not taken: " << reason.detail << ".";
    return;
  }
  this->document = std::move(aDocument);
  this->table = std::move(*compiled);
  this->acceptedAt.reset();
  PART_LOG("configuration") << "works under revision " << this->document.revision << " from " << aSource << ".";
  this->kernel.Find<MembershipService>(ServiceName::kMembership).HandleTableKnown(this->document.revision);
  for (auto const& action : this->changeActions)
    action();
}

void
ConfigurationService::TakeStored(StoreResponse const& aAnswer)
{
  if (aAnswer.status != StoreStatus::Ok)
    return;
  LastReason reason;
  auto document = DecodeTable(aAnswer.value, reason);
  if (!document) {
    PART_WARNING("configuration") << "the stored table is not taken: " << reason.detail << ".";
    return;
  }
  this->Adopt(std::move(*document), "the store");
}

void
ConfigurationService::Watch()
{
  this->store.watch(this->TableKey(), this->watchedVersion, [this](StoreResponse aAnswer) {
    if (aAnswer.status == StoreStatus::Ok)
      this->watchedVersion = aAnswer.version;
    this->TakeStored(aAnswer);
    bool const answered = aAnswer.status == StoreStatus::Ok || aAnswer.status == StoreStatus::Unchanged;
    this->clock.Schedule(answered ? Duration::zero() : kWatchBackoff, [this] { this->Watch(); });
  });
}

void
ConfigurationService::ReadFromStore(std::function<void(std::optional<Revision>)> aDone)
{
  this->store.read(this->TableKey(), [this, aDone = std::move(aDone)](StoreResponse aAnswer) {
    if (aAnswer.status == StoreStatus::Absent) {
      aDone(Revision(0));
      return;
    }
    this->TakeStored(aAnswer);
    LastReason reason;
    auto const document =
      aAnswer.status == StoreStatus::Ok ? DecodeTable(aAnswer.value, reason) : std::optional<TableDocument>();
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
      PART_WARNING("configuration") << "a peer's table is not taken: " << reason.detail << ".";
  });
}

void
ConfigurationService::Edit(TableEdit aEdit, EditCallback aDone)
{
  auto const pending = std::make_shared<PendingEdit>();
  pending->edit = std::move(aEdit);
  pending->done = std::move(aDone);
  pending->giveUpAt = this->clock.Now() + kEditTimeout;
  this->TryEdit(pending);
}

void
ConfigurationService::TryEdit(std::shared_ptr<PendingEdit> const& aEdit)
{
  this->store.read(this->TableKey(), [this, aEdit](StoreResponse aAnswer) { this->OnEditRead(aEdit, aAnswer); });
}

void
ConfigurationService::RetryEdit(std::shared_ptr<PendingEdit> const& aEdit)
{
  if (this->clock.Now() < aEdit->giveUpAt) {
    this->clock.Schedule(kEditBackoff, [this, aEdit] { this->TryEdit(aEdit); });
    return;
  }
  EditResult result;
  result.status = aEdit->uncertain ? EditStatus::Unknown : EditStatus::StoreUnavailable;
  result.reason = { ReasonCode::Unavailable,
                    aEdit->uncertain ? "the store did not confirm the write; it may have taken effect"
                                     : "the store does not answer; nothing was written" };
  PART_WARNING("configuration") << "edit " << aEdit->edit.identifier << ": " << result.reason.detail << ".";
  aEdit->done(result);
}

void
ConfigurationService::OnEditRead(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aAnswer)
{
  bool const answered = aAnswer.status == StoreStatus::Ok || aAnswer.status == StoreStatus::Absent;
  LastReason reason;
  auto present = aAnswer.status == StoreStatus::Ok ? DecodeTable(aAnswer.value, reason) : TableDocument();
  if (!answered || !present) {
    this->RetryEdit(aEdit);
    return;
  }
  this->TakeStored(aAnswer);
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
  aEdit->uncertain = true;
  aEdit->written = std::move(outcome.document);
  this->store.write(this->TableKey(),
                    EncodeTable(aEdit->written),
                    aAnswer.version,
                    [this, aEdit](StoreResponse aWritten) { this->OnEditWritten(aEdit, aWritten); });
}

void
ConfigurationService::OnEditWritten(std::shared_ptr<PendingEdit> const& aEdit, StoreResponse const& aAnswer)
{
  if (aAnswer.status == StoreStatus::Ok) {
    auto const revision = aEdit->written.revision;
    this->Adopt(aEdit->written, "an edit here");
    this->AwaitAcceptance(aEdit, revision);
    return;
  }
  // After a conflict an earlier try of this edit may still have been the winner: the next read tells.
  this->RetryEdit(aEdit);
}

void
ConfigurationService::NoteAcceptance()
{
  if (!this->acceptedAt && this->Reach() != RolloutState::Pending)
    this->acceptedAt = this->clock.Now();
}

void
ConfigurationService::AwaitAcceptance(std::shared_ptr<PendingEdit> const& aEdit, Revision aRevision)
{
  this->NoteAcceptance();
  EditResult result;
  result.revision = aRevision;
  result.reach = this->Reach();
  bool const accepted = this->document.revision >= aRevision && result.reach != RolloutState::Pending;
  if (!accepted && this->clock.Now() < aEdit->giveUpAt) {
    this->clock.Schedule(kAcceptanceInterval, [this, aEdit, aRevision] { this->AwaitAcceptance(aEdit, aRevision); });
    return;
  }
  result.status = accepted ? EditStatus::Accepted : EditStatus::Pending;
  PART_LOG("configuration") << "edit " << aEdit->edit.identifier << " is revision " << aRevision
                            << (accepted ? ", accepted." : ", not yet confirmed by a majority.");
  aEdit->done(result);
}

}
