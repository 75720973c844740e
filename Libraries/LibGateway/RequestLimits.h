#pragma once

#include <LibCore/LibCore.h>

namespace Hornbeam::Gateway {

/// The final answer leaves this much before the caller stops waiting; it covers the way back.
inline constexpr Duration kAnswerMargin = 15ms;

/// The shortest time after which a refused caller is asked back; a refusal for lack of room lasts about as long.
inline constexpr Duration kLeastRetryAfter = 200ms;

/// Where no endpoint can be had: about the first ejection, after which one is tried again.
inline constexpr Duration kRetryAfterNoEndpoint = 500ms;

}
