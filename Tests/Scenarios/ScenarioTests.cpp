#include <World/Scenario.h>
#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

constexpr std::uint64_t kSeed = 20261204;

std::vector<std::string>
ScenarioFiles()
{
  std::vector<std::string> files;
  for (auto const& entry : std::filesystem::directory_iterator(HORNBEAM_SCENARIOS)) {
    if (entry.path().extension() == ".yaml")
      files.push_back(entry.path().string());
  }
  std::ranges::sort(files);
  return files;
}

class ScenarioTest : public testing::TestWithParam<std::string>
{};

TEST_P(ScenarioTest, Holds)
{
  auto const scenario = LoadScenario(GetParam());
  for (auto const& fault : RunScenario(scenario, kSeed))
    ADD_FAILURE() << scenario.name << " (seed " << kSeed << "): " << fault;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ScenarioTest, testing::ValuesIn(ScenarioFiles()), [](auto const& aInfo) {
  auto name = std::filesystem::path(aInfo.param).stem().string();
  std::ranges::replace(name, '-', '_');
  return name;
});

}

int
main(int aCount, char** aArguments)
{
  testing::InitGoogleTest(&aCount, aArguments);
  google::InitGoogleLogging(aArguments[0]);
  FLAGS_logtostderr = true;
  if (std::getenv("HORNBEAM_LOG") == nullptr)
    FLAGS_minloglevel = google::GLOG_ERROR;
  return RUN_ALL_TESTS();
}
