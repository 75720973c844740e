#include "PlatformFixtures.h"
#include "RawEndpoint.h"

namespace Hornbeam::Testing {

/// A front with two stages and a model endpoint.
struct LimitedPiecesWorld
{
  LimitedPiecesWorld()
    : world(1)
    , encode(this->world.AddEndpoint(EndpointKind::Stage, "encode"))
    , rank(this->world.AddEndpoint(EndpointKind::Stage, "rank"))
  {
    this->world.AddEndpoint(EndpointKind::Model, "model");
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
    this->world.RunFor(50ms);
  }

  CallerResponse Call(std::string const& aChunks, std::string aId = "r1")
  {
    auto request = ModelRequest("/staged/x");
    request.id = std::move(aId);
    request.extraFields[2].second = aChunks;
    return this->world.Call(0, request);
  }

  PlatformWorld world;
  StandInEndpoint& encode;
  StandInEndpoint& rank;
};

// A request with so many pieces that their handles did not fit a header field, or that no memory could hold, ended the
// front and with it the requests of others.
TEST(PlatformLimit, RefusesARequestOfTooManyPiecesBeforeItsStagesRun)
{
  LimitedPiecesWorld staged;
  for (auto const* chunks : { "1,2600", "4294967295,1", "4294967295,4294967295", "1999,2" }) {
    auto const response = staged.Call(chunks);
    EXPECT_EQ(response.status, 413U) << chunks;
    EXPECT_LT(response.duration, 500ms) << chunks;
  }
  EXPECT_TRUE(staged.encode.stageCalls.empty());
  EXPECT_EQ(staged.Call("2,3").status, 200U);
}

// Handles that are longer than usual did not fit a header field either.
TEST(PlatformLimit, RefusesARequestWhoseResultsDoNotFitItsHead)
{
  LimitedPiecesWorld staged;
  staged.encode.includesRequestIds = staged.rank.includesRequestIds = true;
  EXPECT_EQ(staged.Call("1,100", std::string(1000, 'a')).status, 413U);
  EXPECT_TRUE(staged.world.RunUntil([&] { return staged.rank.heldResults.empty(); }));
  EXPECT_EQ(staged.Call("1,8", std::string(1000, 'b')).status, 200U);
}

// A stage endpoint whose answers had no end filled the memory of the front that owns its pool.
TEST(PlatformLimit, ClosesAStageCallWhoseAnswerHasNoEnd)
{
  PlatformWorld world(1);
  RawEndpoint encode(world, "encode", 20995);
  encode.answerOf = [](RequestMessage const& aRequest, std::size_t) {
    RawAnswer answer{ RawHead(aRequest, "Transfer-Encoding: chunked\r\n") };
    answer.repeated = SerializeChunk(std::string(65536, ' '));
    return answer;
  };
  world.AddEndpoint(EndpointKind::Stage, "rank");
  world.AddEndpoint(EndpointKind::Model, "model");
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  world.RunFor(50ms);
  EXPECT_EQ(world.Call(0, ModelRequest("/staged/x")).status, 503U);
  ASSERT_FALSE(encode.seen.empty());
  // What the sockets of both sides hold of each answer.
  static constexpr std::size_t kSocketBytes = 8 << 20;
  EXPECT_LT(encode.sent, encode.seen.size() * kSocketBytes);
}

}
