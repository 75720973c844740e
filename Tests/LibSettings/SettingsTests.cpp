#include <LibSettings/LibSettings.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

std::string const kValidSettings = "name: front-1\n"
                                   "deployment: example\n"
                                   "data_center: viti-1\n"
                                   "caller_address: 127.0.0.1:8080\n"
                                   "peer_address: 127.0.0.1:8081\n"
                                   "administration_address: 127.0.0.1:8082\n"
                                   "administration_token: example-token\n"
                                   "store:\n"
                                   "  address: 127.0.0.1:8083\n";

TEST(FrontSettings, AcceptsValidSettingsAndKeepsDefaults)
{
  std::vector<SettingsError> errors;
  auto const settings =
    ParseFrontSettings(kValidSettings + "membership:\n  lease_ms: 3000\n  removal_ms: 4000\n", "f", errors);
  ASSERT_TRUE(settings) << ToString(errors.front());
  EXPECT_EQ(settings->membership.leaseDuration, 3s);
  EXPECT_EQ(settings->membership.heartbeatInterval, 500ms);
}

TEST(FrontSettings, ReportsEveryErrorWithFileLineKeyAndAllowedValues)
{
  std::vector<SettingsError> errors;
  std::string const invalid = "name: front 1\n"
                              "deployment: example\n"
                              "data_center: viti-1\n"
                              "caller_address: nowhere\n"
                              "peer_address: 127.0.0.1:8081\n"
                              "administration_address: 127.0.0.1:8082\n"
                              "administration_token: short\n"
                              "store:\n"
                              "  adress: 127.0.0.1:8083\n"
                              "membership:\n"
                              "  lease_ms: soon\n";
  EXPECT_FALSE(ParseFrontSettings(invalid, "front.yaml", errors));
  std::string all;
  for (auto const& error : errors)
    all += ToString(error) + "\n";
  for (char const* expected : { "front.yaml:1: name:",
                                "front.yaml:4: caller_address: allowed is an address with a port",
                                "front.yaml:7: administration_token:",
                                "front.yaml:9: store.adress: allowed is one of the keys store.address",
                                "front.yaml:11: membership.lease_ms: allowed is a whole number from 200 to 20000",
                                "front.yaml: store.address:" })
    EXPECT_NE(all.find(expected), std::string::npos) << expected << " is not in\n" << all;
}

TEST(FrontSettings, ValidatesConstraintsBetweenKeys)
{
  std::vector<SettingsError> errors;
  EXPECT_FALSE(ParseFrontSettings(kValidSettings + "membership:\n  lease_ms: 900\n", "f", errors));
  EXPECT_FALSE(errors.empty());
}

TEST(FrontSettings, ChecksTheGraceTimeOfAShutdown)
{
  std::vector<SettingsError> errors;
  auto settings = ParseFrontSettings(kValidSettings + "callers:\n  keep_address_s: 60\n", "f", errors);
  ASSERT_TRUE(settings) << ToString(errors.front());
  EXPECT_EQ(settings->shutdownGrace, 78100ms);
  settings =
    ParseFrontSettings(kValidSettings + "callers:\n  keep_address_s: 2\nshutdown:\n  grace_s: 9\n", "f", errors);
  ASSERT_TRUE(settings) << ToString(errors.front());
  EXPECT_EQ(settings->shutdownGrace, 9s);
  // Callers would still use the address when the process is killed.
  EXPECT_FALSE(ParseFrontSettings(kValidSettings + "shutdown:\n  grace_s: 35\n", "f", errors));
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors.front().key, "shutdown.grace_s");
  EXPECT_FALSE(ParseFrontSettings(kValidSettings + "shutdown:\n  grace_s: soon\n", "f", errors));
}

TEST(FrontSettings, RejectsMalformedYaml)
{
  std::vector<SettingsError> errors;
  EXPECT_FALSE(ParseFrontSettings("a: [", "f", errors));
  EXPECT_FALSE(ParseFrontSettings("- a", "f", errors));
  EXPECT_EQ(errors.size(), 2U);
}

}
