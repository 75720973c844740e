#include <LibGateway/StoreBackOff.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

using Platform::ObjectKind;

static constexpr ObjectKind kKinds[] = { ObjectKind::ServingTable,
                                         ObjectKind::Endpoint,
                                         ObjectKind::DataCenterOutOfRotation,
                                         ObjectKind::Front };

// Guards against retry storms: every watch of every front retries while the store is unavailable for some seconds.
TEST(StoreBackOff, LetsOneWatchRetryWhileTheStoreIsUnavailable)
{
  StoreBackOff backOff;
  std::map<ObjectKind, Duration> next;
  for (auto const kind : kKinds)
    next[kind] = OnStoreFailure(backOff, kind, 0.5);
  unsigned calls = 0;
  for (Duration time{ 0 }; time < 8s; time += 1ms)
    for (auto& [kind, at] : next)
      if (at == time) {
        ++calls;
        at = time + OnStoreFailure(backOff, kind, 0.5);
      }
  // One watch retries at least 400 ms apart, the others every 2 s.
  EXPECT_LE(calls, 40U);
  EXPECT_GE(calls, 10U);
  auto const followers = OnStoreResponse(backOff, ObjectKind::ServingTable);
  EXPECT_EQ(followers.size(), 3U);
  EXPECT_FALSE(followers.contains(ObjectKind::ServingTable));
  EXPECT_TRUE(OnStoreResponse(backOff, ObjectKind::Endpoint).empty());
}

TEST(StoreBackOff, ResetsAfterAResponse)
{
  StoreBackOff backOff;
  for (int index = 0; index < 6; ++index)
    OnStoreFailure(backOff, ObjectKind::Front, 0);
  EXPECT_EQ(OnStoreFailure(backOff, ObjectKind::Front, 0), 400ms);
  OnStoreResponse(backOff, ObjectKind::Front);
  EXPECT_EQ(OnStoreFailure(backOff, ObjectKind::Endpoint, 0), 50ms);
}

}
