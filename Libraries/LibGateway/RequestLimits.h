#pragma once

#include <LibCore/LibCore.h>

namespace Hornbeam::Gateway {

/// The response is sent this long before the caller's timeout, to allow for the network latency back to the caller.
inline constexpr Duration kResponseMargin = 15ms;

/// The minimum Retry-After of a refused request; endpoints refuse requests for lack of capacity for about as long.
inline constexpr Duration kMinRetryAfter = 200ms;

/// Retry-After if no endpoint is available: about the duration of a first ejection, after which endpoints are tried
/// again.
inline constexpr Duration kRetryAfterNoEndpoint = 500ms;

}
