#pragma once

namespace Hornbeam::Gateway::GatewayName {

/// The names under which the parts of a front on the platform find each other.
inline constexpr char kSettings[] = "settings";
inline constexpr char kClock[] = "clock";
inline constexpr char kStore[] = "store";
inline constexpr char kConnections[] = "connections";
inline constexpr char kStateCache[] = "beliefs";
inline constexpr char kPeers[] = "peers";
inline constexpr char kStages[] = "stages";
inline constexpr char kStageOwner[] = "stage-owner";
inline constexpr char kPresence[] = "presence";
inline constexpr char kProxy[] = "proxy";
inline constexpr char kDirectory[] = "directory";
inline constexpr char kMetrics[] = "metrics";

}
