/* The logs by which fronts learn the state of the store from the store and from each other (Libraries/LibRelay/ObjectLog).
   One object exists in some version, or does not (0), at each revision of the store. Three fronts list, watch and
   follow each other; each update is computed at one moment and arrives at a later one, in any order.

   Property: a front has exactly the state of the store at the front's revision, and never goes back.

   Seeded faults: NO_ORDER applies updates that end before the front's revision; NO_GAP forgets that a complete update
   hides objects that existed only meanwhile; NO_LIMIT lets readers use an update beyond the gap that it spans;
   NO_PASSING hides the gaps of a front's sources from its readers. */

#define REVISIONS 3
#define FRONTS 3
#define UNLIMITED 255

#ifdef NO_ORDER
#define IsNewer(front) true
#else
#define IsNewer(front) (to > revision[front])
#endif
#ifdef NO_GAP
#define InGap(front) false
#else
#define InGap(front) (gapAfter[front] < from && from < gapTo[front])
#endif
#ifdef NO_PASSING
#define PassesGap() false
#else
#define PassesGap() (limit < to)
#endif
#ifdef NO_LIMIT
#define SpansGap(front) false
#else
#define SpansGap(front) (gapTo[front] > 0 && gapAfter[front] >= from)
#endif

byte truth[REVISIONS + 1];
byte now = 1;

byte revision[FRONTS];
byte version[FRONTS];
byte changedAt[FRONTS];
byte gapAfter[FRONTS];
byte gapTo[FRONTS];
/* Removals up to this revision are unknown, because only the last gap is remembered. */
byte forgottenTo[FRONTS];

active proctype Store()
{
  do
  :: now < REVISIONS ->
     atomic {
       if
       :: truth[now + 1] = 0
       :: truth[now + 1] = now + 1
       :: truth[now + 1] = truth[now]
       fi;
       now++
     }
  :: now == REVISIONS -> break
  od
}

inline Apply(front)
{
  if
  :: (complete || (revision[front] > 0 && from <= revision[front] && revision[front] <= limit)) && IsNewer(front) ->
     if
     :: complete ->
        if
        :: version[front] != object -> version[front] = object; changedAt[front] = to
        :: else -> skip
        fi
     :: !complete && included && (object == 0 || version[front] != object) -> version[front] = object; changedAt[front] = to
     :: else -> skip
     fi;
     if
     :: complete || PassesGap() ->
        forgottenTo[front] = (gapTo[front] > forgottenTo[front] -> gapTo[front] : forgottenTo[front]);
        gapAfter[front] = revision[front];
        gapTo[front] = to
     :: else -> skip
     fi;
     assert(to >= revision[front]);
     revision[front] = to;
     assert(version[front] == truth[to])
  :: else -> skip
  fi;
  complete = 0; included = 0; object = 0; from = 0; to = 0; limit = 0; other = 0
}

proctype Fetch(byte front)
{
  bit complete, included;
  byte object, from, to, limit, other;

end:
  do
  :: atomic {
       now > revision[front] ->
       complete = 1; included = 1; to = now; object = truth[now]; limit = UNLIMITED
     }
     atomic { Apply(front) }
  :: atomic {
       revision[front] > 0 && revision[front] < now ->
       from = revision[front]; to = now; object = truth[now]; limit = UNLIMITED;
       other = from;
       do
       :: other < now -> included = (included || truth[other] != truth[other + 1]); other++
       :: else -> break
       od;
       other = 0
     }
     atomic { Apply(front) }
  :: atomic {
       if
       :: revision[0] > revision[front] -> other = 0
       :: revision[1] > revision[front] -> other = 1
       :: revision[2] > revision[front] -> other = 2
       fi;
       from = revision[front]; to = revision[other]; object = version[other]; limit = UNLIMITED;
       complete = (from == 0 || from < forgottenTo[other] || InGap(other));
       included = (complete || changedAt[other] > from);
       if
       :: !complete && SpansGap(other) -> limit = gapAfter[other]
       :: else -> skip
       fi;
       other = 0
     }
     atomic { Apply(front) }
  od
}

init {
  atomic {
    if
    :: truth[1] = 0
    :: truth[1] = 1
    fi;
    run Fetch(0);
    run Fetch(1);
    run Fetch(2);
    run Fetch(2)
  }
}
