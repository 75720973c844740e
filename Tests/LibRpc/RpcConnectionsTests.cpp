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

// A response that was still arriving looked like none, so the call ended as if the peer were silent.
TEST(ReceivingStream, TellsThatAMessageIsArriving)
{
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  auto pipe = kj::newTwoWayPipe();
  ReceivingStream stream(kj::mv(pipe.ends[0]), clock);
  char message[8];
  auto reading = stream.tryRead(message, sizeof(message), sizeof(message)).eagerlyEvaluate(nullptr);
  EXPECT_FALSE(stream.Received().partial);
  pipe.ends[1]->write("1234", 4).wait(loop.Io().waitScope);
  EXPECT_TRUE(stream.Received().partial);
  EXPECT_EQ(stream.Received().count, 4U);
  pipe.ends[1]->write("5678", 4).wait(loop.Io().waitScope);
  EXPECT_EQ(reading.wait(loop.Io().waitScope), 8U);
  EXPECT_FALSE(stream.Received().partial);
  EXPECT_EQ(std::string_view(message, 8), "12345678");
}

}
