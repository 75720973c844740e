#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// A caller's connection on which bytes are sent in parts.
struct RawCaller
{
  RawCaller(PlatformWorld& aWorld, unsigned aFront)
    : world(aWorld)
  {
    auto const onConnected = [this](bool aConnected) { this->connected = aConnected; };
    this->stream = TcpStream::Connect(this->world.loop.UvLoop(), this->world.CallerAddress(aFront), {}, onConnected);
    StreamEvents events;
    events.onData = [this](std::string_view aBytes) { this->answer += aBytes; };
    events.onEnd = [this](StreamEnd aEnd) { this->end = aEnd; };
    this->stream->SetEvents(std::move(events));
    EXPECT_TRUE(this->world.RunUntil([this] { return this->connected; }));
  }
  RawCaller(RawCaller const&) = delete;
  RawCaller& operator=(RawCaller const&) = delete;
  ~RawCaller()
  {
    this->stream->Reset();
    this->world.RunFor(2ms);
  }

  PlatformWorld& world;
  std::shared_ptr<TcpStream> stream;
  bool connected{ false };
  std::string answer;
  std::optional<StreamEnd> end;
};

/// A request with a body of 10 bytes, without the body.
static std::string
HeadOfPost(std::string const& aMore)
{
  return "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
         "Hornbeamfront-Request-Id: half\r\nHornbeamfront-Deadline-Ms: 3000\r\nContent-Length: 10\r\n" +
         aMore + "\r\n";
}

// A request that was half read when a front closed its connections got a reset instead of a refusal.
TEST(PlatformStop, RefusesRequestsThatWereHalfReadWhenItClosed)
{
  for (std::string const more : { "", "Expect: 100-continue\r\n" }) {
    PlatformWorld world(1);
    world.graceTime = 2s;
    world.AddEndpoint(EndpointKind::Plain, "ledger");
    world.Start();
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
    world.RunFor(50ms);
    world.fronts[0]->BeginDraining();
    // The first step of the end closes connections that have sent nothing; other than by the end, they are closed after
    // 400 ms.
    std::unique_ptr<RawCaller> silent;
    std::unique_ptr<RawCaller> half;
    do {
      half = std::make_unique<RawCaller>(world, 0);
      half->stream->Write(HeadOfPost(more));
      silent = std::make_unique<RawCaller>(world, 0);
    } while (!world.RunUntil([&] { return silent->end.has_value(); }, 150ms));
    ASSERT_FALSE(world.stopped[0]);
    half->stream->Write("0123456789");
    ASSERT_TRUE(world.RunUntil([&] { return half->end.has_value(); }));
    EXPECT_NE(half->answer.find("HTTP/1.1 503"), std::string::npos) << half->answer;
    EXPECT_EQ(half->end, StreamEnd::Closed);
    ASSERT_TRUE(world.RunUntil([&] { return bool(world.stopped[0]); }));
    EXPECT_TRUE(world.endpoints[0]->seen.empty());
  }
}

// A table that changed, or a reload, during a stop cut requests in progress.
TEST(PlatformStop, KeepsItsPlanWhenSettingsAndTableChange)
{
  PlainWorld plain(2);
  auto& world = plain.world;
  world.endpoints[0]->workTime = 1500ms;
  auto const before = world.Send(0, SafeRequest("before"));
  world.RunFor(50ms);
  world.fronts[0]->BeginDraining();
  GatewaySettings changed;
  changed.graceTime = 500ms;
  changed.directoryLifetime = 100ms;
  changed.retries.slack = 50;
  world.fronts[0]->Reload(changed);
  world.PutTable(2);
  auto const during = world.Send(0, SafeRequest("during"));
  ASSERT_TRUE(world.RunUntil([&] { return before->ended && during->ended; }));
  EXPECT_EQ(before->status, 200U);
  EXPECT_EQ(during->status, 200U);
}

// A front that was stopped before it knew a table, or while it registered, left its entry in the store.
TEST(PlatformStop, StopsInOrderBeforeItIsReady)
{
  for (auto const behavior : { StoreBehavior::Healthy, StoreBehavior::Silent }) {
    PlatformWorld world(1);
    world.AddEndpoint(EndpointKind::Plain, "ledger");
    world.store->behavior = behavior;
    world.Start();
    world.fronts[0]->BeginDraining();
    auto const early = world.Call(0, SafeRequest("early"));
    EXPECT_EQ(early.status, 503U);
    ASSERT_TRUE(world.RunUntil([&] { return bool(world.stopped[0]); }, 8s));
    EXPECT_FALSE(world.store->Has("fronts", "front-0"));
  }
}

}
