#pragma once

namespace Hornbeam::Gateway::GatewayName {

/// The names under which the services of a front on the platform are registered in its kernel.
inline constexpr char kSettings[] = "settings";
inline constexpr char kClock[] = "clock";
inline constexpr char kEventLoop[] = "event-loop";
inline constexpr char kStore[] = "store";
inline constexpr char kCallerMemory[] = "caller-memory";
inline constexpr char kConnections[] = "connections";
inline constexpr char kStateCache[] = "state-cache";
inline constexpr char kPeers[] = "peers";
inline constexpr char kStages[] = "stages";
inline constexpr char kStageOwner[] = "stage-owner";
inline constexpr char kPresence[] = "presence";
inline constexpr char kRelay[] = "relay";
inline constexpr char kCrashes[] = "crashes";
inline constexpr char kStreamOrigins[] = "stream-origins";
inline constexpr char kLoads[] = "loads";
inline constexpr char kRollouts[] = "rollouts";
inline constexpr char kEndpointPaths[] = "endpoint-paths";
inline constexpr char kProxy[] = "proxy";
inline constexpr char kExplain[] = "explain";
inline constexpr char kDirectory[] = "directory";
inline constexpr char kMetrics[] = "metrics";

}
