#pragma once

#include <LibExchange/LibExchange.h>
#include <list>

namespace Hornbeam::Testing {

/// A loopback TCP proxy in front of one address, which does to its connections what networks do.
class SoakProxy
{
public:
  SoakProxy(uv_loop_t& aLoop, Clock& aClock, std::string const& aAddress, std::string aTarget);
  SoakProxy(SoakProxy const&) = delete;
  SoakProxy& operator=(SoakProxy const&) = delete;

  enum class Way
  {
    ToTarget,
    FromTarget,
  };

  /// Bytes take this long from now on.
  void Delay(Duration aDelay) { this->delay = aDelay; }

  /// Bytes of one way are held until Heal(), on new connections as well.
  void Cut(Way aWay);

  void Heal();

  /// Resets all connections that stand.
  void ResetAll();

  /// The connections that stand now never carry a byte again; new ones work.
  void SilenceAll();

private:
  struct Link
  {
    std::shared_ptr<Gateway::TcpStream> caller;
    std::shared_ptr<Gateway::TcpStream> target;
    bool silent{ false };
    /// When the last byte of each way is passed on; none overtakes it.
    MonotonicTime lastToTarget{};
    MonotonicTime lastFromTarget{};
  };
  using LinkPointer = std::shared_ptr<Link>;

  void OnAccept(std::shared_ptr<Gateway::TcpStream> aCaller);
  void Join(LinkPointer const& aLink);
  void Forward(LinkPointer const& aLink, Way aWay);
  /// The time until bytes that come now are passed on.
  Duration TimeOnTheWay(Link& aLink, Way aWay) const;
  void HoldIfCut(LinkPointer const& aLink);
  void End(LinkPointer const& aLink, Way aWay, Gateway::StreamEnd aEnd);

  uv_loop_t& loop;
  Clock& clock;
  std::string target;
  Gateway::TcpListener listener;
  std::list<LinkPointer> links;
  Duration delay{ 0 };
  bool cutToTarget{ false };
  bool cutFromTarget{ false };
};

}
