#include "EndpointLoad.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

/// A fleet of 140 endpoints with 24 slots that serve 363 requests per second.
static LoadShape
LargeShape(unsigned aFronts)
{
  return {
    aFronts, 140, 24, { { 108, { 9190, 100 }, 2631 }, { 213, { 2368, 45 }, 3009 }, { 41, { 715, 560 }, 1015 } }
  };
}

/// A fleet of 60 endpoints with 64 slots that serve 173 requests per second.
static LoadShape
SmallShape(unsigned aFronts)
{
  return {
    aFronts, 60, 64, { { 51.5, { 9190, 100 }, 2631 }, { 102, { 2368, 45 }, 3009 }, { 19.5, { 715, 560 }, 1015 } }
  };
}

/// Runs a pattern, prints its figures for the design note, and returns them.
static LoadFigures
Simulate(std::string const& aName, LoadShape const& aShape, LoadPolicy aPolicy, LoadPattern aPattern)
{
  auto const figures = SimulateEndpointLoad(aShape, aPolicy, aPattern, 1);
  static char const* const policies[] = { "own counts", "exchange", "all-knowing" };
  printf("%s, %u fronts, %u endpoints, %s: busiest/mean %.2f, wait p99 %.3f s, read again %.3f\n",
         aName.c_str(),
         aShape.fronts,
         aShape.endpoints,
         policies[int(aPolicy)],
         figures.busiest,
         figures.wait,
         figures.readAgain);
  return figures;
}

struct PatternCase
{
  std::string name;
  unsigned fronts{ 81 };
  unsigned endpoints{ 140 };
  LoadPattern pattern{ LoadPattern::Steady };
  /// Greatest busiest over mean and wait with the exchange, each over that with own counts. The wait may be longer
  /// where own counts let few endpoints queue: parts that are read again are work, too.
  double busiest{ 1 };
  double wait{ 1 };
};

class EndpointLoad : public testing::TestWithParam<PatternCase>
{};

// Fronts that choose by stale sums, or by their own counts, overload endpoints in turns.
TEST_P(EndpointLoad, IsMoreEvenWithTheExchange)
{
  auto const& param = GetParam();
  auto const shape = param.endpoints == 140 ? LargeShape(param.fronts) : SmallShape(param.fronts);
  auto const own = Simulate(param.name, shape, LoadPolicy::OwnCounts, param.pattern);
  auto const exchange = Simulate(param.name, shape, LoadPolicy::Exchange, param.pattern);
  auto const best = Simulate(param.name, shape, LoadPolicy::AllKnowing, param.pattern);
  EXPECT_LT(exchange.busiest, own.busiest * param.busiest);
  EXPECT_LT(exchange.wait, own.wait * param.wait);
  EXPECT_LT(exchange.readAgain, best.readAgain * 1.25 + 0.02);
}

INSTANTIATE_TEST_SUITE_P(Patterns,
                         EndpointLoad,
                         testing::Values(PatternCase{ "Steady" },
                                         PatternCase{ "SteadySmall", 81, 60, LoadPattern::Steady, 0.9, 1.1 },
                                         PatternCase{ "Steady7", 7 },
                                         PatternCase{ "Steady195", 195 },
                                         PatternCase{ "Steady370", 370 },
                                         PatternCase{ "HotPart", 81, 140, LoadPattern::HotPart },
                                         PatternCase{ "SlowThird", 81, 140, LoadPattern::SlowThird },
                                         PatternCase{ "LostThird", 81, 140, LoadPattern::LostThird, 0.8, 1.4 },
                                         PatternCase{ "NewFronts", 81, 140, LoadPattern::NewFronts, 0.9, 1.2 },
                                         PatternCase{ "NoCollectors", 81, 140, LoadPattern::NoCollectors }),
                         [](auto const& aInfo) { return aInfo.param.name; });

}
