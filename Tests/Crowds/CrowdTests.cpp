#include "CrowdWorld.h"
#include <gtest/gtest.h>

namespace Hornbeam::Testing {

using namespace Gateway;

/// The settings of CrowdWorld give callers 16 MB and 60 connections. The bounds add what an idle front has (about
/// 11 MB and 25 descriptors), what the allocator keeps, and one connection to an endpoint for each caller.
static constexpr std::size_t kMaxPeakBytes = 48 << 20;
static constexpr std::size_t kMaxDescriptors = 160;
static constexpr unsigned kCallers = 150;
static constexpr Duration kCrowdTime = 2500ms;
static constexpr std::size_t kChunkBytes = 65536;

static std::string
HeadOf(std::string const& aStart, std::string const& aFraming)
{
  return aStart +
         " HTTP/1.1\r\nHost: h.example\r\nHornbeamfront-Request-Id: c1\r\nHornbeamfront-Deadline-Ms: 20000\r\n"
         "Authorization: Bearer key-1\r\n" +
         aFraming + "\r\n";
}

static std::string
ChunkedHead()
{
  return HeadOf("POST /plain/x", "Transfer-Encoding: chunked\r\n");
}

/// Checks what must hold whatever callers do.
static void
CheckCrowd(CrowdWorld& aWorld, std::vector<std::string> const& aAddresses, CrowdInput const& aInput)
{
  aWorld.RunCrowd(aAddresses, kCallers, aInput, kCrowdTime);
  EXPECT_TRUE(aWorld.FrontLives());
  aWorld.EndCrowd();
  EXPECT_EQ(aWorld.SendOrdinaryRequest(), 200U);
  EXPECT_TRUE(aWorld.FrontLives());
  testing::Test::RecordProperty("peak_bytes", std::to_string(aWorld.HighestUsage().peakBytes));
  testing::Test::RecordProperty("descriptors", std::to_string(aWorld.HighestUsage().descriptors));
  EXPECT_LE(aWorld.HighestUsage().peakBytes, kMaxPeakBytes);
  EXPECT_LE(aWorld.HighestUsage().descriptors, kMaxDescriptors);
}

static void
CheckCrowd(CrowdInput const& aInput)
{
  CrowdWorld world;
  CheckCrowd(world, { world.Addresses().callers }, aInput);
}

// Bodies in large chunks that stopped one byte short were held whole, for each of any number of connections.
TEST(Crowd, LargeChunksOneByteShort)
{
  CrowdInput input{ ChunkedHead(), SerializeChunk(std::string(kChunkBytes, 'x')), 31 };
  input.last = "0\r\n\r";
  CheckCrowd(input);
}

// Bodies in chunks of one byte cost the parser more than their size.
TEST(Crowd, ChunksOfOneByteWithExtensions)
{
  std::string chunks;
  while (chunks.size() < kChunkBytes)
    chunks += "1;extension=" + std::string(40, 'e') + "\r\nx\r\n";
  CheckCrowd({ ChunkedHead(), chunks, 20, "0\r\n\r" });
}

// A trailer that never ends is held until it is parsed.
TEST(Crowd, EndlessTrailer)
{
  std::string fields;
  while (fields.size() < 1000)
    fields += "Field: " + std::string(40, 't') + "\r\n";
  CheckCrowd({ ChunkedHead() + SerializeChunk(std::string(kChunkBytes, 'x')) + "0\r\n", fields, 1000, "" });
}

// Bodies whose declared length is over the limit are refused by their heads; their bytes arrive all the same.
TEST(Crowd, DeclaredBodiesOverTheLimit)
{
  CheckCrowd({ HeadOf("POST /plain/x", "Content-Length: 3000000\r\n"), std::string(kChunkBytes, 'x'), 32, "" });
}

// Chunked bodies were held up to the limit, and their buffers were kept after they had been refused.
TEST(Crowd, ChunkedBodiesOverTheLimit)
{
  CheckCrowd({ ChunkedHead(), SerializeChunk(std::string(kChunkBytes, 'x')), 33, "" });
}

// Heads that stop short hold a connection until the timeout.
TEST(Crowd, HeadsThatStopShort)
{
  CheckCrowd({ "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nField: " + std::string(7000, 'f'), "", 0, "" });
}

// Connections that were only opened used up the descriptors of the process.
TEST(Crowd, ConnectionsThatOnlyOpen)
{
  CheckCrowd({});
}

// Responses to callers that never read were held for each of any number of connections.
TEST(Crowd, ReadersThatNeverRead)
{
  CrowdInput input{ HeadOf("POST /model/x", "Content-Length: 0\r\n") };
  input.reads = ReadsResponses::No;
  CheckCrowd(input);
}

// Pipelined requests wait in memory while the first one is answered.
TEST(Crowd, PipelinedRequests)
{
  std::string requests;
  for (unsigned index = 0; index < 100; ++index)
    requests += HeadOf("GET /safe/x", "");
  CrowdInput input{ requests, requests, 20 };
  input.reads = ReadsResponses::No;
  CheckCrowd(input);
}

// The addresses for readiness, directory and metrics held bodies of any caller, up to 4 MiB each.
TEST(Crowd, BodiesAtTheOtherAddresses)
{
  CrowdWorld world;
  auto const& addresses = world.Addresses();
  CheckCrowd(world,
             { addresses.readiness, addresses.directory, addresses.metrics },
             { ChunkedHead(), SerializeChunk(std::string(kChunkBytes, 'x')), 16, "0\r\n\r" });
}

}
