#pragma once

/// LibFront: the services of a front around the decisions of the other libraries.

#include "Front.h"
