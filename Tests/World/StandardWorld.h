#pragma once

#include "World.h"

namespace Hornbeam {

/// A world with three fronts in three data centres, a pipeline of two stages, a streamed generation and a
/// non-repeatable service.
///
/// Data centres dc-1 to dc-3; pools encode (encode-1 to -3), generate (generate-1 to -3) and redemption (redemption-1
/// and -2); pipelines notes (encode, generate) and redeem (redemption, non-repeatable); accounts brewers and stewards.
std::unique_ptr<World>
MakeStandardWorld(std::uint64_t aSeed = 1, bool aStartsWarm = true, Duration aShutdownGrace = 50s);

/// The table of the standard world, in its stored form.
std::string
StandardTable();

}
