#pragma once

#include <LibCore/LibCore.h>

namespace Hornbeam {

/// A token bucket over the calls that one front makes to the store, waiting watches included.
struct CallBudget
{
  double ratePerSecond{ 20 };
  double burst{ 40 };
  double tokens{ 40 };
  MonotonicTime filledAt{};
};

/// Takes one call out of the budget; false when it is spent.
bool
TakeCall(CallBudget& aBudget, MonotonicTime aNow);

}
