/* A front follows the table in the platform's store with one list and then consecutive watches. Concurrently, the
 * operator writes, watches are cut, the front restarts, a peer offers the front an older table while the store is
 * unavailable, and the store drops its history. Watches do not report the writes shortly before a drop. They are cut
 * just before it, which the front also sees on its watches of other kinds.
 *
 * Checked: the table applied at a front never becomes older while its process runs, and once the system is quiescent it
 * is the newest table.
 *
 * Seeded faults: TAKE_OLDER (older tables are applied), NO_LIST (after status 410 the front starts a watch from the
 * newest revision without a list), LONG_FIRST_WATCH (the watch just after a cut is as long as the others).
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

byte written = 1;     /* the newest revision in the store */
byte forgotten = 0;   /* history up to this revision has been dropped */
bool gap = false;     /* watches do not report writes */
bool signalled = false;
bool storeDone = false;
bool briefWatch = false;
bool recentCut = false; /* a watch of this front was just cut; a drop may follow */

mtype phase = listing;
byte since = 0;       /* the watch starts after this revision */
byte inForce = 0;
byte highest = 0;     /* newest revision applied by this process, for the assertion */

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
  :: atomic { gap -> /* all current watches are cut; the drop follows later */
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
  /* Even a short watch lasts longer than the time between a cut and the drop. */
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
       if /* a peer offers its table while the store is unavailable */
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
