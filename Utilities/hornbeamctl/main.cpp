/// hornbeamctl: the command-line tool for operators.

#include "Commands.h"
#include <CLI/CLI.hpp>
#include <iostream>

using namespace Hornbeam;

namespace {

/// The options of all commands.
struct Options
{
  ClientSettings client{ "127.0.0.1:8080", "127.0.0.1:8090", "", 10s };
  std::string metricsAddress;
  std::string format{ "table" };
  bool noWait{ false };
  std::string row;
  std::string kind;
  std::string ifMatch;
  std::string file;
  std::string dataCenter;
  std::vector<std::string> cells;
  bool create{ false };
  RequestOptions request;
  ExplainOptions explain;
};

using Command = std::function<ExitCode(CommandContext const&)>;

void
AddTableCommands(CLI::App& aApplication, Options& aOptions, Command& aCommand)
{
  auto* const table = aApplication.add_subcommand("table", "Read and change the table of weights and limits");
  table->require_subcommand(1);
  auto* const list = table->add_subcommand("list", "List the rows");
  list->add_option("--kind", aOptions.kind, "Only pipeline, pool, endpoint, account or data-center rows");
  list->callback([&] { aCommand = [&](auto const& aContext) { return ListRows(aContext, aOptions.kind); }; });
  auto* const get = table->add_subcommand("get", "Show one row and its revision");
  get->add_option("row", aOptions.row, "The row, such as pool/generate")->required();
  get->callback([&] { aCommand = [&](auto const& aContext) { return GetRow(aContext, aOptions.row); }; });
  auto* const set = table->add_subcommand("set", "Change cells: table set pool/generate warm_limit=16");
  set->add_option("row", aOptions.row, "The row")->required();
  set->add_option("cells", aOptions.cells, "CELL=VALUE, one or more")->required();
  set->add_option("--if-revision", aOptions.ifMatch, "Only if the row still has this revision (0: does not exist)");
  set->add_flag("--create", aOptions.create, "Create the row, or replace all of its cells");
  set->callback([&] {
    aCommand = [&](auto const& aContext) {
      return SetCells(aContext, aOptions.row, aOptions.cells, aOptions.ifMatch, aOptions.create);
    };
  });
  auto* const remove = table->add_subcommand("remove", "Remove a row");
  remove->add_option("row", aOptions.row, "The row")->required();
  remove->add_option("--if-revision", aOptions.ifMatch, "Only if the row still has this revision");
  remove->callback(
    [&] { aCommand = [&](auto const& aContext) { return RemoveRow(aContext, aOptions.row, aOptions.ifMatch); }; });
  auto* const load = table->add_subcommand("load", "Load rows from a YAML file, all or none");
  load->add_option("file", aOptions.file, "The file, with a map of rows under 'rows'")->required();
  load->callback([&] { aCommand = [&](auto const& aContext) { return LoadRows(aContext, aOptions.file); }; });
}

void
AddDataCenterCommands(CLI::App& aApplication, Options& aOptions, Command& aCommand)
{
  auto* const dataCenter =
    aApplication.add_subcommand("data-center", "Take a data centre out of rotation, or bring it back");
  dataCenter->require_subcommand(1);
  for (std::string const state : { "out", "in" }) {
    auto* const command = dataCenter->add_subcommand(
      state, state == "out" ? "Send no new work to its endpoints" : "Send work to its endpoints again, ramping up");
    command->add_option("name", aOptions.dataCenter, "The data centre")->required();
    command->callback([&, state] {
      aCommand = [&, state](auto const& aContext) { return SetDataCenterState(aContext, aOptions.dataCenter, state); };
    });
  }
}

void
AddRequestCommand(CLI::App& aApplication, Options& aOptions, Command& aCommand)
{
  auto* const request = aApplication.add_subcommand("request", "Send one request through a pipeline");
  request->add_option("pipeline", aOptions.request.pipeline, "The pipeline")->required();
  request->add_option("--account", aOptions.request.account, "The client account")->required();
  request->add_option("--input", aOptions.request.input, "The input")->required();
  request->add_option("--deadline-ms", aOptions.request.deadlineMs, "The deadline; the pipeline's own otherwise");
  auto* const key =
    request->add_option("--key", aOptions.request.key, "The caller's suffix of the key of a non-repeatable request");
  request->callback([&, key] {
    aOptions.request.withKey = key->count() > 0;
    aCommand = [&](auto const& aContext) { return SendRequest(aContext, aOptions.request); };
  });
}

void
AddExplainCommand(CLI::App& aApplication, Options& aOptions, Command& aCommand)
{
  auto* const explain =
    aApplication.add_subcommand("explain", "Show where a front on the platform would send a request now, and why");
  auto& options = aOptions.explain;
  explain->add_option("--front", options.front, "The front's metrics address")
    ->envname("HORNBEAM_METRICS_ADDRESS")
    ->required();
  explain->add_option("--host", options.host, "The request's host")->required();
  explain->add_option("--path", options.path, "The request's path")->required();
  explain->add_option("--key-file", options.keyFile, "A file with the client account's key")->check(CLI::ExistingFile);
  explain->add_option("--prefix", options.prefix, "The prompt's parts, as in its header: HASH:TOKENS,...");
  explain->add_option("--items", options.items, "The number of items of each stage, as in its header: N,...");
  explain->add_flag_callback(
    "--json", [&] { aOptions.format = "json"; }, "The same as --output json");
  explain->callback(
    [&] { aCommand = [&](auto const& aContext) { return ExplainRequest(aContext, aOptions.explain); }; });
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "hornbeamctl: administers hornbeamfront.\n\n"
                        "Exit codes: 0 success; 2 invalid use or input; 3 conflict with another edit; 4 front or "
                        "store unavailable; 5 stored but not in force everywhere in time; 6 request refused." };
  Options options;
  Command command;
  application.require_subcommand(1);
  application.add_option("--caller-address", options.client.callerAddress, "A front's address for callers")
    ->envname("HORNBEAM_CALLER_ADDRESS");
  application.add_option("--address", options.client.administrationAddress, "A front's address for operators")
    ->envname("HORNBEAM_ADDRESS");
  application.add_option("--token", options.client.token, "The operators' token")->envname("HORNBEAM_TOKEN");
  application.add_option("--output", options.format, "table or json")->check(CLI::IsMember({ "table", "json" }));
  application.add_flag("--no-wait", options.noWait, "Do not wait until a change is in force everywhere");
  application.add_subcommand("entry", "Show which front to use")->callback([&] { command = ShowEntry; });
  application.add_subcommand("status", "Show the fronts, the revision in force and endpoint phases")->callback([&] {
    command = ShowStatus;
  });
  auto* const knownState =
    application.add_subcommand("beliefs", "Show the state last known to a front on the platform, and its age");
  knownState->add_option("--metrics-address", options.metricsAddress, "The front's metrics address")
    ->envname("HORNBEAM_METRICS_ADDRESS")
    ->required();
  knownState->callback(
    [&] { command = [&](auto const& aContext) { return ShowKnownState(aContext, options.metricsAddress); }; });
  AddTableCommands(application, options, command);
  AddDataCenterCommands(application, options, command);
  AddRequestCommand(application, options, command);
  AddExplainCommand(application, options, command);
  try {
    application.parse(aCount, aArguments);
  } catch (CLI::ParseError const& error) {
    bool const helped = application.exit(error) == 0;
    return static_cast<int>(helped ? ExitCode::Success : ExitCode::InvalidUse);
  }
  google::InitGoogleLogging(aArguments[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  AdministrationClient client(options.client);
  auto const format = options.format == "json" ? OutputFormat::Json : OutputFormat::Table;
  auto const wait = options.noWait ? WaitPolicy::ReturnImmediately : WaitPolicy::WaitUntilInForce;
  return static_cast<int>(command({ client, format, wait }));
}
