#include "PlatformFixtures.h"
#include "RawEndpoint.h"

// Endpoints whose process ends while they send a response without a length: their system closes the connection
// regularly.

namespace Hornbeam::Testing {

using namespace Gateway;
using Ending = RawAnswer::Ending;

namespace {

std::string
Events(unsigned aFirst, unsigned aLast)
{
  std::string events;
  for (unsigned number = aFirst; number <= aLast; ++number)
    events += "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
  return events;
}

/// Two endpoints of one service. The one that gets the first request ends with its answer.
struct EndingWorld
{
  EndingWorld(std::string const& aService, std::function<RawAnswer(RequestMessage const&)> aFirst)
  {
    for (unsigned index = 0; index < 2; ++index) {
      this->endpoints.push_back(std::make_unique<RawEndpoint>(this->world, aService, 20981 + index));
      this->endpoints.back()->answerOf = [this, index, aFirst](RequestMessage const& aRequest, std::size_t) {
        if (this->requests++ > 0)
          return RawAnswer{ RawHead(aRequest) + Events(this->requests == 2 ? 4 : 1, 5), Ending::Close };
        this->endpoints[index]->StopListening();
        return aFirst(aRequest);
      };
    }
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
    this->world.RunFor(50ms);
  }

  PlatformWorld world{ 1 };
  std::vector<std::unique_ptr<RawEndpoint>> endpoints;
  unsigned requests{ 0 };
};

RawAnswer
PartOfAnswer(RequestMessage const& aRequest)
{
  return { RawHead(aRequest) + Events(1, 3), Ending::Close };
}

CallerRequest
UnsafeRequest()
{
  CallerRequest request;
  request.target = "/plain/x";
  return request;
}

}

// The part of a response that an endpoint had sent when it crashed looked complete.
TEST(PlatformEndCheck, DoesNotTakeTheEndOfAnEndpointForTheEndOfItsAnswer)
{
  EndingWorld safe("ledger", PartOfAnswer);
  auto const retried = safe.world.Call(0, SafeRequest());
  EXPECT_EQ(retried.end, CallEnd::Complete);
  EXPECT_EQ(retried.body, Events(4, 5));
  EXPECT_EQ(safe.requests, 2U);
}

// As above, for a request that may run once.
TEST(PlatformEndCheck, FailsAnAnswerThatMayNotBeAskedForAgain)
{
  EndingWorld unsafe("ledger", PartOfAnswer);
  EXPECT_EQ(unsafe.world.Call(0, UnsafeRequest()).status, 502U);
  EXPECT_EQ(unsafe.requests, 1U);
}

// A stream that stopped between two events because its endpoint crashed looked complete.
TEST(PlatformEndCheck, GoesOnWithAStreamWhoseEndpointEnded)
{
  EndingWorld streaming("model", PartOfAnswer);
  auto const resumed = streaming.world.Call(0, ModelRequest("/model/x"));
  EXPECT_EQ(resumed.end, CallEnd::Complete);
  EXPECT_EQ(resumed.body, Events(1, 5));
  EXPECT_EQ(streaming.requests, 2U);
}

// An endpoint that stops by plan may end its last responses after it has stopped listening.
TEST(PlatformEndCheck, AcceptsTheLastAnswersOfAnEndpointThatLeaves)
{
  auto const last = [](RequestMessage const& aRequest) {
    return RawAnswer{ RawHead(aRequest, "Server-Leaving: 1\r\n") + "whole", Ending::Close };
  };
  EndingWorld leaving("ledger", last);
  auto const response = leaving.world.Call(0, SafeRequest());
  EXPECT_EQ(response.end, CallEnd::Complete);
  EXPECT_EQ(response.body, "whole");
  EXPECT_EQ(leaving.requests, 1U);
}

}
