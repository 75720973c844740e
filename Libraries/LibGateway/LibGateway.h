#pragma once

/// LibGateway: a front on the platform. Its services perform the I/O for the decisions that LibServing makes.

#include "GatewayFront.h"
#include "GatewaySettings.h"
