#include <gtest/gtest.h>
#include <kj/encoding.h>
#include <platform/Platform.h>
#include <rapidcheck.h>

namespace Hornbeam::Gateway {

static std::string
Encode(std::string const& aText)
{
  return kj::encodeUriComponent(kj::arrayPtr(aText.data(), aText.size())).cStr();
}

// Guards against an explanation of another request than the one that was asked for, whatever bytes its values have.
TEST(ExplainQuery, YieldsTheRequestThatWasAskedFor)
{
  rc::check("each value is decoded", [](std::string const& aHost, std::string const& aPath, std::string const& aKey) {
    std::string error;
    auto const target =
      "/explain?key=" + Encode(aKey) + "&host=" + Encode(aHost) + "&path=" + Encode("/" + aPath) + "&items=2,3";
    auto const request = Platform::DecodeExplainQuery(target, error);
    RC_ASSERT(request.has_value());
    auto const metadata = Platform::DecodeRequest(*request, error);
    RC_ASSERT(metadata.has_value());
    RC_ASSERT(request->target == "/" + aPath);
    RC_ASSERT(metadata->host == aHost);
    RC_ASSERT(metadata->key == aKey);
    RC_ASSERT(metadata->stageItemCounts == (std::vector<unsigned>{ 2, 3 }));
  });
}

// Guards against an error message that shows a key, and against reading beyond the end of an odd query.
TEST(ExplainQuery, RefusesOddQueriesWithoutShowingThem)
{
  for (std::string const target : { "",
                                    "/explain",
                                    "/explain?",
                                    "/explain?&&=&",
                                    "/explain?key=secret",
                                    "/explain?host=h&path=x&key=secret",
                                    "/explain?host=h&path=/x&key=secret%zz",
                                    "/explain?host=h&path=/x&items=secret" }) {
    std::string error;
    auto const request = Platform::DecodeExplainQuery(target, error);
    EXPECT_FALSE(request && Platform::DecodeRequest(*request, error)) << target;
    EXPECT_NE(error, "");
    EXPECT_EQ(error.find("secret"), std::string::npos);
  }
}

}
