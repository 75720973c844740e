#include "PlatformFixtures.h"
#include "RawEndpoint.h"

// Endpoints whose answers end or continue in ways that a well-behaved HTTP server does not show.

namespace Hornbeam::Testing {

using Ending = RawAnswer::Ending;

static constexpr Duration kTimeout = 10s;
static constexpr Duration kSafeTimeout = 4s;
/// Well before the deadline of the requests, and before their callers give up.
static constexpr Duration kPrompt = 2500ms;

static std::string
Events(unsigned aFirst, unsigned aLast)
{
  std::string events;
  for (auto number = aFirst; number <= aLast; ++number)
    events += "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
  return events;
}

static std::string
Chunk(std::string const& aBytes)
{
  return SerializeChunk(aBytes);
}

/// Two raw endpoints of each service. The first request of all gets one answer, and all others another one.
struct RawWorld
{
  using AnswerOf = std::function<RawAnswer(RequestMessage const&)>;

  RawWorld(AnswerOf aFirst, AnswerOf aOthers)
    : first(std::move(aFirst))
    , others(std::move(aOthers))
  {
    auto table = StandInTable(1, kTimeout);
    auto once = table["route_table"][2];
    once["name"] = "once";
    once["path_prefix"] = "/once/";
    once["resumable"] = false;
    table["route_table"].push_back(once);
    this->world.store->Put("config", "main", table);
    for (unsigned index = 0; index < 4; ++index) {
      auto const* const service = index < 2 ? "ledger" : "model";
      this->endpoints.push_back(std::make_unique<RawEndpoint>(this->world, service, 20981 + index));
      this->endpoints.back()->answerOf = [this](RequestMessage const& aRequest, std::size_t) {
        return this->requests++ == 0 ? this->first(aRequest) : this->others(aRequest);
      };
    }
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
    this->world.RunFor(50ms);
  }

  CallerResponse Call(std::string const& aTarget)
  {
    auto request = aTarget.starts_with("/safe") ? SafeRequest() : ModelRequest(aTarget);
    request.clientTimeout = aTarget.starts_with("/safe") ? kSafeTimeout : kTimeout;
    return this->world.Call(0, request);
  }

  std::size_t BytesSent() const
  {
    std::size_t sum = 0;
    for (auto const& endpoint : this->endpoints)
      sum += endpoint->sent;
    return sum;
  }

  AnswerOf first;
  AnswerOf others;
  std::size_t requests{ 0 };
  PlatformWorld world{ 1 };
  std::vector<std::unique_ptr<RawEndpoint>> endpoints;
};

struct RawResult
{
  CallerResponse response;
  /// What the endpoints received and sent.
  std::size_t requests;
  std::size_t bytesSent;
};

/// Sends one request in a world of its own.
static RawResult
CallOnce(RawWorld::AnswerOf aFirst, RawWorld::AnswerOf aOthers, std::string const& aTarget)
{
  RawWorld raw(std::move(aFirst), std::move(aOthers));
  auto response = raw.Call(aTarget);
  return { std::move(response), raw.requests, raw.BytesSent() };
}

static RawAnswer
RestOfStream(RequestMessage const& aRequest)
{
  auto const last = FieldValue(aRequest.fields, "Last-Event-Id");
  return { RawHead(aRequest) + Events(last.empty() ? 1 : unsigned(std::stoul(last)) + 1, 5), Ending::Close };
}

static RawAnswer
WholeAnswer(RequestMessage const& aRequest)
{
  return { RawHead(aRequest, "Content-Length: 5\r\n") + "whole" };
}

/// A stream that ends inside its third event, as its framing permits.
static std::vector<RawWorld::AnswerOf>
StreamsThatEndInsideAnEvent()
{
  auto const part = Events(1, 2) + "id: 3\ndata: ha";
  return { [part](auto const& aRequest) {
            return RawAnswer{ RawHead(aRequest) + part, Ending::Close, 20ms };
          },
           [part](auto const& aRequest) {
             return RawAnswer{ RawHead(aRequest, "Content-Length: " + std::to_string(part.size()) + "\r\n") + part };
           },
           [part](auto const& aRequest) {
             return RawAnswer{ RawHead(aRequest, "Transfer-Encoding: chunked\r\n") + Chunk(part) + "0\r\n\r\n" };
           } };
}

// The end of a connection, of a length or of chunks inside an event was forwarded as the end of the stream.
TEST(PlatformAnswers, ResumesAStreamThatEndsInsideAnEvent)
{
  for (auto const& first : StreamsThatEndInsideAnEvent()) {
    auto const result = CallOnce(first, RestOfStream, "/model/x");
    EXPECT_EQ(result.response.end, CallEnd::Complete);
    EXPECT_EQ(result.response.body, Events(1, 5));
    EXPECT_EQ(result.requests, 2U);
  }
}

// Callers took such a stream for complete.
TEST(PlatformAnswers, InterruptsAStreamThatEndsInsideAnEventAndCannotBeResumed)
{
  for (auto const& first : StreamsThatEndInsideAnEvent()) {
    auto const result = CallOnce(first, RestOfStream, "/once/x");
    EXPECT_EQ(result.response.end, CallEnd::Broken);
    EXPECT_EQ(result.response.body, Events(1, 2));
    EXPECT_EQ(result.requests, 1U);
  }
}

/// The second crash of a resumed stream, at an endpoint whose answers end with their connection.
static RawWorld::AnswerOf
CrashesInSeries()
{
  auto const crashes = std::make_shared<unsigned>(0);
  return [crashes](RequestMessage const& aRequest) {
    if (++*crashes == 1)
      return RawAnswer{ RawHead(aRequest) + Events(1, 1), Ending::Reset, 20ms };
    if (*crashes == 2)
      return RawAnswer{ RawHead(aRequest) + Events(2, 2) + "id: 3\nda", Ending::Close, 20ms };
    return RestOfStream(aRequest);
  };
}

// Incident inc1: the first crash of a stream was noticed, and the end of the connection at the second one was forwarded
// as the end of the stream.
TEST(PlatformAnswers, DoesNotEndAResumedStreamWhoseSecondEndpointCrashes)
{
  auto const crashes = CrashesInSeries();
  auto const result = CallOnce(crashes, crashes, "/model/x");
  EXPECT_FALSE(result.response.end == CallEnd::Complete && result.response.body != Events(1, 5));
  EXPECT_TRUE(result.response.body.starts_with(Events(1, 2)));
}

// An endpoint that crashed before its first event closed the connection of a response without length, and the caller
// got an empty stream as complete.
TEST(PlatformAnswers, DoesNotTakeAStreamWithoutLengthOrEventsForComplete)
{
  for (auto const* const bytes : { "", "\n", ": note\n\n" }) {
    auto const empty = [bytes](auto const& aRequest) {
      return RawAnswer{ RawHead(aRequest) + bytes, Ending::Close, 20ms };
    };
    auto const resumed = CallOnce(empty, RestOfStream, "/model/x");
    EXPECT_EQ(resumed.response.end, CallEnd::Complete);
    EXPECT_TRUE(resumed.response.body.ends_with(Events(1, 5)));
    EXPECT_EQ(resumed.requests, 2U);
    auto const interrupted = CallOnce(empty, RestOfStream, "/once/x");
    EXPECT_FALSE(interrupted.response.end == CallEnd::Complete && interrupted.response.status == 200);
    EXPECT_EQ(interrupted.requests, 1U);
  }
}

// As above, after the stream was resumed: the caller had some events, and the connection that brought no more was taken
// for their end.
TEST(PlatformAnswers, DoesNotTakeAResumptionWithoutLengthOrEventsForComplete)
{
  auto const first = [](auto const& aRequest) {
    return RawAnswer{ RawHead(aRequest) + Events(1, 2), Ending::Reset, 20ms };
  };
  auto const empty = [](auto const& aRequest) { return RawAnswer{ RawHead(aRequest), Ending::Close, 20ms }; };
  auto const result = CallOnce(first, empty, "/model/x");
  EXPECT_EQ(result.response.end, CallEnd::Broken);
  EXPECT_EQ(result.response.body, Events(1, 2));
}

TEST(PlatformAnswers, AcceptsAStreamWithoutLengthWhoseConnectionIsClosed)
{
  for (auto const* const target : { "/model/x", "/once/x" }) {
    auto const result = CallOnce(RestOfStream, RestOfStream, target);
    EXPECT_EQ(result.response.end, CallEnd::Complete);
    EXPECT_EQ(result.response.body, Events(1, 5));
    EXPECT_EQ(result.requests, 1U);
  }
}

// A reset is not the end of a stream, not even between two events.
TEST(PlatformAnswers, DoesNotTakeAResetForTheEndOfAStream)
{
  for (auto const delay : { 0ms, 20ms }) {
    auto const reset = [delay](auto const& aRequest) {
      return RawAnswer{ RawHead(aRequest) + Events(1, 3), Ending::Reset, delay };
    };
    auto const resumed = CallOnce(reset, RestOfStream, "/model/x");
    EXPECT_EQ(resumed.response.end, CallEnd::Complete);
    EXPECT_EQ(resumed.response.body, Events(1, 5));
    EXPECT_EQ(resumed.requests, 2U);
    auto const interrupted = CallOnce(reset, RestOfStream, "/once/x");
    EXPECT_FALSE(interrupted.response.end == CallEnd::Complete && interrupted.response.status == 200);
    EXPECT_EQ(interrupted.requests, 1U);
  }
}

TEST(PlatformAnswers, AcceptsLineEndsAndCommentsAfterTheLastEvent)
{
  for (auto const* const tail : { "\n", "\r\n\r\n", ": end\n", ": end\n\n" }) {
    auto const answer = [tail](auto const& aRequest) {
      return RawAnswer{ RawHead(aRequest) + Events(1, 5) + tail, Ending::Close };
    };
    auto const result = CallOnce(answer, RestOfStream, "/once/x");
    EXPECT_EQ(result.response.end, CallEnd::Complete) << tail;
    EXPECT_EQ(result.response.body, Events(1, 5) + tail);
  }
}

// The bytes before the interruption had been forwarded, and the whole answer of another endpoint was appended to them.
TEST(PlatformAnswers, DoesNotAppendASecondAnswerToALongOneThatWasInterrupted)
{
  std::string const half(400000, 'h');
  for (auto const* const framing : { "", "Content-Length: 500000\r\n" }) {
    auto const reset = [&](auto const& aRequest) {
      return RawAnswer{ RawHead(aRequest, framing) + half, Ending::Reset, 100ms };
    };
    auto const result = CallOnce(reset, WholeAnswer, "/safe/x");
    EXPECT_EQ(result.response.end, CallEnd::Broken);
    EXPECT_EQ(result.response.body.find("whole"), std::string::npos);
    EXPECT_EQ(result.requests, 1U);
  }
}

// As above, for an endpoint that stops sending without ending the connection.
TEST(PlatformAnswers, DoesNotAppendASecondAnswerToALongOneThatStalls)
{
  auto const stalled = [](auto const& aRequest) {
    return RawAnswer{ RawHead(aRequest, "Content-Length: 500000\r\n") + std::string(400000, 'h') };
  };
  auto const result = CallOnce(stalled, WholeAnswer, "/safe/x");
  EXPECT_NE(result.response.end, CallEnd::Complete);
  EXPECT_EQ(result.response.body.find("whole"), std::string::npos);
  EXPECT_EQ(result.requests, 1U);
}

TEST(PlatformAnswers, RetriesAnInterruptedAnswerThatIsStillBuffered)
{
  auto const reset = [](auto const& aRequest) { return RawAnswer{ RawHead(aRequest) + "half", Ending::Reset, 20ms }; };
  auto const safe = CallOnce(reset, WholeAnswer, "/safe/x");
  EXPECT_EQ(safe.response.body, "whole");
  EXPECT_EQ(safe.requests, 2U);
  auto const unsafe = CallOnce(reset, WholeAnswer, "/plain/x");
  EXPECT_EQ(unsafe.response.status, 502U);
  EXPECT_EQ(unsafe.requests, 1U);
}

/// Answers that continue without end before, or inside the framing of, their body.
static std::vector<std::pair<std::string, RawWorld::AnswerOf>>
AnswersWithoutEnd()
{
  std::string const filler(32768, 'x');
  std::string fields;
  std::string informational;
  for (unsigned index = 0; index < 1000; ++index) {
    fields += "X-Next: 1\r\n";
    informational += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  auto const chunked = [](auto const& aRequest) { return RawHead(aRequest, "Transfer-Encoding: chunked\r\n"); };
  return {
    { "status line",
      [=](auto const&) {
        return RawAnswer{ "HTTP/1.1 200 ", Ending::Keep, 0ms, filler };
      } },
    { "no answer",
      [=](auto const&) {
        return RawAnswer{ "", Ending::Keep, 0ms, filler };
      } },
    { "field",
      [=](auto const&) {
        return RawAnswer{ "HTTP/1.1 200 OK\r\nX-Long: ", Ending::Keep, 0ms, filler };
      } },
    { "fields",
      [=](auto const&) {
        return RawAnswer{ "HTTP/1.1 200 OK\r\n", Ending::Keep, 0ms, fields };
      } },
    { "informational",
      [=](auto const&) {
        return RawAnswer{ "", Ending::Keep, 0ms, informational };
      } },
    { "chunk size",
      [=](auto const& aRequest) {
        return RawAnswer{ chunked(aRequest), Ending::Keep, 0ms, std::string(32768, '0') };
      } },
    { "chunk extension",
      [=](auto const& aRequest) {
        return RawAnswer{ chunked(aRequest) + "4;a=", Ending::Keep, 0ms, filler };
      } },
    { "trailer",
      [=](auto const& aRequest) {
        return RawAnswer{ chunked(aRequest) + "4\r\nhalf\r\n0\r\nX-Long: ", Ending::Keep, 0ms, filler };
      } },
  };
}

// A chunk extension or a trailer without end filled the memory of the front until the deadline, and informational
// responses without end kept the request waiting for as long.
TEST(PlatformAnswers, EndsACallWhoseAnswerHasNoEnd)
{
  static constexpr std::size_t kMaxBytes = 8 << 20;
  for (auto const& [name, answer] : AnswersWithoutEnd()) {
    auto const unsafe = CallOnce(answer, WholeAnswer, "/plain/x");
    EXPECT_EQ(unsafe.response.status, 502U) << name;
    EXPECT_LT(unsafe.response.duration, kPrompt) << name;
    EXPECT_LT(unsafe.bytesSent, kMaxBytes) << name;
    EXPECT_EQ(unsafe.requests, 1U) << name;
    auto const safe = CallOnce(answer, WholeAnswer, "/safe/x");
    EXPECT_EQ(safe.response.body, "whole") << name;
    EXPECT_LT(safe.response.duration, kPrompt) << name;
  }
}

// The front kept the bytes of an event that never ended, until the deadline.
TEST(PlatformAnswers, EndsAStreamWhoseEventHasNoEnd)
{
  auto const endless = [](auto const& aRequest) {
    return RawAnswer{ RawHead(aRequest) + Events(1, 2) + "id: 3\ndata: ", Ending::Keep, 0ms, std::string(32768, 'x') };
  };
  auto const resumed = CallOnce(endless, RestOfStream, "/model/x");
  EXPECT_EQ(resumed.response.body, Events(1, 5));
  EXPECT_LT(resumed.response.duration, kPrompt);
  auto const interrupted = CallOnce(endless, RestOfStream, "/once/x");
  EXPECT_EQ(interrupted.response.end, CallEnd::Broken);
  EXPECT_EQ(interrupted.response.body, Events(1, 2));
  EXPECT_LT(interrupted.response.duration, kPrompt);
  EXPECT_LT(interrupted.bytesSent, std::size_t(8 << 20));
}

// Each byte counted as progress, so a stalled stream was only left at the deadline, long after the caller had gone.
TEST(PlatformAnswers, ResumesAStreamThatStallsInsideAnEventWhileBytesArrive)
{
  auto const trickle = [](auto const& aRequest) {
    return RawAnswer{ RawHead(aRequest) + Events(1, 2) + "id: 3\ndata: ", Ending::Keep, 0ms, "x", 50ms };
  };
  auto const result = CallOnce(trickle, RestOfStream, "/model/x");
  EXPECT_EQ(result.response.body, Events(1, 5));
  EXPECT_LT(result.response.duration, kPrompt);
}

// An endpoint that stopped in the middle of its answer's head: callers got a success with an empty or short body.
TEST(PlatformAnswers, DoesNotTakeAHeadThatStopsForAnAnswer)
{
  for (auto const* const target : { "/plain/x", "/once/x" })
    for (auto const* const framing : { "", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n" }) {
      std::size_t length = 0;
      auto ending = Ending::Close;
      std::size_t wholeLength = 1;
      auto const answer = [&](RequestMessage const& aRequest) {
        auto const head = RawHead(aRequest, framing);
        wholeLength = head.size();
        return RawAnswer{ head.substr(0, length), ending };
      };
      RawWorld raw(answer, answer);
      // Endpoints of streams are cold after failures and take ten requests a second.
      std::size_t const step = std::string_view(target) == "/once/x" ? 9 : 1;
      for (; length < wholeLength; length += step)
        for (auto const end : { Ending::Close, Ending::Reset }) {
          ending = end;
          auto const response = raw.Call(target);
          EXPECT_NE(response.status / 100, 2U) << target << ' ' << framing << ' ' << length;
        }
    }
}

/// Endpoints that answer a resumption with something else than the rest of the stream.
static std::vector<std::pair<std::string, RawWorld::AnswerOf>>
ErrorsOfResumptions()
{
  std::vector<std::pair<std::string, RawWorld::AnswerOf>> answers;
  auto const add = [&](std::string const& aStatus, std::string const& aFields, std::string const& aBody) {
    answers.emplace_back(aStatus + aFields, [=](RequestMessage const& aRequest) {
      auto head = RawHead(aRequest, aFields);
      head.replace(0, std::string("HTTP/1.1 200 OK").size(), "HTTP/1.1 " + aStatus);
      return RawAnswer{ head + aBody, Ending::Close, 20ms };
    });
  };
  for (auto const* const status : { "400 Bad", "404 Missing", "409 Conflict", "429 Many", "500 Error", "503 Full" })
    for (auto const* const fields : { "", "Retry-After: 1\r\n", "Hornbeamfront-Not-Executed: 1\r\n" })
      add(status, fields, "out of memory\n\n");
  add("200 OK", "Content-Type: application/json\r\n", "{\"error\":\"out of memory\"}\n\n");
  add("200 OK", "Content-Type: text/plain\r\n", "id: 3\n\nout of memory\n\n");
  add("200 OK", "", "");
  add("204 None", "", "");
  return answers;
}

// The text of an error, or its whole head, was forwarded in the middle of a stream, or the stream ended as complete.
TEST(PlatformAnswers, ForwardsNothingOfAnErrorThatAnswersAResumption)
{
  for (auto const& [name, error] : ErrorsOfResumptions())
    for (unsigned const events : { 0U, 1U, 2U }) {
      auto const first = [events](auto const& aRequest) {
        return RawAnswer{ RawHead(aRequest, "Content-Type: text/event-stream\r\n") + Events(1, events) + "id: 3\nda",
                          Ending::Reset,
                          20ms };
      };
      auto const result = CallOnce(first, error, "/model/x");
      EXPECT_EQ(result.response.end, CallEnd::Broken) << name << events;
      EXPECT_EQ(result.response.body, Events(1, events)) << name << events;
    }
}

static RawAnswer
Refusal(std::string const& aId)
{
  auto const id = aId.empty() ? "" : "Hornbeamfront-Request-Id: " + aId + "\r\n";
  return { "HTTP/1.1 503 Full\r\nHornbeamfront-Not-Executed: 1\r\nContent-Length: 0\r\n" + id + "\r\n" };
}

// An earlier refusal came once more on a kept connection: callers were told that a request had not run that had.
TEST(PlatformAnswers, DoesNotTakeAnEarlierRefusalForOneOfThisRequest)
{
  for (auto const* const id : { "", "r0" })
    for (bool const inOneSegment : { false, true }) {
      auto const earlier = [&](RequestMessage const& aRequest) {
        auto answer = Refusal(id);
        if (inOneSegment)
          answer.bytes += WholeAnswer(aRequest).bytes;
        return answer;
      };
      RawWorld raw(WholeAnswer, earlier);
      EXPECT_EQ(raw.Call("/plain/x").status, 200U);
      auto const response = raw.Call("/plain/x");
      EXPECT_EQ(response.status, 502U) << id << inOneSegment;
      EXPECT_EQ(raw.requests, 2U);
    }
}

// As above, while no request is in flight: the connection must not be used again.
TEST(PlatformAnswers, DoesNotUseAConnectionOnWhichAnUnaskedAnswerCame)
{
  auto const twice = [](RequestMessage const& aRequest) {
    auto answer = WholeAnswer(aRequest);
    answer.repeated = Refusal("r1").bytes;
    answer.repeatEvery = 20ms;
    return answer;
  };
  RawWorld raw(twice, WholeAnswer);
  EXPECT_EQ(raw.Call("/plain/x").status, 200U);
  raw.world.RunFor(60ms);
  EXPECT_EQ(raw.Call("/plain/x").status, 200U);
  EXPECT_EQ(raw.requests, 2U);
}

// A refusal without an id on a new connection can only be of the request on it.
TEST(PlatformAnswers, TakesARefusalWithoutIdOnANewConnection)
{
  auto const refuse = [](RequestMessage const&) { return Refusal(""); };
  auto const result = CallOnce(refuse, WholeAnswer, "/plain/x");
  EXPECT_EQ(result.response.body, "whole");
  EXPECT_EQ(result.requests, 2U);
}

/// A stage endpoint that sends the answer to its first call once more before that to the second.
struct DoubledAnswerWorld
{
  DoubledAnswerWorld()
    : world(1)
    , rank(this->world, "rank", 20996)
  {
    this->rank.answerOf = [this](RequestMessage const& aRequest, std::size_t) { return this->Answer(aRequest); };
    this->world.AddEndpoint(EndpointKind::Stage, "encode");
    this->model = &this->world.AddEndpoint(EndpointKind::Model, "model");
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
    this->world.RunFor(50ms);
  }

  RawAnswer Answer(RequestMessage const& aRequest)
  {
    if (aRequest.target == "/stage-free")
      return { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" };
    auto items = nlohmann::json::array();
    auto const request = nlohmann::json::parse(aRequest.body);
    for (auto const& item : request["items"])
      items.push_back(
        { { "handle_id",
            "127.0.0.1:20996/" + std::to_string(++this->handles) + "-" + item["id"].get<std::string>() } });
    auto const body = nlohmann::json{ { "items", items } }.dump();
    auto const answer = RawHead(aRequest, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    auto const doubled = this->calls == 1 ? this->first : std::string();
    if (this->calls++ == 0)
      this->first = answer;
    return { doubled + answer };
  }

  CallerResponse Call(std::string const& aId, std::string const& aChunks)
  {
    auto request = ModelRequest("/staged/x");
    request.id = aId;
    request.extraFields[2].second = aChunks;
    return this->world.Call(0, request);
  }

  /// The inputs that the model endpoint was given for a request.
  std::string InputsOf(std::string const& aId) const
  {
    for (auto const& seen : this->model->seen)
      if (seen.id == aId)
        return FieldValue(seen.fields, "Hornbeamfront-Inputs");
    return "";
  }

  PlatformWorld world;
  RawEndpoint rank;
  StandInEndpoint* model{ nullptr };
  unsigned calls{ 0 };
  unsigned handles{ 0 };
  std::string first;
};

// A late second copy of a stage endpoint's answer was taken for the answer to its next call, for another request.
TEST(PlatformAnswer, TakesNoAnswerOfAnotherStageCall)
{
  DoubledAnswerWorld doubled;
  EXPECT_EQ(doubled.Call("r1", "1,1").status, 200U);
  EXPECT_EQ(doubled.Call("r2", "1,1").status, 200U);
  EXPECT_TRUE(doubled.InputsOf("r2").ends_with("-r2")) << doubled.InputsOf("r2");
  EXPECT_EQ(doubled.calls, 3U);
}

// The same within one request, whose next pieces got the results of the ones before.
TEST(PlatformAnswer, TakesNoResultsOfTheSameRequestTwice)
{
  DoubledAnswerWorld doubled;
  EXPECT_EQ(doubled.Call("r1", "1,8").status, 200U);
  auto const inputs = doubled.InputsOf("r1");
  std::set<std::string> distinct;
  std::size_t count = 0;
  for (std::size_t begin = 0; begin < inputs.size(); ++count) {
    auto const end = std::min(inputs.find(',', begin), inputs.size());
    distinct.insert(inputs.substr(begin, end - begin));
    begin = end + 1;
  }
  EXPECT_EQ(count, 8U);
  EXPECT_EQ(distinct.size(), 8U) << inputs;
}

}
