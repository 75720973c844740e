#pragma once

namespace Hornbeam::ServiceName {

/// The names under which the services of a front are registered in the kernel.
inline constexpr char const* kClock = "clock";
inline constexpr char const* kSettings = "settings";
inline constexpr char const* kStorePort = "store-port";
inline constexpr char const* kPeerPort = "peer-port";
inline constexpr char const* kEndpointPort = "endpoint-port";
inline constexpr char const* kMembership = "membership";
inline constexpr char const* kConfiguration = "configuration";
inline constexpr char const* kGrants = "grants";
inline constexpr char const* kRequests = "requests";
inline constexpr char const* kCallers = "callers";
inline constexpr char const* kAdministration = "administration";
inline constexpr char const* kShutdown = "shutdown";
inline constexpr char const* kMetrics = "metrics";

}
