#pragma once

#include <LibExchange/LibExchange.h>
#include <Platform/StandInEndpoint.h>
#include <Platform/StandInStore.h>
#include <Soak/SoakFront.h>

namespace Hornbeam::Testing {

enum class ReadsResponses
{
  Yes,
  No,
};

/// What each caller of a crowd sends; all of them keep their connections open afterwards.
struct CrowdInput
{
  std::string first;
  std::string repeated;
  unsigned repeats{ 0 };
  std::string last;
  ReadsResponses reads{ ReadsResponses::Yes };
};

/// What the system says of a process.
struct ProcessUsage
{
  /// The highest resident memory since the process was started (VmHWM).
  std::size_t peakBytes{ 0 };
  std::size_t descriptors{ 0 };
};

/// One front as a real process with low limits, a stand-in store and stand-in endpoints, and a crowd of callers.
class CrowdWorld
{
public:
  CrowdWorld();
  ~CrowdWorld();
  CrowdWorld(CrowdWorld const&) = delete;
  CrowdWorld& operator=(CrowdWorld const&) = delete;

  SoakFrontAddresses const& Addresses() const { return this->front->Addresses(); }

  /// Connects aCallers callers to the addresses in turn and sends aInput on each connection, for aTime.
  void RunCrowd(std::vector<std::string> const& aAddresses,
                unsigned aCallers,
                CrowdInput const& aInput,
                Duration aTime);
  /// Resets the connections of the crowd.
  void EndCrowd();

  bool FrontLives();
  ProcessUsage const& HighestUsage() const { return this->highest; }

  /// Sends an ordinary request and returns the status of its response; zero if there is none.
  unsigned SendOrdinaryRequest();

private:
  struct Caller
  {
    std::shared_ptr<Gateway::TcpStream> stream;
    unsigned next{ 0 };
    bool connected{ false };
    bool ended{ false };
  };

  std::string NextAddress();
  bool RunUntil(std::function<bool()> const& aCondition, Duration aTime);
  void StreamLargeResponse(std::shared_ptr<Gateway::Exchange> const& aExchange);
  void SendMore(std::shared_ptr<Gateway::Exchange> const& aExchange, std::size_t aLeft);
  void Feed(Caller& aCaller, CrowdInput const& aInput) const;
  void Measure();

  Clock clock{ ClockMode::Running };
  EventLoop loop{ this->clock };
  unsigned nextPort{ 0 };
  std::unique_ptr<StandInStore> store;
  std::unique_ptr<StandInEndpoint> plain;
  std::unique_ptr<Gateway::HttpListener> large;
  std::unique_ptr<SoakFront> front;
  std::vector<std::unique_ptr<Caller>> crowd;
  Gateway::ConnectionPool ordinary{ this->loop.UvLoop(), this->clock };
  ProcessUsage highest;
};

}
