#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

TEST(Platform, ForwardsAPlainRequestAndSetsItsHeaders)
{
  PlainWorld plain;
  CallerRequest request;
  request.method = "PATCH";
  request.extraFields = { { "X-Own", "kept" },
                          { "Connection", "X-Hop" },
                          { "X-Hop", "dropped" },
                          { "Hornbeamfront-Tenant", "forged" },
                          { "Kv-From", "forged" } };
  auto const response = plain.world.Call(0, request);
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.body, "answer of i-ledger-0");
  auto const& seen = plain.world.endpoints[0]->seen.at(0);
  EXPECT_EQ(seen.method, "PATCH");
  EXPECT_EQ(seen.target, "/plain/x");
  EXPECT_EQ(seen.body, "hello");
  EXPECT_EQ(seen.id, "r1");
  EXPECT_EQ(*FindField(seen.fields, "X-Own"), "kept");
  EXPECT_EQ(*FindField(seen.fields, "Hornbeamfront-Tenant"), "account-1");
  EXPECT_EQ(FindField(seen.fields, "X-Hop"), nullptr);
  EXPECT_EQ(FindField(seen.fields, "Kv-From"), nullptr);
  EXPECT_EQ(FindField(seen.fields, "Authorization"), nullptr);
  EXPECT_LE(std::stoi(*FindField(seen.fields, "Hornbeamfront-Deadline-Ms")), 3000);
}

TEST(Platform, RefusesUnknownRoutesAndKeys)
{
  PlainWorld plain;
  auto request = SafeRequest();
  request.target = "/nowhere/x";
  EXPECT_EQ(plain.world.Call(0, request).status, 404U);
  request = SafeRequest();
  request.key = "wrong";
  EXPECT_EQ(plain.world.Call(0, request).status, 401U);
  EXPECT_TRUE(plain.world.endpoints[0]->seen.empty());
}

TEST(Platform, RejectsInvalidFraming)
{
  PlainWorld plain;
  std::string const head = "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                           "Hornbeamfront-Request-Id: r1\r\n";
  std::string const hidden = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                             "Hornbeamfront-Request-Id: hidden\r\n\r\n";
  auto const refused = [&](std::string const& aBytes, std::string const& aStatus) {
    auto const response = plain.world.SendRaw(0, aBytes, 1500ms);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 " + aStatus)) << aBytes << "\n" << response;
    EXPECT_EQ(response.find("HTTP/1.1", 8), std::string::npos) << "two responses to\n" << aBytes;
  };
  refused(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400");
  refused(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, "400");
  refused(head + "Transfer-Encoding: identity\r\n\r\n" + hidden, "400");
  refused(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, "400");
  refused(head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nhello" + hidden, "400");
  refused(head + "X-Large: " + std::string(9000, 'x') + "\r\n\r\n", "431");
  refused(head + "Content-Length: 100000\r\n\r\n", "413");
  refused(head + "Content-Le", "408");
  EXPECT_TRUE(plain.world.endpoints[0]->seen.empty());
}

TEST(Platform, ForwardsACompleteChunkedBody)
{
  PlainWorld plain;
  auto const response =
    plain.world.SendRaw(0,
                        "PUT /plain/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                        "Hornbeamfront-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n"
                        "Connection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
                        1500ms);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_EQ(plain.world.endpoints[0]->seen.at(0).body, "abcdefg");
}

TEST(Platform, DoesNotRetryUnsafeRequests)
{
  PlainWorld plain(1, 2);
  for (auto const& endpoint : plain.world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::LostResponse; };
  auto const response = plain.world.Call(0, {});
  EXPECT_EQ(response.status, 502U);
  EXPECT_EQ(plain.world.endpoints[0]->seen.size() + plain.world.endpoints[1]->seen.size(), 1U);
}

TEST(Platform, RetriesSafeRequestsAtAnotherEndpoint)
{
  for (auto const fault : { EndpointFault::LostResponse,
                            EndpointFault::BreakOff,
                            EndpointFault::MismatchedResponse,
                            EndpointFault::Full,
                            EndpointFault::Error }) {
    PlainWorld plain(1, 2);
    std::size_t total = 0;
    for (auto const& endpoint : plain.world.endpoints)
      endpoint->faultOf = [&total, fault](std::size_t) { return total++ == 0 ? fault : EndpointFault::None; };
    auto const response = plain.world.Call(0, SafeRequest());
    EXPECT_EQ(response.status, 200U) << int(fault);
    EXPECT_EQ(total, 2U);
  }
}

// A 503 response guarantees that the request was not executed; a 504 response does not.
TEST(Platform, ReportsNotExecutedOnlyIfNothingWasExecuted)
{
  PlainWorld plain;
  plain.world.endpoints[0]->faultOf = [](std::size_t) { return EndpointFault::Full; };
  auto const refused = plain.world.Call(0, {});
  EXPECT_EQ(refused.status, 503U);
  EXPECT_NE(FindField(refused.fields, "Retry-After"), nullptr);
  EXPECT_LT(refused.duration, 200ms);
  plain.world.endpoints[0]->faultOf = [](std::size_t) { return EndpointFault::Silent; };
  CallerRequest request;
  request.id = "r2";
  request.clientTimeout = 300ms;
  auto const silent = plain.world.Call(0, request);
  EXPECT_EQ(silent.status, 504U);
  EXPECT_LT(silent.duration, 400ms);
}

TEST(Platform, CancelsTheRequestOfACallerThatDisconnects)
{
  PlainWorld plain;
  plain.world.endpoints[0]->workTime = 2s;
  CallHandle handle;
  plain.world.Send(0, SafeRequest(), &handle);
  ASSERT_TRUE(plain.world.RunUntil([&] { return plain.world.endpoints[0]->seen.size() == 1; }));
  handle.Abandon();
  EXPECT_TRUE(plain.world.RunUntil([&] { return plain.world.endpoints[0]->callersGone == 1; }, 300ms));
}

// The refusal of another request that arrived late made a front send an unsafe request twice, and promise that it had
// not run.
TEST(Platform, DoesNotTakeTheRefusalOfAnotherRequestForItsOwn)
{
  PlainWorld plain(1, 2);
  auto& world = plain.world;
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::MismatchedRefusal; };
  EXPECT_EQ(world.Call(0, CallerRequest()).status, 502U);
  EXPECT_EQ(world.endpoints[0]->seen.size() + world.endpoints[1]->seen.size(), 1U);
}

}
