#include "FakeEndpoint.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

struct FakeEndpoint::Call
{
  StageCall stage;
  std::uint64_t incarnation{ 0 };
  std::size_t nextToken{ 0 };
  Duration step{ 0 };
  bool cancelled{ false };
  std::function<void(std::string)> onPiece;
  std::function<void(EndpointCallEnd)> onEnd;
};

FakeEndpoint::FakeEndpoint(Clock& aClock, EndpointModelSettings aSettings)
  : clock(aClock)
  , model(aSettings)
{
}

bool
FakeEndpoint::IsLost(CallPointer const& aCall) const
{
  return !this->alive || aCall->incarnation != this->model.incarnation;
}

std::function<void()>
FakeEndpoint::Run(EndpointCall const& aCall,
                  std::function<void(std::string)> aOnPiece,
                  std::function<void(EndpointCallEnd)> aOnEnd)
{
  auto const call = std::make_shared<Call>();
  call->stage = aCall.stage;
  call->nextToken = aCall.stage.resumeFrom;
  call->onPiece = std::move(aOnPiece);
  call->onEnd = std::move(aOnEnd);
  ++this->history.runs[aCall.stage.input];
  this->history.arrivals.push_back(this->clock.Now());
  int const overloadsBefore = this->model.coldOverloads;
  auto const begun = this->model.Begin();
  if (this->model.coldOverloads > overloadsBefore)
    this->history.coldOverloads.push_back(this->restartedAt ? this->clock.Now() - *this->restartedAt : Duration::max());
  call->incarnation = this->model.incarnation;
  if (begun.crashed) {
    this->BreakConnections();
    this->clock.Schedule(1ms, [call] { call->onEnd({ HttpCallEnd::Broken, "the endpoint fell over" }); });
    return [] {};
  }
  std::erase_if(this->running, [](auto const& aCall) { return aCall.expired(); });
  this->running.push_back(call);
  call->step = begun.duration / (this->model.settings.tokens + 1);
  this->clock.Schedule(call->step, [this, call] { this->SendNext(call); });
  return [this, call] {
    if (std::exchange(call->cancelled, true))
      return;
    this->model.Cancel(call->incarnation);
  };
}

void
FakeEndpoint::Restart()
{
  this->model.Restart();
  this->restartedAt = this->clock.Now();
  this->BreakConnections();
}

void
FakeEndpoint::BreakConnections()
{
  for (auto const& weak : std::exchange(this->running, {})) {
    auto const call = weak.lock();
    if (!call || std::exchange(call->cancelled, true))
      continue;
    this->clock.Schedule(1ms, [call] { call->onEnd({ HttpCallEnd::Broken, "the connection closed" }); });
  }
}

void
FakeEndpoint::SendNext(CallPointer const& aCall)
{
  if (aCall->cancelled)
    return;
  if (this->IsLost(aCall)) {
    aCall->cancelled = true;
    aCall->onEnd({ HttpCallEnd::Broken, "the connection closed" });
    return;
  }
  if (aCall->nextToken >= static_cast<std::size_t>(this->model.settings.tokens)) {
    this->SendEnd(aCall);
    return;
  }
  auto const index = aCall->nextToken++;
  json const line = { { "attempt", aCall->stage.attempt },
                      { "index", index },
                      { "token", StageToken(aCall->stage.input, index) } };
  aCall->onPiece(line.dump() + "\n");
  if (this->duplicateTokens)
    aCall->onPiece(line.dump() + "\n");
  this->clock.Schedule(aCall->step, [this, aCall] { this->SendNext(aCall); });
}

void
FakeEndpoint::SendEnd(CallPointer const& aCall)
{
  aCall->cancelled = true;
  this->model.End(aCall->incarnation);
  bool const mixUp = this->mixUps > 0;
  this->mixUps -= mixUp ? 1 : 0;
  json const line = { { "attempt", mixUp ? "another/attempt" : aCall->stage.attempt },
                      { "done", true },
                      { "output", StageOutput(aCall->stage.stage, aCall->stage.input) },
                      { "tokens", this->model.settings.tokens } };
  if (this->loseAnswers > 0) {
    --this->loseAnswers;
    aCall->onEnd({ HttpCallEnd::Broken, "the connection closed" });
    return;
  }
  aCall->onPiece(line.dump() + "\n");
  if (this->doubleAnswers)
    aCall->onPiece(line.dump() + "\n");
  aCall->onEnd({ HttpCallEnd::Complete, "" });
}

}
