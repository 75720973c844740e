#include <LibRpc/LibRpc.h>
#include <gtest/gtest.h>

namespace Hornbeam {

// The reason that another front gave for a failed call was logged at any length, with line ends.
TEST(FailedCalls, AreDescribedInOneLineOfBoundedLength)
{
  kj::Exception const failure(
    kj::Exception::Type::FAILED, "file", 1, kj::str("no\nI20:00 \"x\"\t", kj::repeat('y', 100000)));
  auto const description = DescribeFailure(failure);
  EXPECT_TRUE(description.starts_with("no I20:00  x  yyy")) << description;
  EXPECT_EQ(description.size(), 256U);
}

}
