/* A front follows the table in the platform's store with one list and then consecutive watches. Concurrently, the
 * operator writes, watches are cut, the front restarts, a peer offers the front an older table while the store is
 * unavailable, and the store drops its history. Watches do not report the writes shortly before a drop. They are cut
 * just before it, which the front also sees on its watches of other kinds.
 *
 * The store is restored from a copy: its revision goes back, its era rises, the waiting watch is cut or stays open, and the
 * operator writes the newest table again. An answer to any other call of the front tells it of the new era.
 *
 * The store may be silent: it does not hear a watch, or the answer of a watch is lost. The front checks the store's
 * revision now and then, and lists what it does not know up to it.
 *
 * Checked: the table applied at a front never becomes older while its process runs, and once the system is quiescent it
 * is the newest table.
 *
 * Seeded faults: TAKE_OLDER (older tables are applied), NO_LIST (after status 410 the front starts a watch from the
 * newest revision without a list), LONG_FIRST_WATCH (the watch just after a cut is as long as the others), NO_ERA (a
 * watch continues from a revision of a former era), WAIT_IN_FORMER_ERA (a watch that stays open over a restore waits on), NO_CHECK (a watch that the store did not hear waits on).
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
#ifndef RESTORES
#define RESTORES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

mtype = { listing, starting, waiting, cut };

byte written = 1;     /* the newest revision in the store */
byte newest = 1;      /* the newest version of the table that the operator has written */
byte stored = 1;      /* the version that the store holds */
byte era = 0;
byte copyRevision = 1, copyVersion = 1;
byte forgotten = 0;   /* history up to this revision has been dropped */
bool gap = false;     /* watches do not report writes */
bool signalled = false;
bool storeDone = false;
bool briefWatch = false;
bool lost = false;    /* nothing will answer the waiting watch */
bool recentCut = false; /* a watch of this front was just cut; a drop may follow */

mtype phase = listing;
byte since = 0;       /* the watch starts after this revision */
byte sinceEra = 0;    /* and in this era */
byte inForce = 0;
byte highest = 0;     /* newest revision applied by this process, for the assertion */

/* Whether the store finds changes after a watch's revision. */
#ifdef NO_ERA
#define WatchIsValid() true
#else
#define WatchIsValid() (sinceEra == era)
#endif

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
  byte writes = 0, drops = 0, cuts = 0, restores = 0;
  do
  :: atomic { writes < WRITES || stored < newest ->
       if
       :: stored < newest -> skip /* written again after a restore */
       :: else -> writes++; newest++
       fi;
       stored = newest;
       written++;
       if
       :: !gap && phase == waiting && !lost && written > since && WatchIsValid() -> signalled = true
       :: else -> skip
       fi
     }
  :: atomic { restores < RESTORES && !gap && stored == newest -> copyRevision = written; copyVersion = stored }
  :: atomic { restores < RESTORES && !gap && copyRevision < written ->
       restores++;
       era++;
       written = copyRevision;
       stored = copyVersion;
       forgotten = (forgotten < written -> forgotten : written);
       signalled = false;
       if
       :: phase == waiting -> phase = cut
       :: skip
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
  :: !gap && writes == WRITES && stored == newest -> break
  od;
  storeDone = true
}

active proctype Front() {
  byte restarts = 0, losses = 0, offered;
end:
  do
  :: atomic { phase == listing -> take(stored); since = written; sinceEra = era; phase = starting }
#if !defined(WAIT_IN_FORMER_ERA) && !defined(NO_ERA)
  :: atomic { phase == waiting && sinceEra != era -> signalled = false; phase = listing }
#endif
  /* Even a short watch lasts longer than the time between a cut and the drop. */
  :: atomic { phase == waiting && briefWatch && !gap && !signalled -> recentCut = false; phase = starting }
  :: atomic { phase == starting ->
       if
       :: !WatchIsValid() -> phase = listing
       :: WatchIsValid() && since < forgotten ->
#ifdef NO_LIST
          since = written; sinceEra = era
#else
          phase = listing
#endif
       :: WatchIsValid() && since >= forgotten && !gap && since < written -> take(stored); since = written
       :: WatchIsValid() && since >= forgotten && (gap || since >= written) ->
          phase = waiting;
#ifndef LONG_FIRST_WATCH
          briefWatch = recentCut;
#endif
          if
          :: losses < LOSSES -> losses++; lost = true
          :: lost = false
          fi
       fi
     }
  :: atomic { phase == waiting && signalled && losses < LOSSES -> losses++; signalled = false; lost = true }
#ifndef NO_CHECK
  :: atomic { phase == waiting && !signalled && since < written && sinceEra == era -> phase = listing }
#endif
  :: atomic { phase == waiting && signalled -> signalled = false; take(stored); since = written; phase = starting }
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

/* The next check lists the kind. */
#ifdef NO_CHECK
#define Checked() true
#else
#define Checked() !(since < written && sinceEra == era)
#endif

/* The front still learns of a new era from the answer to another call. */
#if defined(WAIT_IN_FORMER_ERA) || defined(NO_ERA)
#define QuietEra() true
#else
#define QuietEra() (sinceEra == era)
#endif

active proctype Quiet() {
  atomic { storeDone && phase == waiting && !signalled && !briefWatch && QuietEra() && Checked() -> assert(inForce == newest) }
}
