#pragma once

#include "AdministrationClient.h"
#include "Output.h"

namespace Hornbeam {

enum class WaitPolicy
{
  /// Return only once the change is in force everywhere.
  WaitUntilInForce,
  ReturnImmediately,
};

/// The options that all commands share.
struct CommandContext
{
  AdministrationClient& client;
  OutputFormat format{ OutputFormat::Table };
  WaitPolicy wait{ WaitPolicy::WaitUntilInForce };
};

/// A request to a pipeline from the command line.
struct RequestOptions
{
  std::string pipeline;
  std::string account;
  std::string input;
  int deadlineMs{ 0 };
  bool withKey{ false };
  std::string key;
};

/// A request whose routing is to be explained.
struct ExplainOptions
{
  /// The metrics address of the front that is asked.
  std::string front;
  std::string host;
  std::string path;
  /// A file whose first word is the account's key; empty for none.
  std::string keyFile;
  /// The prompt's parts and the items of each stage, as in a request's headers.
  std::string prefix;
  std::string items;
};

ExitCode
ShowEntry(CommandContext const& aContext);

ExitCode
ShowStatus(CommandContext const& aContext);

/// Shows the state last known to a front on the platform, read from its metrics address.
ExitCode
ShowKnownState(CommandContext const& aContext, std::string const& aMetricsAddress);

/// Shows where a front would send a request now and why; nothing is sent.
ExitCode
ExplainRequest(CommandContext const& aContext, ExplainOptions const& aOptions);

ExitCode
ListRows(CommandContext const& aContext, std::string const& aKind);

ExitCode
GetRow(CommandContext const& aContext, std::string const& aRow);

/// Sets the cells given as NAME=VALUE. With aCreate, creates the row with exactly these cells or replaces all of them.
ExitCode
SetCells(CommandContext const& aContext,
         std::string const& aRow,
         std::vector<std::string> const& aCells,
         std::string const& aIfMatch,
         bool aCreate);

ExitCode
RemoveRow(CommandContext const& aContext, std::string const& aRow, std::string const& aIfMatch);

/// Loads the rows of a YAML file in one edit.
ExitCode
LoadRows(CommandContext const& aContext, std::string const& aFile);

ExitCode
SetDataCenterState(CommandContext const& aContext, std::string const& aName, std::string const& aState);

ExitCode
SendRequest(CommandContext const& aContext, RequestOptions const& aOptions);

}
