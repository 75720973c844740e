/* The epoch lease protocol of LibMembership with three fronts and one store.
 *
 * Times are remaining ticks; a lease lasts LEASE ticks. A front starts a heartbeat round, its peers acknowledge it one
 * by one at any later time, and the front completes it. Responses can therefore be delayed arbitrarily, and a front can
 * pause between any two steps. Clocks tick in lockstep; clock drift is covered by driftAllowance and is not modelled.
 *
 * Faults: any store operation can be delayed indefinitely, which for safety is equivalent to an outage, a slow store or
 * a partition; a write is applied but its response is lost; a front restarts and loses its state; fronts pause.
 *
 * With TABLE, the configuration table is modelled too: one edit, written and accepted by one front.
 *
 * Seeded faults, which the search must detect: NO_WAIT, NO_MAJORITY, NO_CHECK, LEASE_FROM_ANSWER, NO_TABLE_CHECK.
 */

#define FRONTS 3
#define LEASE 1
#ifndef LAST_EPOCH
#define LAST_EPOCH 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define MAJORITY(m, of) (2 * COUNT((m) & (of)) > COUNT(of))
#define IS_MEMBER(i, e) ((members[e] & BIT(i)) && (e) >= firstEpoch[i])

byte storeEpoch = 1;
bit storeTable = 0;
byte members[LAST_EPOCH + 1];
byte restarts = 0;

/* The latest epoch that a front knows, and the latest that it knows to be active. */
byte known[FRONTS];
byte activeEpoch[FRONTS];
bit table[FRONTS];
/* The first epoch whose members can include the current process of the front. */
byte firstEpoch[FRONTS];
/* The lease: its epoch and its remaining ticks. */
byte leaseEpoch[FRONTS];
byte lease[FRONTS];
/* The heartbeat round: whether one is in flight, and which fronts have acknowledged it. Its age is less than LEASE,
 * which is 1. */
bit sending[FRONTS];
byte witnesses[FRONTS];
/* The handover: previous members known to have received the record, the newest table among them, the remaining wait. */
byte handover[FRONTS];
bit handoverTable[FRONTS];
bit waiting[FRONTS];
byte wait[FRONTS];
bit storeSeen[FRONTS];
/* Acceptance of table 1: members known to have it within the editor's active epoch. */
byte having = 0;
byte editor = FRONTS;
bit accepted = 0;
byte sinceAccepted = 0;

#define HOLDS(i) (lease[i] > 0)
#define TWO_EPOCHS(i, j) (HOLDS(i) && HOLDS(j) && leaseEpoch[i] != leaseEpoch[j])
#define OUTDATED(i) (accepted && sinceAccepted >= LEASE && HOLDS(i) && table[i] == 0)

/* Whether front j can acknowledge front i: it knows no newer epoch or table. */
#ifdef NO_CHECK
#define WITNESSES(j, i) true
#else
#define WITNESSES(j, i) (known[j] <= known[i] && table[j] <= table[i])
#endif

/* The safety properties, checked whenever a lease is acquired and at every tick. */
inline Check()
{
  /* Leases are never held in two epochs at once, so a key never has two active owners. */
  assert(!(TWO_EPOCHS(0, 1) || TWO_EPOCHS(0, 2) || TWO_EPOCHS(1, 2)));
  /* No lease is held under a table older than one that was accepted at least a lease duration ago. */
  assert(!(OUTDATED(0) || OUTDATED(1) || OUTDATED(2)))
}

inline Learn(i, e)
{
  known[i] = e;
  sending[i] = 0;
  witnesses[i] = 0;
  handover[i] = 0;
  handoverTable[i] = 0;
  waiting[i] = 0;
  wait[i] = 0;
  storeSeen[i] = 0;
  if
  :: editor == i -> having = 0
  :: else
  fi
}

inline Activate(i)
{
  activeEpoch[i] = known[i];
  if
  :: leaseEpoch[i] != known[i] -> lease[i] = 0
  :: else
  fi;
  handover[i] = 0;
  handoverTable[i] = 0;
  waiting[i] = 0;
  wait[i] = 0;
  storeSeen[i] = 0
}

inline TakeLease(i)
{
  lease[i] = LEASE;
  leaseEpoch[i] = known[i];
  Check()
}

#define PREVIOUS(i) members[known[i] - 1]
#define GONE_MASK(e) ((firstEpoch[0] > (e)) + (firstEpoch[1] > (e)) * 2 + (firstEpoch[2] > (e)) * 4)
#define SELF_MASK(i) (IS_MEMBER(i, known[i] - 1) * BIT(i))
/* The members of the previous epoch that have received the record or have terminated. */
#define KNOWING(i) ((handover[i] | GONE_MASK(known[i] - 1)) & PREVIOUS(i))
#define IS_ACTIVE(i) (known[i] > 0 && activeEpoch[i] >= known[i])

proctype Front(byte i)
{
  byte j;
  byte next;
end:
  do
  /* Read the record from the store. */
  :: atomic { known[i] < storeEpoch -> Learn(i, storeEpoch) }

  /* Read the table from the store. */
  :: atomic { table[i] < storeTable -> table[i] = storeTable }

  /* Write the next epoch, conditional on the known record, which must be active. The response may be lost. */
  :: atomic {
      IS_ACTIVE(i) && known[i] == storeEpoch && storeEpoch < LAST_EPOCH ->
#ifdef ONLY_JOINS
      next = 7;
#else
      if
      :: next = 7
      :: next = 7 & ~BIT((i + 1) % FRONTS)
      :: next = 7 & ~BIT((i + 2) % FRONTS)
      fi;
#endif
      storeEpoch++;
      members[storeEpoch] = next;
      if
      :: Learn(i, storeEpoch)
      :: skip
      fi;
      next = 0
    }

  /* Edit the table. Fronts 1 and 2 are symmetric, so only front 0 or 1 needs to be the editor. */
#ifdef TABLE
  :: atomic {
      i < 2 && storeTable == 0 && IS_ACTIVE(i) && lease[i] > 0 ->
      storeTable = 1;
      table[i] = 1;
      editor = i
    }
#endif

  /* Start a heartbeat round. */
  :: atomic { IS_ACTIVE(i) && IS_MEMBER(i, known[i]) && !sending[i] -> sending[i] = 1; witnesses[i] = BIT(i) }

  /* Complete the round with acknowledgements from a majority. */
  :: atomic {
      sending[i] && MAJORITY(witnesses[i], members[known[i]]) ->
      TakeLease(i);
      sending[i] = 0;
          witnesses[i] = 0
    }

  /* Extend the lease by a store read that is sent and completed within one tick. */
  :: atomic {
      IS_ACTIVE(i) && IS_MEMBER(i, known[i]) && known[i] == storeEpoch && table[i] >= storeTable ->
      TakeLease(i)
    }

  /* Receive a message from a peer. */
  :: atomic {
      j = (i + 1) % FRONTS;
      if
      :: skip
      :: j = (j + 1) % FRONTS
      fi;
      if
      :: known[j] > known[i] -> Learn(i, known[j])
      :: known[j] <= known[i] && table[j] > table[i] -> table[i] = table[j]
      :: known[j] <= known[i] && activeEpoch[j] >= known[i] && known[i] > activeEpoch[i] && table[j] <= table[i] -> Activate(i)
      :: sending[i] && IS_MEMBER(j, known[i]) && !(witnesses[i] & BIT(j)) && WITNESSES(j, i) ->
        witnesses[i] = witnesses[i] | BIT(j)
      :: known[i] > 1 && !IS_ACTIVE(i) && known[j] >= known[i] && IS_MEMBER(j, known[i] - 1) && !(handover[i] & BIT(j)) ->
        handover[i] = handover[i] | BIT(j);
        handoverTable[i] = handoverTable[i] | table[j]
      :: editor == i && IS_ACTIVE(i) && !accepted && IS_MEMBER(j, known[i]) && table[j] == 1 &&
           known[j] <= known[i] && !(having & BIT(j)) -> having = having | BIT(j)
      :: else
      fi;
      j = 0
    }

  /* A majority of the previous epoch, including this front, has received the record: start the wait. */
  :: atomic {
      known[i] > 1 && !IS_ACTIVE(i) && !waiting[i] &&
#ifndef NO_MAJORITY
      MAJORITY(KNOWING(i) | SELF_MASK(i), PREVIOUS(i)) ->
#else
      true ->
#endif
      waiting[i] = 1;
      storeSeen[i] = 0;
#ifdef NO_WAIT
      wait[i] = 0
#else
      wait[i] = LEASE
#endif
    }

  /* Read the table from the store after the wait has started. */
  :: atomic { waiting[i] && !storeSeen[i] && table[i] >= storeTable && known[i] == storeEpoch -> storeSeen[i] = 1 }

  /* Activate the epoch. */
  :: atomic {
      waiting[i] && wait[i] == 0 &&
#ifndef NO_TABLE_CHECK
      (storeSeen[i] ||
       (MAJORITY(handover[i] | SELF_MASK(i), PREVIOUS(i)) && handoverTable[i] <= table[i])) ->
#else
      true ->
#endif
      Activate(i)
    }

  /* A majority of the editor's active epoch has table 1: the edit is accepted. */
  :: atomic {
      editor == i && !accepted && IS_ACTIVE(i) && IS_MEMBER(i, known[i]) &&
        MAJORITY(having | BIT(i), members[known[i]]) ->
      accepted = 1;
      having = 0
    }

  /* Restart and lose all state. The fronts are symmetric, so only front 0 needs to restart. */
  :: atomic {
      i == 0 && restarts < RESTARTS && known[i] > 0 ->
      restarts++;
      Learn(i, 0);
      if
      :: editor == i -> editor = FRONTS
      :: else
      fi;
      activeEpoch[i] = 0;
      table[i] = 0;
      lease[i] = 0;
      leaseEpoch[i] = 0;
      firstEpoch[i] = storeEpoch + 1
    }
  od
}

active proctype Time()
{
  byte i;
end:
  do
  :: atomic {
      i = 0;
      do
      :: i < FRONTS ->
        if
        :: lease[i] > 0 -> lease[i]--
        :: else
        fi;
        if
        :: lease[i] == 0 -> leaseEpoch[i] = 0
        :: else
        fi;
        if
        :: wait[i] > 0 -> wait[i]--
        :: else
        fi;
        if
#ifndef LEASE_FROM_ANSWER
        /* A lease is measured from the send time, so a round that is a lease duration old cannot extend it. */
        :: sending[i] ->
          sending[i] = 0;
          witnesses[i] = 0
#endif
        :: else
        fi;
        i++
      :: else -> break
      od;
      if
      :: accepted && sinceAccepted < LEASE -> sinceAccepted++
      :: else
      fi;
      i = 0;
      Check()
    }
  od
}

init
{
  atomic {
    byte i = 0;
    members[1] = 7;
    do
    :: i < FRONTS ->
      known[i] = 1;
      activeEpoch[i] = 1;
      firstEpoch[i] = 1;
      run Front(i);
      i++
    :: else -> break
    od;
    i = 0
  }
}
