#pragma once

/// LibMembership: the epoch lease protocol of the fronts, implemented as functions over MembershipState without I/O.

#include "Member.h"
#include "Membership.h"
