#include "AdministrationService.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

static constexpr std::string_view kRowPrefix = "/v1/table/rows/";
static constexpr std::string_view kDataCenterPrefix = "/v1/data-centers/";

AdministrationService::AdministrationService(Kernel& aKernel)
  : kernel(aKernel)
  , clock(aKernel.Find<Clock>(ServiceName::kClock))
  , membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , configuration(aKernel.Find<ConfigurationService>(ServiceName::kConfiguration))
  , grants(aKernel.Find<GrantService>(ServiceName::kGrants))
  , metrics(aKernel.Find<MetricsService>(ServiceName::kMetrics))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
{
}

/// Makes a problem response for an operator. aChanged says whether the table may have changed.
static HttpResponse
Problem(int aStatus, char const* aTitle, std::string aDetail, char const* aChanged = "no")
{
  json const body = {
    { "type", std::string("urn:hornbeamfront:") + aTitle },
    { "title", aTitle },
    { "status", aStatus },
    { "detail", std::move(aDetail) },
    { "changed", aChanged },
  };
  return { aStatus, "application/problem+json", body.dump(), "" };
}

static std::string
EntityTagOf(Revision aRevision)
{
  return "\"" + std::to_string(aRevision) + "\"";
}

bool
AdministrationService::IsAuthorized(HttpRequest const& aRequest) const
{
  auto const expected = "Bearer " + this->settings.administrationToken;
  auto const& given = aRequest.headers.authorization;
  // Compares every byte, so that the response time does not reveal where the first difference is.
  std::size_t different = given.size() ^ expected.size();
  for (std::size_t index = 0; index < given.size(); ++index)
    different |= static_cast<unsigned char>(given[index] ^ expected[index % expected.size()]);
  return different == 0;
}

void
AdministrationService::Handle(HttpRequest const& aRequest, HttpResponder aResponder)
{
  if (aRequest.path == "/metrics" && aRequest.method == HttpMethod::Get) {
    aResponder.Respond({ 200, "text/plain; version=0.0.4", this->metrics.Render(), "" });
    return;
  }
  if (!this->IsAuthorized(aRequest)) {
    aResponder.Respond(Problem(401, "unauthorized", "the Authorization header must be 'Bearer' and the token"));
    return;
  }
  std::string const& path = aRequest.path;
  if (path == "/v1/status" && aRequest.method == HttpMethod::Get) {
    aResponder.Respond(this->Status());
    return;
  }
  if (path == "/v1/table" && aRequest.method == HttpMethod::Get) {
    this->HandleTable(aRequest, aResponder);
    return;
  }
  if (path == "/v1/table/edits" && aRequest.method == HttpMethod::Post) {
    this->HandleEdits(aRequest, aResponder);
    return;
  }
  if (path.starts_with(kRowPrefix)) {
    LastReason reason;
    auto const key = ParseRowKey(path.substr(kRowPrefix.size()), reason);
    if (key)
      this->HandleRow(aRequest, *key, aResponder);
    else
      aResponder.Respond(Problem(400, "bad-row", reason.detail));
    return;
  }
  if (path.starts_with(kDataCenterPrefix) && aRequest.method == HttpMethod::Post) {
    this->HandleDataCenter(path.substr(kDataCenterPrefix.size()), aResponder);
    return;
  }
  aResponder.Respond(Problem(404, "not-found", "there is no " + path));
}

void
AdministrationService::HandleTable(HttpRequest const& aRequest, HttpResponder const& aResponder)
{
  auto const kind = aRequest.query.find("kind");
  json rows = json::array();
  auto const& document = this->configuration.Document();
  for (auto const& [key, row] : document.rows) {
    if (kind == aRequest.query.end() || kind->second == ToString(key.kind))
      rows.push_back(EncodeRow(key, row));
  }
  json const body = { { "revision", document.revision }, { "rows", rows } };
  aResponder.Respond({ 200, "application/json", body.dump(), EntityTagOf(document.revision) });
}

/// Parses If-Match: "*" matches any state, a quoted number matches the row's revision, and "0" a row that does not
/// exist.
static bool
ParseIfMatch(std::string const& aHeader, std::optional<Revision>& aExpected)
{
  if (aHeader == "*")
    return true;
  bool const quoted = aHeader.size() >= 3 && aHeader.size() < 20 && aHeader.front() == '"' && aHeader.back() == '"';
  if (!quoted)
    return false;
  auto const digits = aHeader.substr(1, aHeader.size() - 2);
  if (!std::ranges::all_of(digits, [](char aDigit) { return aDigit >= '0' && aDigit <= '9'; }))
    return false;
  aExpected = std::stoull(digits);
  return true;
}

void
AdministrationService::HandleRow(HttpRequest const& aRequest, RowKey const& aKey, HttpResponder const& aResponder)
{
  auto const& rows = this->configuration.Document().rows;
  if (aRequest.method == HttpMethod::Get) {
    auto const row = rows.find(aKey);
    if (row == rows.end())
      aResponder.Respond(Problem(404, "not-found", "there is no row " + ToString(aKey)));
    else
      aResponder.Respond(
        { 200, "application/json", EncodeRow(aKey, row->second).dump(), EntityTagOf(row->second.revision) });
    return;
  }
  RowEdit edit;
  edit.key = aKey;
  if (!ParseIfMatch(aRequest.headers.ifMatch, edit.expectedRevision)) {
    aResponder.Respond(Problem(
      428, "precondition-required", "If-Match must be the row's ETag, \"0\" for a new row, or * for any state"));
    return;
  }
  if (aRequest.method == HttpMethod::Delete) {
    edit.kind = RowEditKind::Remove;
    this->SubmitEdit({ this->NewEditIdentifier(), { edit } }, aResponder);
    return;
  }
  // PUT replaces all cells of the row; POST changes only the cells that it names.
  edit.kind = aRequest.method == HttpMethod::Put ? RowEditKind::Replace : RowEditKind::Merge;
  LastReason reason;
  auto const body = json::parse(aRequest.body, nullptr, false);
  auto const cells = DecodeCells(body, reason);
  if (!cells) {
    aResponder.Respond(Problem(400, "bad-cells", reason.detail));
    return;
  }
  edit.cells = *cells;
  this->SubmitEdit({ this->NewEditIdentifier(), { edit } }, aResponder);
}

void
AdministrationService::HandleDataCenter(std::string const& aSuffix, HttpResponder const& aResponder)
{
  auto const slash = aSuffix.find('/');
  auto const state = slash == std::string::npos ? std::string() : aSuffix.substr(slash + 1);
  if (state != "out" && state != "in") {
    aResponder.Respond(Problem(404, "not-found", "there is POST /v1/data-centers/{name}/out and .../in"));
    return;
  }
  LastReason reason;
  auto const key = ParseRowKey("data-center/" + aSuffix.substr(0, slash), reason);
  if (!key) {
    aResponder.Respond(Problem(400, "bad-row", reason.detail));
    return;
  }
  // "out" and "in" are absolute states, not relative changes. The last writer wins, so no revision is expected.
  RowEdit edit{ *key, RowEditKind::Merge, { { "state", state } }, std::nullopt };
  this->SubmitEdit({ this->NewEditIdentifier(), { edit } }, aResponder);
  PART_LOG("administration") << "data centre " << key->name << ": requested state is " << state << ".";
}

/// Decodes one row of {"rows": [{"row": "pool/generate", "cells": {...} or null, "expected": 3}]}.
static std::optional<RowEdit>
DecodeRowEdit(json const& aRow, LastReason& aReason)
{
  aReason = { ReasonCode::InvalidInput, "each row must have 'row', 'cells' and perhaps 'expected'" };
  if (!aRow.is_object() || !aRow.contains("row") || !aRow["row"].is_string() || !aRow.contains("cells"))
    return std::nullopt;
  auto const key = ParseRowKey(aRow["row"].get<std::string>(), aReason);
  if (!key)
    return std::nullopt;
  RowEdit edit;
  edit.key = *key;
  if (aRow.contains("expected")) {
    if (!aRow["expected"].is_number_unsigned()) {
      aReason = { ReasonCode::InvalidInput, "'expected' must be a revision" };
      return std::nullopt;
    }
    edit.expectedRevision = aRow["expected"].get<Revision>();
  }
  if (aRow["cells"].is_null()) {
    edit.kind = RowEditKind::Remove;
    return edit;
  }
  auto const cells = DecodeCells(aRow["cells"], aReason);
  if (!cells)
    return std::nullopt;
  edit.cells = *cells;
  return edit;
}

void
AdministrationService::HandleEdits(HttpRequest const& aRequest, HttpResponder const& aResponder)
{
  auto const body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object() || !body.contains("rows") || !body["rows"].is_array() || body["rows"].empty()) {
    aResponder.Respond(Problem(400, "bad-edit", "the body must be an object with a list of 'rows'"));
    return;
  }
  TableEdit edit;
  bool const named = body.contains("id") && body["id"].is_string() && !body["id"].get<std::string>().empty();
  edit.identifier = named ? body["id"].get<std::string>() : this->NewEditIdentifier();
  LastReason reason;
  for (auto const& row : body["rows"]) {
    auto const decoded = DecodeRowEdit(row, reason);
    if (!decoded) {
      aResponder.Respond(Problem(400, "bad-edit", reason.detail));
      return;
    }
    edit.rows.push_back(*decoded);
  }
  this->SubmitEdit(std::move(edit), aResponder);
}

std::string
AdministrationService::NewEditIdentifier()
{
  auto const& self = this->membership.Self();
  return self.name + "." + std::to_string(self.incarnation) + "." + std::to_string(++this->editCount);
}

void
AdministrationService::SubmitEdit(TableEdit aEdit, HttpResponder const& aResponder)
{
  for (auto const& row : aEdit.rows)
    PART_LOG("administration") << "edit " << aEdit.identifier << " changes " << ToString(row.key) << ".";
  this->configuration.Edit(
    std::move(aEdit), [this, aResponder](EditResult aResult) { aResponder.Respond(this->RespondToEdit(aResult)); });
}

static char const*
ToString(RolloutState aReach)
{
  switch (aReach) {
    case RolloutState::Pending:
      return "pending";
    case RolloutState::Accepted:
      return "accepted";
    case RolloutState::InForceEverywhere:
      return "everywhere";
  }
  VerifyNotReached();
}

HttpResponse
AdministrationService::RespondToEdit(EditResult const& aResult) const
{
  switch (aResult.status) {
    case EditStatus::Accepted:
    case EditStatus::Pending: {
      json const body = { { "revision", aResult.revision }, { "in_force", ToString(aResult.reach) } };
      int const status = aResult.status == EditStatus::Accepted ? 200 : 202;
      return { status, "application/json", body.dump(), EntityTagOf(aResult.revision) };
    }
    case EditStatus::Conflict: {
      auto response = Problem(412, "conflict", aResult.reason.detail);
      auto body = json::parse(response.body);
      auto const& rows = this->configuration.Document().rows;
      auto const row = aResult.conflicting ? rows.find(*aResult.conflicting) : rows.end();
      body["present"] = row == rows.end() ? json(nullptr) : EncodeRow(row->first, row->second);
      response.body = body.dump();
      return response;
    }
    case EditStatus::Invalid:
      return Problem(400, "invalid", aResult.reason.detail);
    case EditStatus::StoreUnavailable:
      return Problem(503, "store-unavailable", aResult.reason.detail);
    case EditStatus::Unknown:
      return Problem(503, "unknown", aResult.reason.detail, "perhaps");
  }
  VerifyNotReached();
}

static char const*
ToString(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Cold:
      return "cold";
    case Phase::Ramping:
      return "ramping";
    case Phase::Warm:
      return "warm";
  }
  VerifyNotReached();
}

HttpResponse
AdministrationService::Status() const
{
  auto const& state = this->membership.State();
  auto const now = this->clock.Now();
  json members = json::array();
  if (state.record) {
    for (auto const& member : state.record->members) {
      json entry = { { "name", member.name }, { "data_center", member.dataCenter } };
      auto const view = state.peers.find(member.name);
      bool const self = member == state.self;
      if (!self && (view == state.peers.end() || !view->second.respondedSentAt)) {
        entry["state"] = "silent";
      } else {
        entry["table_revision"] = self ? state.table : view->second.table;
        auto const mode = self ? state.mode : view->second.mode;
        bool const fresh = self || now - *view->second.respondedSentAt < state.settings.leaseDuration;
        entry["state"] = !fresh ? "silent" : mode == ServingMode::Draining ? "draining" : "serving";
      }
      members.push_back(std::move(entry));
    }
  }
  json owned = json::array();
  for (auto const& [name, phase] : this->grants.OwnedPhases())
    owned.push_back({ { "name", name }, { "phase", ToString(phase.phase) }, { "limit", phase.limit } });
  json const body = { { "front", state.self.name },
                      { "epoch", state.record ? state.record->epoch : 0 },
                      { "lease", this->membership.HoldsLeaseNow() ? "held" : "none" },
                      { "table_revision", this->configuration.Document().revision },
                      { "in_force", ToString(this->configuration.Reach()) },
                      { "members", members },
                      { "owned_endpoints", owned } };
  return { 200, "application/json", body.dump(), "" };
}

}
