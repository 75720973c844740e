#pragma once

/// LibSettings: loads and validates the settings of a front from YAML.

#include "FrontSettings.h"
