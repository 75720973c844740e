/* A front follows the table in the platform's store: one list, then one watch after the other. Meanwhile the operator
 * writes, the store drops its history (what is written shortly before is heard by no watch; the watches are cut just
 * before the drop, which the front sees on those of other kinds), watches are cut, the front restarts, and a peer hands it an older table while the store is away.
 *
 * Checked: the table in force at a front never goes back while its process runs; when all is quiet, it is the newest.
 * Seeded faults: TAKE_OLDER (any table is taken), NO_LIST (410 begins a watch
 * from the newest revision without a list), LONG_FIRST_WATCH (a watch just after a cut is no shorter than others).
 */
#ifndef WRITES
#define WRITES 4
#endif
#ifndef DROPS
#define DROPS 2
#endif
#ifndef CUTS
#define CUTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

mtype = { listing, starting, waiting, cut };

byte written = 1;     /* the newest table in the store */
byte forgotten = 0;   /* history up to here is dropped */
bool gap = false;     /* watches hear nothing */
bool signalled = false;
bool storeDone = false;
bool briefWatch = false;
bool recentCut = false; /* some watch of this front was cut a moment ago; the drop may be still to come */

mtype phase = listing;
byte since = 0;       /* the watch begins after this */
byte inForce = 0;
byte highest = 0;     /* of this process, for the check */

inline take(version) {
#ifdef TAKE_OLDER
  inForce = version;
#else
  if
  :: version > inForce -> inForce = version
  :: else -> skip
  fi;
#endif
  assert(inForce >= highest);
  highest = inForce
}

active proctype Store() {
  byte writes = 0, drops = 0, cuts = 0;
  do
  :: atomic { writes < WRITES ->
       writes++;
       written++;
       if
       :: !gap && phase == waiting -> signalled = true
       :: else -> skip
       fi
     }
  :: atomic { !gap && drops < DROPS -> drops++; gap = true }
  :: atomic { gap -> /* the watches of this moment are cut; the drop follows later */
       recentCut = true;
       if
       :: phase == waiting -> phase = cut; signalled = false
       :: else -> skip
       fi };
       atomic { forgotten = written; gap = false }
  :: atomic { cuts < CUTS ->
       cuts++;
       if
       :: phase == waiting -> phase = cut; signalled = false
       :: else -> skip
       fi
     }
  :: !gap && writes == WRITES -> break
  od;
  storeDone = true
}

active proctype Front() {
  byte restarts = 0, offered;
end:
  do
  :: atomic { phase == listing -> take(written); since = written; phase = starting }
  /* A short watch outlasts the time between cut and drop. */
  :: atomic { phase == waiting && briefWatch && !gap && !signalled -> recentCut = false; phase = starting }
  :: atomic { phase == starting ->
       if
       :: since < forgotten ->
#ifdef NO_LIST
          since = written
#else
          phase = listing
#endif
       :: since >= forgotten && !gap && since < written -> take(written); since = written
       :: since >= forgotten && (gap || since == written) ->
          phase = waiting;
#ifndef LONG_FIRST_WATCH
          briefWatch = recentCut
#endif
       fi
     }
  :: atomic { phase == waiting && signalled -> signalled = false; take(written); since = written; phase = starting }
  :: atomic { phase == cut ->
       if /* a peer's table, while the store does not answer */
       :: offered = 1; take(offered)
       :: skip
       fi;
       phase = listing
     }
  :: atomic { restarts < RESTARTS && phase != listing ->
       restarts++;
       inForce = 0;
       highest = 0;
       signalled = false;
       phase = listing
     }
  od
}

active proctype Quiet() {
  atomic { storeDone && phase == waiting && !signalled && !briefWatch -> assert(inForce == written) }
}
