#include "ServerConnection.h"

namespace Hornbeam::Gateway {

/// How long further bytes are discarded, after the last response, before the connection is closed.
static constexpr Duration kLingerTime = 500ms;
/// Upper bound on buffered bytes of pipelined requests; above it reading is paused.
static constexpr std::size_t kMaxPipelinedBytes = 65536;
/// What an open connection occupies without any bytes of a message: its objects, timers and the handle of libuv.
static constexpr std::size_t kConnectionBytes = 2048;
/// What a request in progress occupies besides its own bytes: its state and the connection to its endpoint.
static constexpr std::size_t kRequestBytes = 16384;
/// Bounds what the kernel holds of responses that callers do not read.
static constexpr std::size_t kSendBufferBytes = 131072;
static constexpr char kRefusalRetryAfter[] = "0.5";

Exchange::Exchange(std::weak_ptr<ServerConnection> aConnection, RequestMessage aRequest, MonotonicTime aReceived)
  : connection(std::move(aConnection))
  , request(std::move(aRequest))
  , received(aReceived)
{
}

void
Exchange::Respond(ResponseHead const& aHead, std::string_view aBody)
{
  auto const to = this->connection.lock();
  if (!to || to->phase != ServerConnection::Phase::Responding)
    return;
  auto bytes = SerializeResponseHead(aHead, BodyFraming::Sized, aBody.size(), to->ResponseConnectionUse());
  if (this->SendsBody())
    bytes += aBody;
  to->Send(std::move(bytes));
  to->FinishResponse();
}

void
Exchange::BeginStream(ResponseHead const& aHead)
{
  auto const to = this->connection.lock();
  if (to && to->phase == ServerConnection::Phase::Responding)
    to->Send(SerializeResponseHead(aHead, BodyFraming::Chunked, 0, to->ResponseConnectionUse()));
}

void
Exchange::SendChunk(std::string_view aChunk)
{
  auto const to = this->connection.lock();
  if (to && to->phase == ServerConnection::Phase::Responding && !aChunk.empty() && this->SendsBody())
    to->Send(SerializeChunk(aChunk));
}

void
Exchange::EndStream()
{
  auto const to = this->connection.lock();
  if (!to || to->phase != ServerConnection::Phase::Responding)
    return;
  if (this->SendsBody())
    to->Send(SerializeLastChunk());
  to->FinishResponse();
}

void
Exchange::HoldBack(std::size_t aBytes)
{
  auto const to = this->connection.lock();
  if (!to || to->phase != ServerConnection::Phase::Responding || to->heldBackBytes == aBytes)
    return;
  to->heldBackBytes = aBytes;
  to->UpdateUsage();
}

void
Exchange::Abort()
{
  auto const to = this->connection.lock();
  if (!to)
    return;
  to->exchange.reset();
  to->stream->Reset();
  to->End();
}

std::size_t
Exchange::Unsent() const
{
  auto const to = this->connection.lock();
  return to ? to->stream->Unsent() : 0;
}

ServerConnection::ServerConnection(ServerContext& aContext, std::shared_ptr<TcpStream> aStream)
  : context(aContext)
  , stream(std::move(aStream))
{
  this->context.connections.insert(this);
}

ServerConnection::~ServerConnection()
{
  this->context.connections.erase(this);
  this->context.clock.Cancel(this->timer);
  if (this->account != 0)
    this->context.memory->Close(this->account);
}

void
ServerConnection::Serve(ServerContext& aContext, std::shared_ptr<TcpStream> aStream)
{
  auto const connection = std::make_shared<ServerConnection>(aContext, std::move(aStream));
  if (auto* const memory = aContext.memory; memory != nullptr) {
    auto& connected = *connection->stream;
    connection->account = memory->Open(*connection, aContext.group, connected.PeerAddress());
    if (connection->account == 0)
      return connected.Reset();
    connected.SetBufferSizes(ReceiveBufferBytes(memory->Budget()), kSendBufferBytes);
    connection->UpdateUsage();
  }
  connection->self = connection;
  StreamEvents events;
  auto* const raw = connection.get();
  events.onData = [raw](std::string_view aBytes) { raw->OnData(aBytes); };
  events.onEnd = [raw](StreamEnd) { raw->OnEnd(); };
  events.onDrained = [raw] { raw->OnDrained(); };
  connection->stream->SetEvents(std::move(events));
  connection->ArmTimer(aContext.limits.headerTimeout);
}

void
ServerConnection::CloseIfIdle()
{
  if (this->phase != Phase::Idle || !this->received.empty() || this->stream->Unsent() > 0)
    return;
  auto const protector = this->shared_from_this();
  this->stream->Close();
  this->End();
}

void
ServerConnection::Reset()
{
  auto const protector = this->shared_from_this();
  this->exchange.reset();
  // A reset would discard a response that the operating system is still sending.
  if (this->phase == Phase::Lingering && this->stream->Unsent() == 0)
    this->stream->Close();
  else
    this->stream->Reset();
  this->End();
}

CallerUsage
ServerConnection::Usage() const
{
  CallerUsage usage;
  bool const serving = this->phase == Phase::Responding;
  usage.unsentBytes = this->stream->Unsent();
  usage.bytesMoved = this->phase == Phase::Receiving ? this->bytesReceived : this->bytesWritten - usage.unsentBytes;
  usage.requestsCompleted = this->requestsCompleted;
  usage.copyBytes = this->copyBytes + this->heldBackBytes;
  usage.requestBytes = kConnectionBytes + this->exchangeBytes + (this->parser ? this->parser->HeldBytes() : 0);
  (serving ? usage.pipelinedBytes : usage.requestBytes) += AllocatedBytes(this->received);
  if (serving)
    usage.state = CallerState::Serving;
  else if (this->phase == Phase::Receiving)
    usage.state = CallerState::Receiving;
  else if (this->phase != Phase::Idle)
    usage.state = CallerState::Closing;
  return usage;
}

void
ServerConnection::UpdateUsage()
{
  if (this->account != 0)
    this->context.memory->Update(this->account, this->Usage());
}

bool
ServerConnection::FitsBudget()
{
  if (this->account == 0)
    return true;
  auto const before = this->phase;
  this->UpdateUsage();
  this->context.memory->MakeRoom();
  return this->phase == before;
}

void
ServerConnection::Send(std::string aBytes)
{
  this->bytesWritten += aBytes.size();
  this->stream->Write(std::move(aBytes));
  this->UpdateUsage();
  // The caller of this function may be in the middle of a request whose connection would be closed.
  if (this->account != 0)
    this->context.memory->MakeRoomLater();
}

void
ServerConnection::GiveWay(RoomAction aAction)
{
  auto const protector = this->shared_from_this();
  switch (aAction) {
    case RoomAction::RefuseRequest:
      // A refusal guarantees that the request has not run.
      if (this->phase != Phase::Receiving)
        return this->UpdateUsage();
      return this->RespondAndClose({ 503, { { "Content-Type", "text/plain" }, { "Retry-After", kRefusalRetryAfter } } },
                                   "no memory for request");
    case RoomAction::DropPipelined:
      ReleaseString(this->received);
      this->inputDropped = this->closeAfter = true;
      this->stream->ResumeReading();
      return this->UpdateUsage();
    case RoomAction::CloseUnread:
      this->ReportDisconnect();
      this->stream->Reset();
      return this->End();
  }
}

void
ServerConnection::CloseForRoom()
{
  auto const protector = this->shared_from_this();
  this->stream->Close();
  this->End();
}

void
ServerConnection::ReportDisconnect()
{
  if (auto const disconnected = std::move(this->exchange); disconnected && disconnected->onCallerDisconnected)
    disconnected->onCallerDisconnected();
}

ConnectionUse
ServerConnection::ResponseConnectionUse()
{
  if (this->context.use == ConnectionUse::Close)
    this->closeAfter = true;
  return this->closeAfter ? ConnectionUse::Close : ConnectionUse::KeepAlive;
}

void
ServerConnection::OnData(std::string_view aBytes)
{
  auto const protector = this->shared_from_this();
  if (this->phase == Phase::Lingering || this->phase == Phase::Ended)
    return;
  this->bytesReceived += aBytes.size();
  if (this->inputDropped)
    return;
  this->received += aBytes;
  if (this->phase == Phase::Responding) {
    if (this->received.size() > kMaxPipelinedBytes)
      this->stream->PauseReading();
    this->FitsBudget();
    return;
  }
  this->ParseReceived();
}

void
ServerConnection::OnEnd()
{
  auto const protector = this->shared_from_this();
  this->ReportDisconnect();
  this->stream->Close();
  this->End();
}

void
ServerConnection::OnDrained()
{
  auto const protector = this->shared_from_this();
  this->UpdateUsage();
  if (auto const current = this->exchange; current && current->onDrained)
    current->onDrained();
  if (this->context.closing)
    this->CloseIfIdle();
}

void
ServerConnection::BeginRequest()
{
  this->phase = Phase::Receiving;
  this->firstByte = this->context.clock.EarliestArrival();
  this->continueSent = false;
  this->parser = std::make_unique<RequestParser>(this->context.limits.message);
  this->ArmTimer(this->context.limits.headerTimeout);
}

void
ServerConnection::ParseReceived()
{
  if (this->received.empty())
    return;
  if (this->phase == Phase::Idle)
    this->BeginRequest();
  switch (this->parser->Feed(this->received)) {
    case ParseState::NeedMore:
      if (this->received.empty())
        ReleaseString(this->received);
      if (!this->FitsBudget())
        return;
      if (this->parser->HeadComplete() && this->parser->ExpectsContinue() && !this->continueSent) {
        this->continueSent = true;
        this->Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    case ParseState::Malformed:
      return this->Reject(400, "malformed request");
    case ParseState::HeaderTooLarge:
      return this->Reject(431, "header too large");
    case ParseState::BodyTooLarge:
      return this->Reject(413, "body too large");
    case ParseState::Done:
      break;
  }
  this->BeginResponding();
}

void
ServerConnection::BeginResponding()
{
  this->closeAfter = this->parser->WantsClose();
  auto message = this->parser->Take();
  this->parser.reset();
  if (this->received.empty())
    ReleaseString(this->received);
  // The request stays with its exchange, and is encoded once more for the endpoint, where it may wait unsent.
  this->exchangeBytes = HeldBytes(message);
  this->copyBytes = kRequestBytes + this->exchangeBytes;
  if (!this->FitsBudget())
    return;
  this->context.clock.Cancel(this->timer);
  this->phase = Phase::Responding;
  this->UpdateUsage();
  auto request = std::make_shared<Exchange>(this->weak_from_this(), std::move(message), this->firstByte);
  this->exchange = request;
  this->context.handler(std::move(request));
}

void
ServerConnection::FinishResponse()
{
  this->exchange.reset();
  this->exchangeBytes = this->copyBytes = this->heldBackBytes = 0;
  ++this->requestsCompleted;
  // Close only if the response announced it: otherwise the caller may already be sending its next request.
  if (this->closeAfter) {
    this->phase = Phase::Lingering;
    ReleaseString(this->received);
    this->UpdateUsage();
    this->stream->ResumeReading();
    this->ArmTimer(kLingerTime);
    return;
  }
  this->phase = Phase::Idle;
  this->UpdateUsage();
  if (this->context.closing)
    this->CloseIfIdle();
  if (this->phase == Phase::Ended)
    return;
  this->stream->ResumeReading();
  this->ArmTimer(this->context.limits.idleTimeout);
  if (this->received.empty())
    return;
  // A pipelined request starts in the next loop iteration, because the response may have been sent from within its
  // handler.
  std::weak_ptr<ServerConnection> const weak = this->weak_from_this();
  this->context.clock.Schedule(Duration::zero(), [weak] {
    if (auto const connection = weak.lock(); connection && connection->phase == Phase::Idle)
      connection->ParseReceived();
  });
}

void
ServerConnection::Reject(unsigned aStatus, std::string_view aReason)
{
  this->context.onRejected(aStatus, aReason);
  this->RespondAndClose({ aStatus, { { "Content-Type", "text/plain" } } }, aReason);
}

void
ServerConnection::RespondAndClose(ResponseHead const& aHead, std::string_view aReason)
{
  this->parser.reset();
  ReleaseString(this->received);
  this->exchangeBytes = this->copyBytes = this->heldBackBytes = 0;
  this->phase = Phase::Lingering;
  this->ArmTimer(kLingerTime);
  this->Send(SerializeResponseHead(aHead, BodyFraming::Sized, aReason.size(), ConnectionUse::Close) +
             std::string(aReason));
}

void
ServerConnection::ArmTimer(Duration aDelay)
{
  this->context.clock.Cancel(this->timer);
  this->timer = this->context.clock.Schedule(aDelay, [this] { this->OnTimer(); });
}

void
ServerConnection::OnTimer()
{
  auto const protector = this->shared_from_this();
  if (this->phase == Phase::Receiving)
    return this->Reject(408, "request took too long");
  // The connection counts as open until its last response has been sent; a stopping process waits for it.
  if (this->stream->Unsent() > 0)
    return this->ArmTimer(kLingerTime);
  this->stream->Close();
  this->End();
}

void
ServerConnection::End()
{
  this->phase = Phase::Ended;
  this->context.clock.Cancel(this->timer);
  if (auto const closed = std::exchange(this->account, 0); closed != 0)
    this->context.memory->Close(closed);
  this->self.reset();
}

void
HttpListener::BeginClosing()
{
  this->listener.Close();
  this->context.use = ConnectionUse::Close;
  this->context.closing = true;
  for (auto* const connection : std::vector(this->context.connections.begin(), this->context.connections.end()))
    connection->CloseIfIdle();
}

void
HttpListener::ResetConnections()
{
  for (auto* const connection : std::vector(this->context.connections.begin(), this->context.connections.end()))
    connection->Reset();
}

HttpListener::HttpListener(uv_loop_t& aLoop, Clock& aClock, ExchangeHandler aHandler)
  : context{ aClock, {},      std::move(aHandler),  ConnectionUse::KeepAlive,         false,
             {},     nullptr, CallerGroup::Callers, [](unsigned, std::string_view) {} }
  , listener(aLoop, StreamTimeouts{}, [this](std::shared_ptr<TcpStream> aStream) {
    ServerConnection::Serve(this->context, std::move(aStream));
  })
{
}

}
