#pragma once

#include <LibExchange/LibExchange.h>
#include <functional>
#include <set>

namespace Hornbeam::Testing {

enum class EndpointKind
{
  /// Answers with a body of its own.
  Plain,
  /// Streams events, given the results of its stages.
  Model,
  /// Makes and frees pieces.
  Stage,
};

/// A request as an endpoint received it.
struct SeenRequest
{
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  Gateway::HeaderFields fields;
  MonotonicTime at{};
  /// The endpoint began to work on it.
  bool ran{ true };
};

/// What an endpoint does wrong with a request, once it has received it.
enum class EndpointFault
{
  None,
  /// Answers 503 and does not run it.
  Full,
  /// Runs it and resets the connection without an answer.
  LostResponse,
  /// Answers for another request.
  MismatchedResponse,
  /// Breaks off in the middle of the answer.
  BreakOff,
  /// Pauses after every second event.
  Pause,
  /// Answers nothing.
  Silent,
  /// Answers 500.
  Error,
  /// The results that it was given are gone.
  InputsGone,
};

/// A stand-in for one endpoint.
class StandInEndpoint
{
public:
  StandInEndpoint(uv_loop_t& aLoop, Clock& aClock, EndpointKind aKind, std::string aId, std::string aAddress);

  std::string const& Id() const { return this->id; }
  std::string const& Address() const { return this->address; }

  /// The address under which fronts reach it, when that is another one.
  void SetPublicAddress(std::string aAddress) { this->publicAddress = std::move(aAddress); }
  std::string const& PublicAddress() const { return this->publicAddress; }

  /// Decides the fault of each request by its number, from zero.
  std::function<EndpointFault(std::size_t)> faultOf;
  Duration workTime{ 5ms };
  unsigned events{ 5 };
  /// Longer than the silence after which a front gives a stream up.
  Duration pauseTime{ 1500ms };
  /// Answers, events and results carry the id of their request.
  bool includesRequestIds{ false };
  std::vector<SeenRequest> seen;
  std::vector<std::size_t> batchSizes;
  std::set<std::string> heldResults;
  unsigned callersGone{ 0 };

private:
  void Handle(std::shared_ptr<Gateway::Exchange> const& aExchange);
  void AnswerPlain(std::shared_ptr<Gateway::Exchange> const& aExchange, EndpointFault aFault);
  void Stream(std::shared_ptr<Gateway::Exchange> const& aExchange, EndpointFault aFault);
  void SendEvent(std::shared_ptr<Gateway::Exchange> const& aExchange, unsigned aEvent, EndpointFault aFault);
  void MakePieces(std::shared_ptr<Gateway::Exchange> const& aExchange);
  std::string Suffix(std::string const& aRequestId) const;
  void FreePieces(std::shared_ptr<Gateway::Exchange> const& aExchange);

  Clock& clock;
  EndpointKind kind;
  std::string id;
  std::string address;
  std::string publicAddress;
  Gateway::HttpListener entry;
  std::uint64_t made{ 0 };
};

}
