#pragma once

namespace Hornbeam {

/// Retries are a share of fresh requests, so that they cannot multiply an overload.
struct RetryBudget
{
  double tokens{ 10 };
  double most{ 10 };
  double perRequest{ 0.2 };
};

void
OnNewRequest(RetryBudget& aBudget);

/// Takes one retry out of the budget; false when it is spent.
bool
TakeRetry(RetryBudget& aBudget);

}
