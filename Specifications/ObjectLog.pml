/* The logs by which fronts learn the state of the store from the store and from each other (Libraries/LibRelay/ObjectLog).
   One object exists in some version, or does not (0), at each revision of the store. Three fronts (two, with restores) list,
   watch and follow each other; each update is computed at one moment and arrives at a later one, in any order. The store is restored
   from a copy: revisions since then are given out again, and positions are ordered by the era first. A watch holds in one
   era only.

   Property: a front has exactly the state of the store at the front's revision, and never goes back.

   Seeded faults: NO_ORDER applies updates that end before the front's revision; NO_GAP forgets that a complete update
   hides objects that existed only meanwhile; NO_LIMIT lets readers use an update beyond the gap that it spans;
   NO_PASSING hides the gaps of a front's sources from its readers; NO_ERA orders positions by their revision alone;
   WATCH_ACROSS continues a watch from a revision of a former era. */

#ifndef REVISIONS
#define REVISIONS 3
#endif
#ifndef RESTORES
#define RESTORES 0
#endif
#define POSITIONS (REVISIONS * (RESTORES + 1))
/* Positions count from 1; 0 is none. */
#define EraOf(position) ((position - 1) / REVISIONS)
#define RevisionOf(position) ((position - 1) % REVISIONS + 1)
#define FRONTS 3
#define UNLIMITED 255

#ifdef NO_ORDER
#define IsNewer(front) true
#elif defined(NO_ERA)
#define IsNewer(front) (revision[front] == 0 || RevisionOf(to) > RevisionOf(revision[front]))
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

#ifdef WATCH_ACROSS
#define CanWatch(front) (RevisionOf(revision[front]) <= RevisionOf(now))
#else
#define CanWatch(front) (EraOf(revision[front]) == EraOf(now))
#endif

byte truth[POSITIONS + 1];
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
  byte copied;
  do
  :: RevisionOf(now) < REVISIONS ->
     atomic {
       if
       :: truth[now + 1] = 0
       :: truth[now + 1] = now + 1
       :: truth[now + 1] = truth[now]
       fi;
       now++
     }
  :: EraOf(now) < RESTORES ->
     atomic {
       /* The history up to the copy is kept. */
       copied = 1;
       do
       :: truth[(EraOf(now) + 1) * REVISIONS + copied] = truth[EraOf(now) * REVISIONS + copied];
          if
          :: copied < RevisionOf(now) -> copied++
          :: break
          fi
       od;
       now = (EraOf(now) + 1) * REVISIONS + copied;
       copied = 0
     }
  :: RevisionOf(now) == REVISIONS -> break
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
       revision[front] > 0 && revision[front] < now && CanWatch(front) ->
       from = revision[front]; to = now; object = truth[now]; limit = UNLIMITED;
       other = EraOf(now) * REVISIONS + RevisionOf(from);
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
#if RESTORES == 0
    run Fetch(1);
#endif
    run Fetch(2);
    run Fetch(2)
  }
}
