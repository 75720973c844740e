#include "Commands.h"
#include <fstream>
#include <iostream>
#include <kj/encoding.h>
#include <yaml-cpp/yaml.h>

namespace Hornbeam {

using nlohmann::json;

static constexpr Duration kInForcePollInterval = 100ms;
static constexpr Duration kInForceTimeout = 15s;
static constexpr std::string_view kCellSeparator = "=";

static ExitCode
ExitCodeOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return ExitCode::Success;
    case 202:
      return ExitCode::NotInForce;
    case 412:
      return ExitCode::Conflict;
    case 503:
      return ExitCode::Unavailable;
    default:
      return ExitCode::InvalidUse;
  }
}

/// Parses a response; prints failures to standard error.
static std::optional<json>
ParseBody(HttpCallResult const& aResult, ExitCode& aExit)
{
  if (aResult.end != HttpCallEnd::Complete) {
    std::cerr << "hornbeamctl: no response from the front: " << aResult.detail << "\n";
    aExit = ExitCode::Unavailable;
    return std::nullopt;
  }
  aExit = ExitCodeOf(aResult.status);
  auto body = json::parse(aResult.body, nullptr, false);
  if (aResult.status >= 400 || body.is_discarded()) {
    auto const detail = body.is_object() ? body.value("detail", aResult.body) : aResult.body;
    std::cerr << "hornbeamctl: " << aResult.status << ": " << detail << "\n";
    if (body.is_object() && body.contains("present"))
      std::cerr << "present row: " << body["present"].dump() << "\n";
    return std::nullopt;
  }
  return body;
}

/// Prints the outcome of an edit, after waiting until it is in force everywhere if that is requested.
static ExitCode
FinishEdit(CommandContext const& aContext, HttpCallResult const& aResult)
{
  auto exit = ExitCode::Success;
  auto const body = ParseBody(aResult, exit);
  if (!body)
    return exit;
  auto const revision = body->value("revision", 0);
  auto inForce = body->value("in_force", "");
  Duration waited{ 0 };
  while (aContext.wait == WaitPolicy::WaitUntilInForce && inForce != "everywhere" && waited < kInForceTimeout) {
    aContext.client.Wait(kInForcePollInterval);
    waited += kInForcePollInterval;
    auto const status = aContext.client.Administer(HttpMethod::Get, "/v1/status");
    auto const known = json::parse(status.body, nullptr, false);
    if (known.is_object() && known.value("table_revision", 0) >= revision)
      inForce = known.value("in_force", inForce);
  }
  if (aContext.format == OutputFormat::Json)
    std::cout << json{ { "revision", revision }, { "in_force", inForce } }.dump() << "\n";
  else
    std::cout << "revision " << revision << ", in force: " << inForce << "\n";
  bool const satisfied = aContext.wait == WaitPolicy::ReturnImmediately || inForce == "everywhere";
  return satisfied ? ExitCode::Success : ExitCode::NotInForce;
}

ExitCode
ShowEntry(CommandContext const& aContext)
{
  auto exit = ExitCode::Success;
  auto const& address = aContext.client.Settings().callerAddress;
  auto const body = ParseBody(aContext.client.Call(address, HttpMethod::Get, "/v1/entry"), exit);
  if (!body)
    return exit;
  if (aContext.format == OutputFormat::Json)
    std::cout << body->dump() << "\n";
  else
    PrintColumns({ "ADDRESS", "KEEP MS", "KEY PREFIX" },
                 { { body->value("address", ""), (*body)["keep_ms"].dump(), body->value("key_prefix", "") } });
  return exit;
}

ExitCode
ShowKnownState(CommandContext const& aContext, std::string const& aMetricsAddress)
{
  auto exit = ExitCode::Success;
  auto const body = ParseBody(aContext.client.Call(aMetricsAddress, HttpMethod::Get, "/beliefs"), exit);
  if (body)
    PrintKnownState(*body, aContext.format);
  return exit;
}

/// Reads the first word of a file.
static std::optional<std::string>
ReadKey(std::string const& aFile)
{
  std::ifstream stream(aFile);
  std::string key;
  if (!(stream >> key)) {
    std::cerr << "hornbeamctl: " << aFile << ": no key can be read\n";
    return std::nullopt;
  }
  return key;
}

ExitCode
ExplainRequest(CommandContext const& aContext, ExplainOptions const& aOptions)
{
  auto const key = aOptions.keyFile.empty() ? std::optional(std::string()) : ReadKey(aOptions.keyFile);
  if (!key)
    return ExitCode::InvalidUse;
  std::string target = "/explain?";
  auto const add = [&](std::string_view aName, std::string const& aValue) {
    auto const encoded = kj::encodeUriComponent(kj::arrayPtr(aValue.data(), aValue.size()));
    if (!aValue.empty())
      target.append(target.ends_with('?') ? "" : "&").append(aName).append("=").append(encoded.cStr());
  };
  add("host", aOptions.host);
  add("path", aOptions.path);
  add("key", *key);
  add("prefix", aOptions.prefix);
  add("items", aOptions.items);
  auto exit = ExitCode::Success;
  auto const body = ParseBody(aContext.client.Call(aOptions.front, HttpMethod::Get, target), exit);
  if (body)
    PrintExplanation(*body, aContext.format);
  return exit;
}

ExitCode
ShowStatus(CommandContext const& aContext)
{
  auto exit = ExitCode::Success;
  auto const body = ParseBody(aContext.client.Administer(HttpMethod::Get, "/v1/status"), exit);
  if (body)
    PrintStatus(*body, aContext.format);
  return exit;
}

ExitCode
ListRows(CommandContext const& aContext, std::string const& aKind)
{
  auto exit = ExitCode::Success;
  auto const path = aKind.empty() ? std::string("/v1/table") : "/v1/table?kind=" + aKind;
  auto const body = ParseBody(aContext.client.Administer(HttpMethod::Get, path), exit);
  if (body)
    PrintRows((*body)["rows"], aContext.format);
  return exit;
}

ExitCode
GetRow(CommandContext const& aContext, std::string const& aRow)
{
  auto exit = ExitCode::Success;
  auto const body = ParseBody(aContext.client.Administer(HttpMethod::Get, "/v1/table/rows/" + aRow), exit);
  if (body)
    PrintRows(json::array({ *body }), aContext.format);
  return exit;
}

static std::string
IfMatchHeader(std::string const& aRevision)
{
  return aRevision.empty() ? "*" : "\"" + aRevision + "\"";
}

ExitCode
SetCells(CommandContext const& aContext,
         std::string const& aRow,
         std::vector<std::string> const& aCells,
         std::string const& aIfMatch,
         bool aCreate)
{
  json cells = json::object();
  for (auto const& cell : aCells) {
    auto const separator = cell.find(kCellSeparator);
    if (separator == std::string::npos) {
      std::cerr << "hornbeamctl: '" << cell << "' is not of the form CELL=VALUE\n";
      return ExitCode::InvalidUse;
    }
    cells[cell.substr(0, separator)] = cell.substr(separator + 1);
  }
  auto const method = aCreate ? HttpMethod::Put : HttpMethod::Post;
  auto const path = "/v1/table/rows/" + aRow;
  return FinishEdit(aContext, aContext.client.Administer(method, path, cells.dump(), IfMatchHeader(aIfMatch)));
}

ExitCode
RemoveRow(CommandContext const& aContext, std::string const& aRow, std::string const& aIfMatch)
{
  auto const path = "/v1/table/rows/" + aRow;
  return FinishEdit(aContext, aContext.client.Administer(HttpMethod::Delete, path, "", IfMatchHeader(aIfMatch)));
}

ExitCode
LoadRows(CommandContext const& aContext, std::string const& aFile)
{
  json rows = json::array();
  // yaml-cpp throws on malformed files; commands report failures by their exit codes.
  try {
    auto const document = YAML::LoadFile(aFile);
    for (auto const& row : document["rows"]) {
      json cells = json::object();
      for (auto const& cell : row.second)
        cells[cell.first.Scalar()] = cell.second.Scalar();
      rows.push_back({ { "row", row.first.Scalar() }, { "cells", cells } });
    }
  } catch (YAML::Exception const& exception) {
    std::cerr << "hornbeamctl: " << aFile << ":" << exception.mark.line + 1 << ": " << exception.msg << "\n";
    return ExitCode::InvalidUse;
  }
  json const edit = { { "rows", rows } };
  return FinishEdit(aContext, aContext.client.Administer(HttpMethod::Post, "/v1/table/edits", edit.dump()));
}

ExitCode
SetDataCenterState(CommandContext const& aContext, std::string const& aName, std::string const& aState)
{
  auto const path = "/v1/data-centers/" + aName + "/" + aState;
  return FinishEdit(aContext, aContext.client.Administer(HttpMethod::Post, path, "{}"));
}

ExitCode
SendRequest(CommandContext const& aContext, RequestOptions const& aOptions)
{
  auto& client = aContext.client;
  auto exit = ExitCode::Success;
  auto const entry = ParseBody(client.Call(client.Settings().callerAddress, HttpMethod::Get, "/v1/entry"), exit);
  if (!entry)
    return exit;
  json request = { { "account", aOptions.account }, { "input", aOptions.input } };
  if (aOptions.deadlineMs > 0)
    request["deadline_ms"] = aOptions.deadlineMs;
  if (aOptions.withKey)
    request["key"] = entry->value("key_prefix", "") + "~" + aOptions.key;
  auto const address = entry->value("address", "");
  auto const path = "/v1/pipelines/" + aOptions.pipeline + "/requests";
  auto const result = client.Call(address, HttpMethod::Post, path, request.dump());
  auto const body = json::parse(result.body, nullptr, false);
  if (result.end == HttpCallEnd::Complete && result.status == 200) {
    std::cout << result.body << "\n";
    return ExitCode::Success;
  }
  if (result.end == HttpCallEnd::Complete && body.is_object()) {
    std::cerr << "hornbeamctl: refused (" << body.value("run", "may-have-run") << "): " << body.value("reason", "")
              << ": " << body.value("detail", "") << "\n";
    return ExitCode::Refused;
  }
  std::cerr << "hornbeamctl: no response from " << address << " (may-have-run): " << result.detail << "\n";
  return ExitCode::Unavailable;
}

}
