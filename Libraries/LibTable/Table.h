#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/// Counts the accepted writes of the table. Zero means that no table is known.
using Revision = std::uint64_t;

enum class RowKind
{
  Pipeline,
  Pool,
  Endpoint,
  Account,
  DataCenter,
};

/// Names one row, such as "endpoint/gen-1".
struct RowKey
{
  RowKind kind{ RowKind::Pipeline };
  std::string name;
  bool operator==(RowKey const&) const = default;
  bool operator<(RowKey const& aOther) const
  {
    return this->kind != aOther.kind ? this->kind < aOther.kind : this->name < aOther.name;
  }
};

using Cells = std::map<std::string, std::string>;

/// One row as operators edit it. The revision is that of the table's write which last changed the row.
struct Row
{
  Cells cells;
  Revision revision{ 0 };
};

/// The whole table as the platform's store keeps it. Identifiers of recent edits resolve writes whose answer was lost.
struct TableDocument
{
  Revision revision{ 0 };
  std::map<RowKey, Row> rows;
  std::vector<std::string> recentEdits;
};

enum class OperatorState
{
  In,
  Out,
};

/// A request of a non-repeatable pipeline runs at most once.
enum class Repeatability
{
  Repeatable,
  NotRepeatable,
};

enum class PoolKind
{
  Engine,
  Service,
};

struct PipelineRow
{
  std::string name;
  std::vector<std::string> stages;
  Duration deadline{ 5s };
  Repeatability repeatability{ Repeatability::Repeatable };
};

/// Limits are concurrent requests at one endpoint of the pool.
struct PoolRow
{
  std::string name;
  PoolKind kind{ PoolKind::Engine };
  int coldLimit{ 1 };
  int warmLimit{ 1 };
  Duration expectedService{ 100ms };
};

struct EndpointRow
{
  std::string name;
  std::string pool;
  std::string address;
  std::string dataCenter;
  int weight{ 100 };
  OperatorState state{ OperatorState::In };
};

/// The limit is the number of concurrent requests of the account over all fronts.
struct AccountRow
{
  std::string name;
  int weight{ 1 };
  int limit{ 1 };
};

struct DataCenterRow
{
  std::string name;
  OperatorState state{ OperatorState::In };
};

/// The checked, typed view of a TableDocument.
struct Table
{
  Revision revision{ 0 };
  std::map<std::string, PipelineRow> pipelines;
  std::map<std::string, PoolRow> pools;
  std::map<std::string, EndpointRow> endpoints;
  std::map<std::string, AccountRow> accounts;
  std::map<std::string, DataCenterRow> dataCenters;
};

/// True when operators have taken the endpoint or its data centre out.
bool
IsTakenOut(Table const& aTable, EndpointRow const& aEndpoint);

std::string
ToString(RowKind aKind);

/// "endpoint/gen-1".
std::string
ToString(RowKey const& aKey);

std::optional<RowKey>
ParseRowKey(std::string const& aText, LastReason& aReason);

/// Checks every row and every reference between rows. The reason names the row, the cell and what is allowed.
std::optional<Table>
CompileTable(TableDocument const& aDocument, LastReason& aReason);

}
