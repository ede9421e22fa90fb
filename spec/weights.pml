/*
 * Weights: from the origin over peers into an engine, and from the engine to callers.
 * Two chunks of one new version reach two agents in an allowed place and one in a forbidden place; chunks may
 * be corrupted on any way; the agent process of machine 0 may be replaced while it is paused.
 *
 * The actions name the systems that implement them:
 *   receive        Exchange#receive (verification), DistributionNode.onChunk
 *   serve          DistributionNode.onRequest (place), selectUploads
 *   order          VersionLoader#order, the engine's fence
 *   countReady     VersionLoader#takeState
 *   answer         Calls#refusal, engineBackEnd.admits
 *
 * Each guard can be left out: NO_VERIFY, NO_PLACE_CHECK, NO_WHOLE_CHECK, NO_DIGEST_CHECK, NO_FENCE, NO_VERSION_CHECK.
 */
#define CHUNKS 2
#define MACHINES 3 /* machine 2 lies in a forbidden place */

#define ABSENT 0
#define GOOD 1
#define BAD 2

byte chunk[6];         /* chunk[machine * CHUNKS + index] */
byte staged[CHUNKS];   /* in the engine of machine 0 */
byte engineState = 0;  /* 0: old version, 1: loaded the new one whole, 2: loaded something else */
byte fence = 1;        /* epoch of the latest agent process that the engine knows */
bool oldAgentAlive = true;
bool counted = false;  /* the agent counts the new version as ready */
bool passedOnBad = false;
bool placeBreach = false;
bool staleOrderRan = false;
bool wrongAnswer = false;

inline receive(machine, index, arriving) {
#ifdef NO_VERIFY
  chunk[machine * CHUNKS + index] = arriving
#else
  if
  :: arriving == GOOD -> chunk[machine * CHUNKS + index] = GOOD
  :: else -> skip
  fi
#endif
}

inline corrupted(value, result) {
  if
  :: result = value
  :: result = BAD
  fi
}

/* Machine `machine` draws from the origin. */
proctype Draw(byte machine) {
  byte index, arriving;
  do
  :: index < CHUNKS ->
     atomic { corrupted(GOOD, arriving); receive(machine, index, arriving) }
     if
     :: chunk[machine * CHUNKS + index] != ABSENT -> index++
     :: else -> skip
     fi
  :: index == CHUNKS -> break
  od
}

/* Machine `from` serves chunks to machine `to`. */
proctype Serve(byte from; byte to) {
  byte index, arriving;
  do
  :: index < CHUNKS ->
     atomic {
       chunk[from * CHUNKS + index] != ABSENT ->
#ifndef NO_PLACE_CHECK
       if
       :: to == 2 -> goto refused
       :: else -> skip
       fi;
#endif
       if
       :: chunk[from * CHUNKS + index] == BAD -> passedOnBad = true
       :: else -> skip
       fi;
       if
       :: to == 2 -> placeBreach = true
       :: else -> skip
       fi;
       corrupted(chunk[from * CHUNKS + index], arriving);
       receive(to, index, arriving)
     }
     if
     :: chunk[to * CHUNKS + index] != ABSENT -> index++
     :: else -> skip
     fi
  :: index == CHUNKS -> break
  od;
refused:
  skip
}

/* The engine of machine 0 carries out an order of the agent process of epoch `epoch`. */
inline order(epoch, isLoad) {
  if
#ifndef NO_FENCE
  :: epoch < fence -> skip
#endif
  :: else ->
     if
     :: epoch < fence -> staleOrderRan = true
     :: else -> skip
     fi;
     if
     :: isLoad && staged[0] == GOOD && staged[1] == GOOD -> engineState = 1
     :: isLoad && !(staged[0] == GOOD && staged[1] == GOOD) -> engineState = 2
     :: else -> engineState = 0
     fi
  fi
}

/* The agent process of machine 0: stages, orders, counts. Epoch 1 may be paused at any step. */
proctype Agent(byte epoch) {
  byte index;
  do
  :: index < CHUNKS ->
     atomic {
       chunk[index] != ABSENT -> staged[index] = chunk[index]; index++
     }
#ifdef NO_WHOLE_CHECK
  :: break
#endif
  :: index == CHUNKS -> break
  od;
  atomic { order(epoch, true) }
  atomic {
#ifdef NO_DIGEST_CHECK
    counted = true
#else
    if
    :: engineState == 1 -> counted = true
    :: else -> skip
    fi
#endif
  }
  /* Later the old process, perhaps long replaced, orders an unload. */
  if
  :: epoch == 1 -> atomic { order(epoch, false) }; counted = false
  :: else -> skip
  fi
}

/* A new agent process replaces the one of epoch 1, which still believes that it is the agent. */
proctype Replace() {
  atomic { oldAgentAlive = false; fence = 2; counted = false }
  run Agent(2)
}

/* A caller asks for the new version by its digest. */
proctype Caller() {
  if
  :: atomic {
       counted ->
#ifdef NO_VERSION_CHECK
       wrongAnswer = (engineState != 1)
#else
       /* The engine itself refuses a version that it has not loaded. */
       if
       :: engineState == 1 -> skip
       :: else -> skip /* refused as not run */
       fi
#endif
     }
  :: true -> skip
  fi
}

init {
  atomic {
    run Draw(0);
    run Serve(0, 1);
    run Serve(0, 2);
    run Agent(1);
    run Replace();
    run Caller()
  }
}

/* NAME, broken variants that must be refuted. */
ltl unverifiedNeverPassedOn { [] !passedOnBad }                 /* NO_VERIFY */
ltl placeNeverBreached { [] !placeBreach }                      /* NO_PLACE_CHECK */
ltl neverPartial { [] !(engineState == 2) }                     /* NO_WHOLE_CHECK NO_VERIFY */
ltl countedOnlyWhole { [] (counted -> engineState != 2) }       /* NO_WHOLE_CHECK+NO_DIGEST_CHECK */
ltl staleOrdersNeverRun { [] !staleOrderRan }                   /* NO_FENCE */
ltl answersOnlyExactVersion { [] !wrongAnswer }                 /* NO_VERSION_CHECK */
