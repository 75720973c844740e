#pragma once

/// LibGateway: a front on the platform. Its services do the input and output around the decisions of LibServing.

#include "GatewayFront.h"
#include "GatewaySettings.h"
