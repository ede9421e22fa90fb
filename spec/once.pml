/*
 * Calls that may not be repeated: one key, a caller that makes up to three attempts one after the other through
 * entries that may be paused at any step, and owners of the key that are replaced, frozen, or succeeded.
 * Owner 0: the first process of machine A. Owner 1: the process that replaces it at the same address.
 * Owner 2: machine B, once the list of owners has changed.
 *
 * The actions name the systems that implement them:
 *   bind           OnceRouter#ownerOf, OnceRouter#isFresh
 *   deliver        OnceRouter#attempt, CallLinks.to (a connection leads to one process)
 *   take           OnceCalls.run, OnceLedger.admit, OnceLedger.refuse
 *   announceMove, acknowledge, settle     decideOwners, KeyOwnership.follow, OwnersDuty
 *   takeForDead, thaw                     MachineWatch, KeyOwnership.confirm
 *
 * Each guard can be left out: NO_LEDGER, NO_FRESHNESS, NO_EPOCH_CHECK, NO_ACKNOWLEDGEMENT, NO_TOMBSTONE,
 * NO_GAP_GUARD.
 */
#define ATTEMPTS 3

byte runs = 0;
bool ranAt[3];            /* the owner's ledger */
byte refusedUpTo[3];      /* the owner's ledger: attempts that were refused as not run */
bool alive[3];
bool since[3];            /* became owner before the caller's first attempt began */
bool acknowledged = false; /* owner of machine A takes no key that moves */
bool announced = false;
byte epoch = 1;
bool frozen = false;
bool takenForDead = false;
bool gapSeen = false;     /* the thawed owner knows that it was silent for too long */
bool started = false;     /* the first attempt has begun */
byte waitingFor = 0;      /* the attempt whose answer the caller still listens to */
bool toldNotRun = false;  /* the caller was told that the key has not run */

/* The owner that an entry may take for the present one; its view may lag. */
inline bind(target, boundEpoch) {
  if
  :: alive[0] || !alive[1] -> target = 0; boundEpoch = 1
  :: alive[1] -> target = 1; boundEpoch = 1
  :: epoch == 2 -> target = 2; boundEpoch = 2
  fi
}

/* The owner `target` takes the call or refuses it. `verdict`: 0 unknown, 1 not run, 2 ran or runs. */
inline take(target, boundEpoch, attempt, fresh, verdict) {
  if
#ifndef NO_GAP_GUARD
  :: target < 2 && gapSeen -> verdict = (attempt == 1 -> 1 : 0)
#endif
#ifndef NO_EPOCH_CHECK
  :: target < 2 && acknowledged -> verdict = (attempt == 1 -> 1 : 0)
#endif
  :: else ->
     if
#ifndef NO_LEDGER
     :: ranAt[target] -> verdict = 2
#endif
     :: else ->
        if
        :: attempt <= refusedUpTo[target] -> verdict = 1
        :: attempt > refusedUpTo[target] ->
           if
#ifndef NO_FRESHNESS
           :: !fresh && refusedUpTo[target] == 0 -> verdict = 0
#endif
           :: else ->
              if
              :: runs++; ranAt[target] = true; verdict = 2
              :: /* overloaded, leaving: refused, and said so */
#ifndef NO_TOMBSTONE
                 refusedUpTo[target] = attempt;
#endif
                 verdict = 1
              fi
           fi
        fi
     fi
  fi
}

/* One attempt on its way through an entry: may be paused between any two steps. */
proctype Attempt(byte attempt) {
  byte target, boundEpoch;
  bool fresh;
  byte verdict = 0;
  /* Freshness and the process are fixed together; from here on the connection leads to that process alone. */
  atomic { bind(target, boundEpoch); fresh = since[target] }
  atomic {
    if
    :: alive[target] && !(target < 2 && frozen) -> take(target, boundEpoch, attempt, fresh, verdict)
    :: !alive[target] -> verdict = (attempt == 1 -> 1 : 0) /* never handed over */
    fi;
    if
    :: verdict == 1 && waitingFor == attempt -> toldNotRun = true; waitingFor = 0
    :: verdict == 2 && waitingFor == attempt -> waitingFor = 0
    :: else -> skip
    fi
  }
}

/* The caller: one attempt after the other, each given up or lost at any time; none after a clear word. */
proctype Caller() {
  byte attempt = 0;
  do
  :: attempt < ATTEMPTS && !toldNotRun ->
     atomic {
       if
       :: attempt > 0 && waitingFor == 0 -> break /* answered */
       :: else -> skip
       fi;
       attempt++;
       started = true;
       waitingFor = attempt;
       run Attempt(attempt)
     }
  :: attempt == ATTEMPTS || toldNotRun -> break
  od
}

/* Machine A's process dies and is replaced at the same address. */
proctype Replace() {
  if
  :: atomic {
       alive[0] && !frozen && epoch == 1 && !announced ->
       alive[0] = false; alive[1] = true; since[1] = !started
     }
  :: true -> skip
  fi
}

/* The owners' list changes: machine B takes the key over. */
proctype Move() {
  announced = true;
  if
  :: atomic { !frozen -> acknowledged = true }
#ifdef NO_ACKNOWLEDGEMENT
  :: true -> skip
#endif
  :: takenForDead -> skip
  fi;
  atomic { epoch = 2; alive[2] = true; since[2] = !started }
}

/* Machine A freezes for so long that the platform drops it from its list; then it thaws. */
proctype Freeze() {
  if
  :: atomic { !acknowledged -> frozen = true }; takenForDead = true; atomic { gapSeen = true; frozen = false }
  :: true -> skip
  fi
}

init {
  atomic {
    alive[0] = true;
    since[0] = true;
    run Caller();
    run Replace();
    run Move();
    run Freeze()
  }
}

/* NAME, broken variants that must be refuted. */
ltl runsAtMostOnce { [] (runs <= 1) }                     /* NO_LEDGER NO_FRESHNESS NO_EPOCH_CHECK+NO_GAP_GUARD NO_ACKNOWLEDGEMENT NO_GAP_GUARD */
ltl notRunIsTrue { [] !(toldNotRun && runs > 0) }         /* NO_TOMBSTONE NO_LEDGER NO_FRESHNESS */
