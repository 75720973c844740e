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
  std::function<void(std::string)> onChunk;
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
                  std::function<void(std::string)> aOnChunk,
                  std::function<void(EndpointCallEnd)> aOnEnd)
{
  auto const call = std::make_shared<Call>();
  call->stage = aCall.stage;
  call->nextToken = aCall.stage.resumeFrom;
  call->onChunk = std::move(aOnChunk);
  call->onEnd = std::move(aOnEnd);
  ++this->history.runs[aCall.stage.input];
  this->history.arrivals.push_back(this->clock.Now());
  int const overloadsBefore = this->model.coldOverloads;
  auto const started = this->model.Begin();
  if (this->model.coldOverloads > overloadsBefore)
    this->history.coldOverloads.push_back(this->restartedAt ? this->clock.Now() - *this->restartedAt : Duration::max());
  call->incarnation = this->model.incarnation;
  if (started.crashed) {
    this->BreakConnections();
    this->clock.Schedule(1ms, [call] {
      call->onEnd({ HttpCallEnd::Broken, "the endpoint was overloaded and restarted" });
    });
    return [] {};
  }
  std::erase_if(this->running, [](auto const& aCall) { return aCall.expired(); });
  this->running.push_back(call);
  call->step = started.duration / (this->model.settings.tokens + 1);
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
  aCall->onChunk(line.dump() + "\n");
  if (this->duplicateTokens)
    aCall->onChunk(line.dump() + "\n");
  this->clock.Schedule(aCall->step, [this, aCall] { this->SendNext(aCall); });
}

void
FakeEndpoint::SendEnd(CallPointer const& aCall)
{
  aCall->cancelled = true;
  this->model.End(aCall->incarnation);
  bool const misattributed = this->responsesToMisattribute > 0;
  this->responsesToMisattribute -= misattributed ? 1 : 0;
  json const line = { { "attempt", misattributed ? "another/attempt" : aCall->stage.attempt },
                      { "done", true },
                      { "output", StageOutput(aCall->stage.stage, aCall->stage.input) },
                      { "tokens", this->model.settings.tokens } };
  if (this->responsesToLose > 0) {
    --this->responsesToLose;
    aCall->onEnd({ HttpCallEnd::Broken, "the connection closed" });
    return;
  }
  aCall->onChunk(line.dump() + "\n");
  if (this->duplicateResponses)
    aCall->onChunk(line.dump() + "\n");
  aCall->onEnd({ HttpCallEnd::Complete, "" });
}

}
