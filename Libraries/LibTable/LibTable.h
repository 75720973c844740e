#pragma once

/// LibTable: the one table of weights and limits that operators steer by: rows, checks, edits, JSON form.

#include "Columns.h"
#include "Edit.h"
#include "Table.h"
#include "TableJson.h"
