#pragma once

#include "AdministrationClient.h"
#include "Output.h"

namespace Hornbeam {

enum class WaitPolicy
{
  /// Return only once the change is in force everywhere.
  WaitForForce,
  ReturnAtOnce,
};

/// What all commands share.
struct CommandContext
{
  AdministrationClient& client;
  OutputFormat format{ OutputFormat::Table };
  WaitPolicy wait{ WaitPolicy::WaitForForce };
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

ExitCode
ShowEntry(CommandContext const& aContext);

ExitCode
ShowStatus(CommandContext const& aContext);

/// The beliefs of a front on the platform, asked at its metrics address.
ExitCode
ShowBeliefs(CommandContext const& aContext, std::string const& aMetricsAddress);

ExitCode
ListRows(CommandContext const& aContext, std::string const& aKind);

ExitCode
GetRow(CommandContext const& aContext, std::string const& aRow);

/// Changes the cells given as NAME=VALUE; with aCreate the row is made with just these cells.
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
MoveDataCenter(CommandContext const& aContext, std::string const& aName, std::string const& aState);

ExitCode
SendRequest(CommandContext const& aContext, RequestOptions const& aOptions);

}
