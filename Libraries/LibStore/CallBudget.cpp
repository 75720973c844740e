#include "CallBudget.h"
#include <algorithm>

namespace Hornbeam {

bool
TakeCall(CallBudget& aBudget, MonotonicTime aNow)
{
  std::chrono::duration<double> const elapsed = aNow - aBudget.refilledAt;
  aBudget.tokens = std::min(aBudget.burst, aBudget.tokens + elapsed.count() * aBudget.ratePerSecond);
  aBudget.refilledAt = aNow;
  if (aBudget.tokens < 1)
    return false;
  aBudget.tokens -= 1;
  return true;
}

}
