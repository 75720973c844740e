#pragma once

#include <LibExchange/LibExchange.h>
#include <functional>
#include <set>

namespace Hornbeam::Testing {

enum class EndpointKind
{
  /// Responds with a plain body.
  Plain,
  /// Streams events; its inputs are the results of stages.
  Model,
  /// Processes items of a stage and releases their results.
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
  /// The endpoint executed the request, at least partly.
  bool ran{ true };
};

/// The fault that an endpoint shows on a request after receiving it.
enum class EndpointFault
{
  None,
  /// Responds with 503 and does not execute the request.
  Full,
  /// Executes the request and resets the connection without a response.
  LostResponse,
  /// Responds with the id of another request.
  MismatchedResponse,
  /// Executes the request; first, the refusal of another request arrives in place of its response.
  MismatchedRefusal,
  /// Closes the connection in the middle of the response.
  BreakOff,
  /// Pauses after every second event.
  Pause,
  /// Never responds.
  Silent,
  /// Responds with 500.
  Error,
  /// Responds that the stage results it received as inputs no longer exist, and does not execute the request.
  InputsGone,
};

/// A stand-in for one endpoint.
class StandInEndpoint
{
public:
  StandInEndpoint(uv_loop_t& aLoop, Clock& aClock, EndpointKind aKind, std::string aId, std::string aAddress);

  std::string const& Id() const { return this->id; }
  EndpointKind Kind() const { return this->kind; }
  std::string const& Address() const { return this->address; }

  /// Sets the address at which fronts reach the endpoint, if it differs from the listening address.
  void SetPublicAddress(std::string aAddress) { this->publicAddress = std::move(aAddress); }
  std::string const& PublicAddress() const { return this->publicAddress; }

  /// Ends all connections and refuses new ones, as after the end of the process.
  void StopListening()
  {
    this->entry.Close();
    this->entry.ResetConnections();
  }

  /// Returns the fault of a request by its number, starting at 0.
  std::function<EndpointFault(std::size_t)> faultOf;
  Duration workTime{ 5ms };
  /// How long releasing results takes.
  Duration releaseTime{ 0 };
  unsigned events{ 5 };
  Duration eventTime{ 3ms };
  /// Longer than the time without data after which a front abandons an attempt.
  Duration pauseTime{ 1500ms };
  /// The endpoint crashes when it begins to answer a request whose prompt has this part; empty for none.
  std::string crashingPart;
  /// The endpoint crashes when it has worked for workTime on a request with this body; empty for none.
  std::string crashingBody;
  /// The version of its software, in the entry that PlatformWorld::Register() writes and in its events if
  /// includesVersion is set.
  std::string softwareVersion{ "v1" };
  bool includesVersion{ false };
  /// When a crashed endpoint listens again.
  Duration downTime{ 1s };
  /// Called when the endpoint is back; it then has another id.
  std::function<void(std::string const& aPreviousId)> onReturn;
  std::vector<MonotonicTime> crashTimes;
  /// What all answers say of the endpoint, besides what they say of the request.
  Gateway::HeaderFields signals;
  /// The number of stage calls, refused ones too.
  std::vector<MonotonicTime> stageCalls;
  /// Responses, events and results include the id of their request.
  bool includesRequestIds{ false };
  std::vector<SeenRequest> seen;
  std::vector<std::size_t> batchSizes;
  std::set<std::string> heldResults;
  unsigned callersGone{ 0 };

private:
  void Handle(std::shared_ptr<Gateway::Exchange> const& aExchange);
  /// Responds with the signals added to the head.
  void Respond(Gateway::Exchange& aExchange, Gateway::ResponseHead aHead, std::string_view aBody) const;
  Gateway::ResponseHead WithSignals(Gateway::ResponseHead aHead) const;
  void RespondPlain(std::shared_ptr<Gateway::Exchange> const& aExchange, EndpointFault aFault);
  void Stream(std::shared_ptr<Gateway::Exchange> const& aExchange, EndpointFault aFault);
  void SendEvent(std::shared_ptr<Gateway::Exchange> const& aExchange, unsigned aEvent, EndpointFault aFault);
  void RunItems(std::shared_ptr<Gateway::Exchange> const& aExchange);
  bool HasCrashingPart(Gateway::Exchange const& aExchange) const;
  bool HasCrashingBody(Gateway::Exchange const& aExchange) const;
  bool MayCrash() const { return !this->crashingPart.empty() || !this->crashingBody.empty(); }
  void Crash();
  void Return();
  std::string Suffix(std::string const& aRequestId) const;
  void ReleaseItems(std::shared_ptr<Gateway::Exchange> const& aExchange);

  Clock& clock;
  EndpointKind kind;
  std::string id;
  std::string address;
  std::string publicAddress;
  Gateway::HttpListener entry;
  std::uint64_t itemsCompleted{ 0 };
  /// Requests of the present process.
  std::set<std::shared_ptr<Gateway::Exchange>> exchanges;
  bool down{ false };
};

}
