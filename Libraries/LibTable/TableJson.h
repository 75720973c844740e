#pragma once

#include "Table.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

/// The form of the table in the store and between fronts:
/// {"revision": 3, "rows": {"pool/generate": {"revision": 1, "cells": {"warm_limit": "16"}}}, "recent_edits": []}
std::string
EncodeTable(TableDocument const& aDocument);

std::optional<TableDocument>
DecodeTable(std::string const& aText, LastReason& aReason);

nlohmann::json
EncodeRow(RowKey const& aKey, Row const& aRow);

/// Reads {"cell": "value"}; numbers and booleans are taken as their text.
std::optional<Cells>
DecodeCells(nlohmann::json const& aObject, LastReason& aReason);

}
