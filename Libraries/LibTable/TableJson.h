#pragma once

#include "Table.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

/// Encodes the table as it is kept in the store and sent between fronts:
/// {"revision": 3, "rows": {"pool/generate": {"revision": 1, "cells": {"warm_limit": "16"}}}, "recent_edits": []}
std::string
EncodeTable(TableDocument const& aDocument);

std::optional<TableDocument>
DecodeTable(std::string const& aText, LastReason& aReason);

nlohmann::json
EncodeRow(RowKey const& aKey, Row const& aRow);

/// Decodes {"cell": "value"}. Whole numbers are converted to strings; other types are rejected.
std::optional<Cells>
DecodeCells(nlohmann::json const& aObject, LastReason& aReason);

}
