#pragma once

/// LibMembership: the fronts' epoch lease, decided by pure functions over MembershipState.

#include "Member.h"
#include "Membership.h"
