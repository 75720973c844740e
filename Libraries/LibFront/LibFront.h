#pragma once

/// LibFront: the services of a front. They carry out I/O and apply the decision logic of the other libraries.

#include "Front.h"
