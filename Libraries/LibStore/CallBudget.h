#pragma once

#include <LibCore/LibCore.h>

namespace Hornbeam {

/// A token bucket that limits the rate of one front's calls to the store, including long-polling watches.
struct CallBudget
{
  double ratePerSecond{ 20 };
  double burst{ 40 };
  double tokens{ 40 };
  MonotonicTime refilledAt{};
};

/// Takes one token from the bucket. Returns false if it is empty.
bool
TakeCall(CallBudget& aBudget, MonotonicTime aNow);

}
