#include "RetryBudget.h"
#include <algorithm>

namespace Hornbeam {

void
OnNewRequest(RetryBudget& aBudget)
{
  aBudget.tokens = std::min(aBudget.maxTokens, aBudget.tokens + aBudget.tokensPerRequest);
}

bool
TakeRetry(RetryBudget& aBudget)
{
  if (aBudget.tokens < 1)
    return false;
  aBudget.tokens -= 1;
  return true;
}

}
