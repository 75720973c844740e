#pragma once

/// LibTable: the operators' configuration table of weights and limits: rows, validation, edits and JSON encoding.

#include "Columns.h"
#include "Edit.h"
#include "Table.h"
#include "TableJson.h"
