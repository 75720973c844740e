#include "StandardWorld.h"

namespace Hornbeam {

static void
AddRow(TableEdit& aEdit, std::string const& aRow, Cells aCells)
{
  LastReason reason;
  auto const key = ParseRowKey(aRow, reason);
  VERIFY(key.has_value());
  aEdit.rows.push_back({ *key, RowEditKind::Replace, std::move(aCells), std::nullopt });
}

std::string
StandardTable()
{
  TableEdit edit;
  edit.identifier = "standard";
  for (std::string const number : { "1", "2", "3" }) {
    AddRow(edit, "data-center/dc-" + number, {});
    for (std::string const pool : { "encode", "generate" })
      AddRow(edit,
             "endpoint/" + pool + "-" + number,
             { { "pool", pool }, { "address", pool + "-" + number + ":1" }, { "data_center", "dc-" + number } });
  }
  for (std::string const number : { "1", "2" })
    AddRow(
      edit,
      "endpoint/redemption-" + number,
      { { "pool", "redemption" }, { "address", "redemption-" + number + ":1" }, { "data_center", "dc-" + number } });
  AddRow(edit, "pool/encode", { { "cold_limit", "2" }, { "warm_limit", "8" }, { "service_ms", "20" } });
  AddRow(edit, "pool/generate", { { "cold_limit", "2" }, { "warm_limit", "8" }, { "service_ms", "100" } });
  AddRow(edit,
         "pool/redemption",
         { { "kind", "service" }, { "cold_limit", "2" }, { "warm_limit", "8" }, { "service_ms", "10" } });
  AddRow(edit, "pipeline/notes", { { "stages", "encode,generate" }, { "deadline_ms", "5000" } });
  AddRow(edit, "pipeline/redeem", { { "stages", "redemption" }, { "deadline_ms", "2000" }, { "repeatable", "no" } });
  AddRow(edit, "account/brewers", { { "weight", "3" }, { "limit", "60" } });
  AddRow(edit, "account/stewards", { { "weight", "1" }, { "limit", "60" } });
  auto const outcome = ApplyEdit({}, edit);
  VERIFY(outcome.verdict == EditVerdict::Applied) << outcome.reason.detail;
  return EncodeTable(outcome.document);
}

static EndpointModelSettings
ModelOf(Duration aService, int aTokens, bool aStartsWarm)
{
  EndpointModelSettings settings;
  settings.service = aService;
  settings.tokens = aTokens;
  settings.warmCapacity = 8;
  settings.coldCapacity = 2;
  settings.coldFactor = 2;
  settings.callsToWarm = 8;
  settings.startsWarm = aStartsWarm;
  return settings;
}

std::unique_ptr<World>
MakeStandardWorld(std::uint64_t aSeed, bool aStartsWarm, Duration aShutdownGrace)
{
  auto world = std::make_unique<World>(aSeed);
  world->SetShutdownGrace(aShutdownGrace);
  for (std::string const number : { "1", "2", "3" }) {
    world->AddEndpoint("encode-" + number, ModelOf(20ms, 0, aStartsWarm));
    world->AddEndpoint("generate-" + number, ModelOf(100ms, 5, aStartsWarm));
  }
  for (std::string const number : { "1", "2" })
    world->AddEndpoint("redemption-" + number, ModelOf(10ms, 0, aStartsWarm));
  world->LoadTable(StandardTable());
  for (std::string const number : { "1", "2", "3" })
    world->AddFront("front-" + number, "dc-" + number);
  return world;
}

}
