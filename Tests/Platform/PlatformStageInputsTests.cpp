#include "PlatformFixtures.h"
#include "RawEndpoint.h"
#include "StandInFront.h"
#include <random>

// Requests whose stages run again for another endpoint while a silent one goes on, ends or fails.

namespace Hornbeam::Testing {

using namespace Gateway;
using Ending = RawAnswer::Ending;

namespace {

/// Pieces of the stages encode and rank; the model endpoint reads the results of both.
constexpr char kPieces[] = "2,3";
constexpr unsigned kAllInputs = 5;
constexpr unsigned kEvents = 5;
/// The time of rank's calls, if no test says otherwise. Those of encode are shorter.
constexpr Duration kRankTime = 150ms;

std::string
Events(unsigned aFirst, unsigned aLast)
{
  std::string events;
  for (unsigned number = aFirst; number <= aLast; ++number)
    events += "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
  return events;
}

unsigned
PortOf(std::string const& aAddress)
{
  return unsigned(std::stoul(aAddress.substr(aAddress.rfind(':') + 1)));
}

std::string
StreamHead(RequestMessage const& aRequest)
{
  return RawHead(aRequest, "Content-Type: text/event-stream\r\n");
}

/// The rest of a stream, after the event that the request names as the last one.
RawAnswer
RestOfStream(RequestMessage const& aRequest)
{
  auto const last = FieldValue(aRequest.fields, "Last-Event-Id");
  auto const first = last.empty() ? 1 : unsigned(std::stoul(last)) + 1;
  return { StreamHead(aRequest) + Events(first, kEvents), Ending::Close };
}

RawAnswer
Refusal(RequestMessage const& aRequest, std::string const& aStatus, std::string const& aFields = "")
{
  return { "HTTP/1.1 " + aStatus +
           "\r\nHornbeamfront-Not-Executed: 1\r\n"
           "Hornbeamfront-Request-Id: " +
           FieldValue(aRequest.fields, "Hornbeamfront-Request-Id") + "\r\n" + aFields + "Content-Length: 0\r\n\r\n" };
}

CallerRequest
StagedRequest(Duration aTimeout = 6s)
{
  auto request = ModelRequest("/staged/x");
  request.extraFields[2].second = kPieces;
  request.clientTimeout = aTimeout;
  return request;
}

/// One front and a route with two stages that no other stage follows. The first model endpoint that gets the request
/// answers as `first` says, the next ones as `others` says.
struct StagedWorld
{
  explicit StagedWorld(unsigned aModels)
    : rank(this->world, "rank", PortOf(this->rankAddress))
  {
    this->encode = &this->world.AddEndpoint(EndpointKind::Stage, "encode");
    this->encode->includesRequestIds = true;
    this->rank.answerOf = [this](RequestMessage const& aRequest, std::size_t) { return this->RunRank(aRequest); };
    for (unsigned index = 0; index < aModels; ++index) {
      this->models.push_back(std::make_unique<RawEndpoint>(this->world, "model", PortOf(this->world.NextAddress())));
      this->models.back()->answerOf = [this, index](RequestMessage const& aRequest, std::size_t) {
        return this->RunModel(*this->models[index], aRequest);
      };
    }
    auto table = StandInTable(1, 10s);
    for (auto& route : table["route_table"])
      if (route["path_prefix"] == "/staged/") {
        route["phases"][1]["after"] = nlohmann::json::array();
        route["target_latency_ms"] = 100;
        route["max_attempts"] = 4;
      }
    this->world.store->Put("config", "main", table);
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
    this->world.RunFor(50ms);
  }

  /// Answers a call of rank after rankTime.
  RawAnswer RunRank(RequestMessage const& aRequest)
  {
    if (aRequest.target == "/stage-free")
      return { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" };
    auto const call = this->rankCalls++;
    auto items = nlohmann::json::array();
    auto const job = nlohmann::json::parse(aRequest.body);
    for (auto const& item : job["items"])
      items.push_back(this->rankFails && this->rankFails(call)
                        ? nlohmann::json{ { "reason", "error" } }
                        : nlohmann::json{ { "handle_id",
                                            this->rankAddress + "/" + std::to_string(++this->results) + "-" +
                                              item["id"].get<std::string>() } });
    auto const body = nlohmann::json{ { "items", items } }.dump();
    auto const answer = RawHead(aRequest, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    RawAnswer delayed;
    delayed.late.push_back({ this->rankTime, answer });
    if (this->onRankCall)
      this->onRankCall(call);
    return delayed;
  }

  RawAnswer RunModel(RawEndpoint& aEndpoint, RequestMessage const& aRequest)
  {
    if (!aRequest.target.starts_with("/staged/"))
      return this->warmUp(aEndpoint, aRequest);
    this->inputs.emplace_back(FieldValue(aRequest.fields, "Hornbeamfront-Request-Id"),
                              FieldValue(aRequest.fields, "Hornbeamfront-Inputs"));
    if (this->inputs.size() > 1)
      return this->others(aRequest);
    this->silent = &aEndpoint;
    this->silentHead = StreamHead(aRequest);
    return this->first(aRequest);
  }

  /// Runs an action soon after rank was asked for the results of the request once more. Encode is done by then, rank
  /// is not.
  void WhileRankRunsAgain(std::function<void()> const& aAction)
  {
    this->onRankCall = [this, aAction](unsigned aCall) {
      if (aCall == 1)
        this->world.clock.Schedule(kRankTime / 2, aAction);
    };
  }

  /// Expects that each endpoint that got a request got the results of all its pieces, each once.
  void ExpectAllInputs(std::size_t aAttempts) const
  {
    EXPECT_EQ(this->inputs.size(), aAttempts);
    for (auto const& [id, list] : this->inputs) {
      std::set<std::string> distinct;
      std::size_t count = 0;
      std::istringstream handles(list);
      for (std::string handle; std::getline(handles, handle, ','); ++count) {
        distinct.insert(handle);
        EXPECT_TRUE(handle.ends_with("-" + id)) << id << ": " << list;
      }
      EXPECT_EQ(count, kAllInputs) << id << ": " << list;
      EXPECT_EQ(distinct.size(), count) << id << ": " << list;
    }
  }

  void ExpectWholeStream(CallerResponse const& aResponse) const
  {
    EXPECT_EQ(aResponse.status, 200U) << aResponse.body;
    EXPECT_EQ(aResponse.end, CallEnd::Complete);
    EXPECT_EQ(aResponse.body, Events(1, kEvents));
  }

  PlatformWorld world{ 1 };
  std::string rankAddress{ this->world.NextAddress() };
  RawEndpoint rank;
  StandInEndpoint* encode{ nullptr };
  std::vector<std::unique_ptr<RawEndpoint>> models;
  std::function<RawAnswer(RequestMessage const&)> first;
  std::function<RawAnswer(RequestMessage const&)> others{ RestOfStream };
  /// Answers requests of the route without stages.
  std::function<RawAnswer(RawEndpoint&, RequestMessage const&)> warmUp;
  std::function<bool(unsigned)> rankFails;
  std::function<void(unsigned)> onRankCall;
  Duration rankTime{ kRankTime };
  unsigned rankCalls{ 0 };
  unsigned results{ 0 };
  /// The endpoint that got the request first, and the head of its answer.
  RawEndpoint* silent{ nullptr };
  std::string silentHead;
  /// The request id and the inputs of each attempt.
  std::vector<std::pair<std::string, std::string>> inputs;
};

RawAnswer
ThreeEventsThenSilence(RequestMessage const& aRequest)
{
  return { StreamHead(aRequest) + Events(1, 3) };
}

}

// A request was sent with the results of a part of its stages: they ran again as its endpoint was silent, and that
// endpoint crashed before all of them were done.
TEST(PlatformStageInputs, SendsAllResultsAfterASilentEndpointCrashes)
{
  StagedWorld staged(2);
  staged.first = ThreeEventsThenSilence;
  staged.WhileRankRunsAgain([&] {
    staged.silent->StopListening();
    staged.silent->EndConnections(Ending::Close);
  });
  staged.ExpectWholeStream(staged.world.Call(0, StagedRequest()));
  staged.ExpectAllInputs(2);
  EXPECT_TRUE(staged.world.RunUntil([&] { return staged.encode->heldResults.empty(); }, 1s));
}

// The same after a stage failed while the endpoint stayed silent.
TEST(PlatformStageInputs, SendsAllResultsAfterAStageFailed)
{
  StagedWorld staged(2);
  staged.first = ThreeEventsThenSilence;
  staged.rankFails = [](unsigned aCall) { return aCall == 1; };
  staged.ExpectWholeStream(staged.world.Call(0, StagedRequest()));
  staged.ExpectAllInputs(2);
}

// The same with resets only: another endpoint said that the results were gone, and the silent one began its answer
// while the stages ran again.
TEST(PlatformStageInputs, SendsAllResultsAfterAHeadThatIsFollowedByAReset)
{
  StagedWorld staged(3);
  staged.first = [](RequestMessage const&) { return RawAnswer{}; };
  staged.others = [&](RequestMessage const& aRequest) {
    return staged.inputs.size() == 2 ? Refusal(aRequest, "409 Conflict") : RestOfStream(aRequest);
  };
  staged.WhileRankRunsAgain([&] {
    staged.silent->Send(staged.silentHead);
    staged.world.clock.Schedule(20ms, [&] { staged.silent->EndConnections(Ending::Reset); });
  });
  staged.ExpectWholeStream(staged.world.Call(0, StagedRequest()));
  staged.ExpectAllInputs(3);
}

// A request that waited for an endpoint, went back to its silent one and lost it was still in the list of those that
// wait, and was sent from there while its stages ran.
TEST(PlatformStageInputs, SendsNothingFromTheListOfWaitingRequestsWhileStagesRun)
{
  StagedWorld staged(2);
  // One endpoint wants nothing until two seconds from now; the request waits for it.
  RawEndpoint* paused = nullptr;
  staged.warmUp = [&](RawEndpoint& aEndpoint, RequestMessage const& aRequest) {
    if (paused == nullptr)
      paused = &aEndpoint;
    return paused == &aEndpoint ? Refusal(aRequest, "503 Busy", "Retry-After: 2\r\n") : RestOfStream(aRequest);
  };
  EXPECT_EQ(staged.world.Call(0, ModelRequest()).status, 200U);
  staged.first = ThreeEventsThenSilence;
  staged.onRankCall = [&](unsigned aCall) {
    if (aCall != 1)
      return;
    // When the stages are done, and the request waits.
    staged.world.clock.Schedule(kRankTime + 30ms, [&] {
      staged.rankTime = 900ms;
      staged.silent->StopListening();
      staged.silent->Send(Events(4, 4));
      staged.silent->EndConnections(Ending::Close);
    });
  };
  staged.ExpectWholeStream(staged.world.Call(0, StagedRequest()));
  EXPECT_EQ(staged.rankCalls, 3U);
  staged.ExpectAllInputs(2);
}

// After a stage was refused at once and the request had gone back to its silent endpoint, its other stages were begun.
TEST(PlatformStageInputs, BeginsNoStageAfterOneThatIsRefusedAtOnce)
{
  StagedWorld staged(2);
  staged.first = [&](RequestMessage const& aRequest) {
    // Encode cannot be done by the deadline any more.
    staged.world.store->Remove("servers", staged.encode->Id());
    staged.world.clock.Schedule(1500ms, [&] {
      staged.silent->Send(Events(4, kEvents));
      staged.silent->EndConnections(Ending::Close);
    });
    return ThreeEventsThenSilence(aRequest);
  };
  staged.ExpectWholeStream(staged.world.Call(0, StagedRequest(2400ms)));
  EXPECT_EQ(staged.rankCalls, 1U);
  staged.ExpectAllInputs(1);
}

// The owner of a stage returned fewer results than the stage has pieces; the job counted as complete, and the stages
// were run again and again.
TEST(PlatformStageInputs, RefusesARequestWhoseStageReturnsTooFewResults)
{
  StagedWorld staged(1);
  auto const address = staged.world.NextAddress();
  StandInFront owner(staged.world.loop, address);
  unsigned jobs = 0;
  owner.state.runStage = [&](unsigned aItems) {
    ++jobs;
    std::vector<std::string> handles;
    for (unsigned item = 1; item < aItems; ++item)
      handles.push_back(staged.rankAddress + "/" + std::to_string(aItems) + "-" + std::to_string(item));
    return handles;
  };
  // With so many cores, it owns all stages.
  staged.world.store->Put("fronts",
                          "owner",
                          { { "caller_address", address },
                            { "peer_address", address },
                            { "data_center", "a" },
                            { "incarnation", 1 },
                            { "cores", 64 },
                            { "region", "r" } });
  staged.world.RunFor(1s);
  staged.first = RestOfStream;
  auto const response = staged.world.Call(0, StagedRequest());
  EXPECT_EQ(response.status, 503U) << response.body;
  EXPECT_LT(response.duration, 1s);
  EXPECT_LE(jobs, 2U);
  EXPECT_TRUE(staged.inputs.empty());
  EXPECT_TRUE(staged.world.RunUntil([&] { return !owner.state.releasedResults.empty(); }, 1s));
}

namespace {

/// Draws how a model endpoint treats a request.
RawAnswer
DrawAnswer(std::minstd_rand& aRandom, RequestMessage const& aRequest)
{
  auto const time = [&](Duration aFrom, Duration aTo) { return aFrom + Duration(aRandom() % (aTo - aFrom).count()); };
  auto answer = RestOfStream(aRequest);
  switch (aRandom() % 10) {
    case 0:
      return Refusal(aRequest, "409 Conflict");
    case 1:
      return Refusal(aRequest, "503 Busy");
    case 2: {
      // Silence, a head, and a reset before the first byte.
      auto const headAfter = time(800ms, 2200ms);
      return { "", Ending::Reset, headAfter + 20ms, "", 1ms, { { headAfter, StreamHead(aRequest) } } };
    }
    case 3:
      return { "", Ending::Reset, time(800ms, 2200ms) };
    case 4:
    case 5: {
      // A stream that pauses, and goes on or is reset.
      auto const endOfEvent = answer.bytes.find("\n\n");
      if (endOfEvent == std::string::npos)
        return answer;
      auto const firstEvent = endOfEvent + 2;
      auto const goesOnAfter = time(1200ms, 1800ms);
      bool const goesOn = aRandom() % 2 == 0;
      answer.late.push_back({ goesOnAfter, goesOn ? answer.bytes.substr(firstEvent) : "" });
      answer.bytes.resize(firstEvent);
      answer.ending = goesOn ? Ending::Close : Ending::Reset;
      answer.endAfter = goesOnAfter + 20ms;
      return answer;
    }
    default:
      return answer;
  }
}

}

// Requests were sent with a part of their inputs, or with none, in orders of faults that no other test names: pauses,
// lost results, stages that fail, and answers that begin late and are reset.
TEST(PlatformStageInputs, SendsAllResultsInAnyOrderOfFaults)
{
  auto const* const text = std::getenv("HORNBEAM_TEST_SEED");
  auto const seed = unsigned(text == nullptr ? 1 : std::atoi(text));
  std::minstd_rand random(seed);
  StagedWorld staged(6);
  staged.first = staged.others = [&](RequestMessage const& aRequest) { return DrawAnswer(random, aRequest); };
  staged.rankFails = [&](unsigned) { return random() % 10 == 0; };
  // Short enough for all requests to run their stages several times.
  staged.rankTime = 50ms;
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (unsigned number = 0; number < 60; ++number) {
    auto request = StagedRequest(5s);
    request.id = "r" + std::to_string(number);
    request.body = "body of " + request.id;
    request.extraFields[0].second = "p" + request.id + ":10,q" + request.id + ":5";
    responses.push_back(staged.world.Send(0, request));
    staged.world.RunFor(Duration(random() % 200'000));
  }
  EXPECT_TRUE(staged.world.RunUntil(
    [&] { return std::ranges::all_of(responses, [](auto const& aResponse) { return aResponse->ended; }); }, 8s));
  std::size_t whole = 0;
  for (auto const& response : responses)
    if (response->status == 200 && response->end == CallEnd::Complete) {
      ++whole;
      EXPECT_EQ(response->body, Events(1, kEvents));
    }
  RecordProperty("whole", int(whole));
  EXPECT_GT(whole, 0U) << "seed " << seed;
  staged.ExpectAllInputs(staged.inputs.size());
  EXPECT_TRUE(staged.world.RunUntil([&] { return staged.encode->heldResults.empty(); }, 1s));
}

}
