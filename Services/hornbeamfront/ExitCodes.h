#pragma once

namespace Hornbeam {

/// Exit codes of the program.
inline constexpr int kExitInvalidSettings = 2;
inline constexpr int kExitCannotListen = 3;

}
