#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/// The number of accepted writes to the table. Zero means that no table is known.
using Revision = std::uint64_t;

enum class RowKind
{
  Pipeline,
  Pool,
  Endpoint,
  Account,
  DataCenter,
};

/// Identifies one row, such as "endpoint/gen-1".
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

/// One row as edited by operators. The revision is that of the table write that last changed the row.
struct Row
{
  Cells cells;
  Revision revision{ 0 };
};

/// The table as kept in the platform's store. The identifiers of recent edits show whether a write whose response was
/// lost has been applied.
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

/// A request to a non-repeatable pipeline is executed at most once.
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

/// The limits are the maximum concurrent requests per endpoint of the pool.
struct PoolRow
{
  std::string name;
  PoolKind kind{ PoolKind::Engine };
  int coldLimit{ 1 };
  int warmLimit{ 1 };
  Duration expectedServiceTime{ 100ms };
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

/// The limit is the account's maximum number of concurrent requests across all fronts.
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

/// The validated, typed view of a TableDocument.
struct Table
{
  Revision revision{ 0 };
  std::map<std::string, PipelineRow> pipelines;
  std::map<std::string, PoolRow> pools;
  std::map<std::string, EndpointRow> endpoints;
  std::map<std::string, AccountRow> accounts;
  std::map<std::string, DataCenterRow> dataCenters;
};

/// Returns true if operators have taken the endpoint or its data centre out of rotation.
bool
IsOutOfRotation(Table const& aTable, EndpointRow const& aEndpoint);

std::string
ToString(RowKind aKind);

/// Formats the key as "endpoint/gen-1".
std::string
ToString(RowKey const& aKey);

std::optional<RowKey>
ParseRowKey(std::string const& aText, LastReason& aReason);

/// Validates every row and every reference between rows. On failure, the reason names the row, the cell and the allowed
/// values.
std::optional<Table>
CompileTable(TableDocument const& aDocument, LastReason& aReason);

}
