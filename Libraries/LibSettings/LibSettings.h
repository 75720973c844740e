#pragma once

/// LibSettings: the checked settings of a front, from YAML.

#include "FrontSettings.h"
