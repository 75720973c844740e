#include "CallBudget.h"
#include <algorithm>

namespace Hornbeam {

bool
TakeCall(CallBudget& aBudget, MonotonicTime aNow)
{
  std::chrono::duration<double> const elapsed = aNow - aBudget.filledAt;
  aBudget.tokens = std::min(aBudget.burst, aBudget.tokens + elapsed.count() * aBudget.ratePerSecond);
  aBudget.filledAt = aNow;
  if (aBudget.tokens < 1)
    return false;
  aBudget.tokens -= 1;
  return true;
}

}
