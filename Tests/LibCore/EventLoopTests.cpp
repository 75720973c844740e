#include <LibCore/LibCore.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

/// An event of the embedded loop that is raised again whenever it was handled, like bytes that arrive without end.
struct EndlessWork
{
  explicit EndlessWork(EventLoop& aLoop)
  {
    this->async.data = this;
    uv_async_init(&aLoop.UvLoop(), &this->async, [](uv_async_t* aHandle) {
      ++static_cast<EndlessWork*>(aHandle->data)->turns;
      uv_async_send(aHandle);
    });
    uv_async_send(&this->async);
  }

  void Close(EventLoop& aLoop)
  {
    uv_close(reinterpret_cast<uv_handle_t*>(&this->async), nullptr);
    uv_run(&aLoop.UvLoop(), UV_RUN_NOWAIT);
  }

  uv_async_t async{};
  unsigned turns{ 0 };
};

// Fronts whose endpoints sent bytes without end did not hear SIGTERM nor the calls of other fronts.
TEST(EventLoop, RunsItsOtherHalfWhileTheEmbeddedLoopHasEndlessWork)
{
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  EndlessWork work(loop);
  bool ran = false;
  auto const timer =
    loop.Io().provider->getTimer().afterDelay(20 * kj::MILLISECONDS).then([&] { ran = true; }).eagerlyEvaluate(nullptr);
  bool due = false;
  clock.Schedule(200ms, [&] {
    due = true;
    loop.Stop();
  });
  loop.RunUntil([&] { return ran; });
  EXPECT_TRUE(ran);
  EXPECT_FALSE(due);
  EXPECT_GT(work.turns, 0U);
  work.Close(loop);
}

}
