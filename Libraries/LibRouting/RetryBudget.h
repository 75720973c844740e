#pragma once

namespace Hornbeam {

/// Limits retries to a fraction of new requests, so that they cannot amplify an overload.
struct RetryBudget
{
  double tokens{ 10 };
  double maxTokens{ 10 };
  double tokensPerRequest{ 0.2 };
};

void
OnNewRequest(RetryBudget& aBudget);

/// Takes one retry from the budget; returns false if the budget is exhausted.
bool
TakeRetry(RetryBudget& aBudget);

}
