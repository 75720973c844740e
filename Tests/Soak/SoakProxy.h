#pragma once

#include <LibExchange/LibExchange.h>
#include <deque>
#include <list>

namespace Hornbeam::Testing {

/// A loopback TCP proxy in front of one address, which injects network faults into its connections.
class SoakProxy
{
public:
  SoakProxy(uv_loop_t& aLoop, Clock& aClock, std::string const& aAddress, std::string aTarget);
  SoakProxy(SoakProxy const&) = delete;
  SoakProxy& operator=(SoakProxy const&) = delete;

  enum class Direction
  {
    ToTarget,
    FromTarget,
  };

  /// Delays all bytes that arrive from now on by aDelay.
  void Delay(Duration aDelay) { this->delay = aDelay; }

  /// Blocks one direction until ClearFaults(), on new connections as well.
  void Cut(Direction aDirection);

  /// Resets all open connections. On new ones, removes the length and the chunks of the first response, and ends the
  /// connection with it: regularly if the response is whole, with a reset if not.
  void RemoveFraming();

  void ClearFaults();

  /// Resets all open connections.
  void ResetAll();

  /// Permanently stops forwarding on all open connections without closing them. New connections work.
  void SilenceAll();

private:
  struct Link
  {
    std::shared_ptr<Gateway::TcpStream> caller;
    std::shared_ptr<Gateway::TcpStream> target;
    bool silent{ false };
    /// Reads the response whose framing is removed.
    std::unique_ptr<Gateway::ResponseParser> response;
    std::string unreadResponse;
    bool headForwarded{ false };
    /// What is due in each direction, in order. Timers for the same moment run in any order, so each takes the first.
    std::deque<std::function<void()>> toTarget;
    std::deque<std::function<void()>> fromTarget;
    /// When the last byte of each direction is forwarded. Later bytes are never forwarded earlier.
    MonotonicTime lastToTarget{};
    MonotonicTime lastFromTarget{};
  };
  using LinkPointer = std::shared_ptr<Link>;

  void OnAccept(std::shared_ptr<Gateway::TcpStream> aCaller);
  void StartForwarding(LinkPointer const& aLink);
  void Forward(LinkPointer const& aLink, Direction aDirection);
  /// Runs aAction after the delay of bytes that arrive now, in the order of the calls.
  void Deliver(LinkPointer const& aLink, Direction aDirection, std::function<void()> aAction);
  /// The delay until bytes that arrive now are forwarded.
  Duration DeliveryDelay(Link& aLink, Direction aDirection) const;
  /// Forwards what arrived of a response without its framing.
  void ForwardUnframed(LinkPointer const& aLink, std::string_view aData);
  void PauseIfCut(LinkPointer const& aLink);
  void End(LinkPointer const& aLink, Direction aDirection, Gateway::StreamEnd aEnd);

  uv_loop_t& loop;
  Clock& clock;
  std::string target;
  Gateway::TcpListener listener;
  std::list<LinkPointer> links;
  Duration delay{ 0 };
  bool cutToTarget{ false };
  bool cutFromTarget{ false };
  bool removesFraming{ false };
};

}
