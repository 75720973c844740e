#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Hornbeam {

enum class OutputFormat
{
  Table,
  Json,
};

/// Prints rows under a heading, with columns as wide as their widest cell.
void
PrintColumns(std::vector<std::string> const& aHeading, std::vector<std::vector<std::string>> const& aRows);

/// Prints the rows of a table of weights and limits.
void
PrintRows(nlohmann::json const& aRows, OutputFormat aFormat);

/// Prints the state last known to a front on the platform.
void
PrintKnownState(nlohmann::json const& aState, OutputFormat aFormat);

/// Prints where a front would send a request, and what it knows of each endpoint.
void
PrintExplanation(nlohmann::json const& aExplanation, OutputFormat aFormat);

void
PrintStatus(nlohmann::json const& aStatus, OutputFormat aFormat);

}
