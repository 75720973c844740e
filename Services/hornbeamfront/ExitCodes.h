#pragma once

namespace Hornbeam {

/// Exit codes of the program.
inline constexpr int kExitSettings = 2;
inline constexpr int kExitAddress = 3;

}
