#include <LibGateway/LibGateway.h>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace Hornbeam::Gateway {

static std::optional<GatewaySettings>
Load(std::string const& aMachine, std::vector<std::string>& aErrors)
{
  auto const file = testing::TempDir() + "gateway-settings-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(file) << "name: f\ndata_center: a\nregion: r\nmachine:\n  cores: 1\n"
                      << aMachine
                      << "addresses:\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  directory: 127.0.0.1:3\n"
                         "  peers: 127.0.0.1:4\n  metrics: 127.0.0.1:5\nstore:\n  address: 127.0.0.1:6\nseeds: []\n"
                         "shutdown:\n  grace_s: 8\ndirectory:\n  longest_lifetime_s: 2\n"
                         "retries:\n  ratio: 0.2\n  window_s: 10\n  slack: 50\ncold:\n  overshoot: 1.5\n  slack: 5\n";
  auto settings = LoadGatewaySettings(file, aErrors);
  std::remove(file.c_str());
  return settings;
}

// Settings written before there were limits for callers did not load, or the limits of the smallest machine had no room
// for one whole request and its copies.
TEST(GatewaySettings, DeriveTheLimitsOfCallersFromTheMachine)
{
  std::vector<std::string> errors;
  auto const without = Load("", errors);
  ASSERT_TRUE(without) << testing::PrintToString(errors);
  EXPECT_EQ(without->callerLimits.bytes, 64000000U);
  EXPECT_EQ(without->callerLimits.connections, 1948U);
  auto const smallest = Load("  memory_mb: 120\n  max_descriptors: 3075\n", errors);
  ASSERT_TRUE(smallest);
  EXPECT_GT(smallest->callerLimits.bytes, 3U * (4U << 20) + 65536U);
  EXPECT_EQ(smallest->callerLimits.connections, 1437U);
  auto const stated = Load("  memory_mb: 120\ncallers:\n  memory_mb: 16\n  max_connections: 60\n", errors);
  ASSERT_TRUE(stated);
  EXPECT_EQ(stated->callerLimits.bytes, 16000000U);
  EXPECT_EQ(stated->callerLimits.connections, 60U);
  EXPECT_EQ(stated->callerLimits.internalConnections, 15U);
  EXPECT_FALSE(Load("  memory_mb: 120\ncallers:\n  memory_mb: 121\n", errors));
}

}
