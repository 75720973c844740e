#include "TableJson.h"

namespace Hornbeam {

using nlohmann::json;

json
EncodeRow(RowKey const& aKey, Row const& aRow)
{
  return { { "row", ToString(aKey) }, { "revision", aRow.revision }, { "cells", aRow.cells } };
}

std::string
EncodeTable(TableDocument const& aDocument)
{
  json rows = json::object();
  for (auto const& [key, row] : aDocument.rows)
    rows[ToString(key)] = { { "revision", row.revision }, { "cells", row.cells } };
  json const document = { { "revision", aDocument.revision },
                          { "rows", rows },
                          { "recent_edits", aDocument.recentEdits } };
  return document.dump();
}

static std::optional<TableDocument>
FailDecode(std::string aDetail, LastReason& aReason)
{
  aReason = { ReasonCode::InvalidInput, std::move(aDetail) };
  return std::nullopt;
}

std::optional<Cells>
DecodeCells(json const& aObject, LastReason& aReason)
{
  if (!aObject.is_object()) {
    aReason = { ReasonCode::InvalidInput, "cells must be an object of column names and values" };
    return std::nullopt;
  }
  Cells cells;
  for (auto const& [name, value] : aObject.items()) {
    if (value.is_string()) {
      cells[name] = value.get<std::string>();
      continue;
    }
    if (!value.is_number_integer()) {
      aReason = { ReasonCode::InvalidInput, "cell '" + name + "' must be a text or a whole number" };
      return std::nullopt;
    }
    cells[name] = value.dump();
  }
  return cells;
}

std::optional<TableDocument>
DecodeTable(std::string const& aText, LastReason& aReason)
{
  auto const document = json::parse(aText, nullptr, false);
  if (!document.is_object() || !document.contains("rows") || !document["rows"].is_object())
    return FailDecode("the table must be a JSON object with an object of rows", aReason);
  TableDocument table;
  table.revision = document.value("revision", Revision(0));
  table.recentEdits = document.value("recent_edits", std::vector<std::string>());
  for (auto const& [name, row] : document["rows"].items()) {
    auto const key = ParseRowKey(name, aReason);
    if (!key)
      return std::nullopt;
    auto const cells = DecodeCells(row.value("cells", json::object()), aReason);
    if (!cells)
      return std::nullopt;
    table.rows[*key] = { *cells, row.value("revision", Revision(0)) };
  }
  return table;
}

}
