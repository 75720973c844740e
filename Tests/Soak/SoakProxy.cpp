#include "SoakProxy.h"

namespace Hornbeam::Testing {

using namespace Gateway;

SoakProxy::SoakProxy(uv_loop_t& aLoop, Clock& aClock, std::string const& aAddress, std::string aTarget)
  : loop(aLoop)
  , clock(aClock)
  , target(std::move(aTarget))
  , listener(aLoop, {}, [this](std::shared_ptr<TcpStream> aCaller) { this->OnAccept(std::move(aCaller)); })
{
  VERIFY(this->listener.Open(aAddress));
}

void
SoakProxy::OnAccept(std::shared_ptr<TcpStream> aCaller)
{
  auto const link = std::make_shared<Link>();
  link->caller = std::move(aCaller);
  link->caller->PauseReading();
  link->target = TcpStream::Connect(this->loop, this->target, {}, [this, link](bool aConnected) {
    if (aConnected)
      this->StartForwarding(link);
    else
      link->caller->Reset();
  });
}

void
SoakProxy::StartForwarding(LinkPointer const& aLink)
{
  this->links.push_back(aLink);
  if (this->removesFraming)
    aLink->response = std::make_unique<ResponseParser>(ResponseTo::OtherMethod);
  this->Forward(aLink, Direction::ToTarget);
  this->Forward(aLink, Direction::FromTarget);
  aLink->caller->ResumeReading();
  this->PauseIfCut(aLink);
}

void
SoakProxy::Forward(LinkPointer const& aLink, Direction aDirection)
{
  auto const& from = aDirection == Direction::ToTarget ? aLink->caller : aLink->target;
  std::weak_ptr<TcpStream> const to = aDirection == Direction::ToTarget ? aLink->target : aLink->caller;
  StreamEvents events;
  events.onData = [this, aDirection, to, link = std::weak_ptr(aLink)](std::string_view aData) {
    auto const known = link.lock();
    if (!known || known->silent)
      return;
    if (aDirection == Direction::FromTarget && known->response)
      return this->ForwardUnframed(known, aData);
    auto write = [to, data = std::string(aData)] {
      if (auto const stream = to.lock(); stream && stream->IsOpen())
        stream->Write(data);
    };
    this->Deliver(known, aDirection, std::move(write));
  };
  events.onEnd = [this, aDirection, link = std::weak_ptr(aLink)](StreamEnd aEnd) {
    if (auto const known = link.lock())
      this->End(known, aDirection, aEnd);
  };
  from->SetEvents(std::move(events));
}

void
SoakProxy::ForwardUnframed(LinkPointer const& aLink, std::string_view aData)
{
  aLink->unreadResponse += aData;
  auto const state = aLink->response->Feed(aLink->unreadResponse);
  std::string bytes;
  if (aLink->response->HeadComplete()) {
    auto const head = aLink->response->Head();
    if (!std::exchange(aLink->headForwarded, true)) {
      bytes = "HTTP/1.1 " + std::to_string(head.status) + " Unframed\r\n";
      for (auto const& [name, value] : head.fields)
        if (!IsHopByHop(name, ""))
          bytes.append(name).append(": ").append(value).append("\r\n");
      bytes += "Connection: close\r\n\r\n";
    }
    bytes += aLink->response->TakeBody();
  }
  this->Deliver(aLink, Direction::FromTarget, [to = aLink->caller, bytes] {
    if (to->IsOpen())
      to->Write(bytes);
  });
  if (state == ParseState::NeedMore)
    return;
  aLink->target->Reset();
  this->End(aLink, Direction::FromTarget, state == ParseState::Done ? StreamEnd::Closed : StreamEnd::Reset);
}

void
SoakProxy::End(LinkPointer const& aLink, Direction aDirection, StreamEnd aEnd)
{
  this->links.remove(aLink);
  if (aLink->silent)
    return;
  // An unframed response that is not whole must not end regularly.
  if (aDirection == Direction::FromTarget && aLink->response && aLink->target->IsOpen())
    aEnd = StreamEnd::Reset;
  auto const other = aDirection == Direction::ToTarget ? aLink->target : aLink->caller;
  this->Deliver(aLink, aDirection, [other, aEnd] {
    if (!other->IsOpen())
      return;
    if (aEnd == StreamEnd::Reset)
      other->Reset();
    else
      other->Close();
  });
}

void
SoakProxy::Deliver(LinkPointer const& aLink, Direction aDirection, std::function<void()> aAction)
{
  auto const queueOf = [aDirection](Link & aOf) -> auto&
  {
    return aDirection == Direction::ToTarget ? aOf.toTarget : aOf.fromTarget;
  };
  queueOf(*aLink).push_back(std::move(aAction));
  this->clock.Schedule(this->DeliveryDelay(*aLink, aDirection), [aLink, queueOf] {
    auto const action = std::move(queueOf(*aLink).front());
    queueOf(*aLink).pop_front();
    action();
  });
}

Duration
SoakProxy::DeliveryDelay(Link& aLink, Direction aDirection) const
{
  auto& last = aDirection == Direction::ToTarget ? aLink.lastToTarget : aLink.lastFromTarget;
  last = std::max(last, this->clock.Now() + this->delay);
  return last - this->clock.Now();
}

void
SoakProxy::PauseIfCut(LinkPointer const& aLink)
{
  if (this->cutToTarget)
    aLink->caller->PauseReading();
  if (this->cutFromTarget)
    aLink->target->PauseReading();
}

void
SoakProxy::Cut(Direction aDirection)
{
  (aDirection == Direction::ToTarget ? this->cutToTarget : this->cutFromTarget) = true;
  for (auto const& link : this->links)
    this->PauseIfCut(link);
}

void
SoakProxy::ClearFaults()
{
  this->delay = {};
  this->cutToTarget = this->cutFromTarget = this->removesFraming = false;
  auto const known = this->links;
  for (auto const& link : known) {
    link->caller->ResumeReading();
    link->target->ResumeReading();
  }
}

void
SoakProxy::ResetAll()
{
  auto const known = std::move(this->links);
  this->links.clear();
  for (auto const& link : known) {
    link->caller->Reset();
    link->target->Reset();
  }
}

void
SoakProxy::RemoveFraming()
{
  this->removesFraming = true;
  this->ResetAll();
}

void
SoakProxy::SilenceAll()
{
  for (auto const& link : this->links)
    link->silent = true;
}

}
