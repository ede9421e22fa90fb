/*
 * Leases and placement: two entries compete for the duty; each may be paused at any step and still believe that
 * it holds the lease. Answers of the store may be lost after a write took effect.
 *
 * The actions name the systems that implement them:
 *   take, renew    decideLease, DutyLease#renew
 *   write          DutyLease.write (condition on the lease's row), PlacementDuty#write
 *   read           Configuration#take (a row is replaced only by a later one)
 *
 * Each guard can be left out: NO_CONDITION, NO_MONOTONIC.
 */
byte leaseRevision = 0; /* revision of the lease's row */
byte leaseHolder = 0;
byte epoch = 0;
byte placedByEpoch = 0; /* epoch of the holder that wrote the placement */
byte revision = 0;      /* revision of the store */
byte placementRevision = 0;
bool staleWrite = false;
bool reverted = false;

#define LIMIT 6

proctype Entry(byte self) {
  byte knownRevision = 0;
  byte knownEpoch = 0;
  do
  :: revision < LIMIT ->
     if
     /* take over a lease that has lapsed for this observer, or renew: conditional on the row */
     :: atomic {
          knownRevision == leaseRevision && revision < LIMIT ->
          if
          :: leaseHolder != self -> epoch++
          :: else -> skip
          fi;
          leaseHolder = self; revision++; leaseRevision = revision;
          if
          :: knownRevision = leaseRevision; knownEpoch = epoch /* the answer came */
          :: skip                                             /* the answer was lost */
          fi
        }
     /* read the row */
     :: atomic { knownRevision = leaseRevision; knownEpoch = (leaseHolder == self -> epoch : 0) }
     /* write a placement, believing to be the holder */
     :: atomic {
          knownEpoch > 0 && revision < LIMIT ->
          if
#ifndef NO_CONDITION
          :: knownRevision != leaseRevision -> knownEpoch = 0 /* conflict: not the holder any more */
#endif
          :: else ->
             if
             :: knownEpoch < epoch || leaseHolder != self -> staleWrite = true
             :: else -> skip
             fi;
             placedByEpoch = knownEpoch; revision++; placementRevision = revision
          fi
        }
     fi
  :: revision >= LIMIT -> break
  od
}

/* An entry that reads the placement; readings may lag and come late. */
proctype Reader() {
  byte inForce = 0;
  byte reading;
  byte rounds = 0;
  do
  :: rounds < 4 ->
     if
     :: reading = placementRevision
     :: reading = 0 /* a lagging or rolled-back reading */
     fi;
     atomic {
       rounds++;
#ifndef NO_MONOTONIC
       if
       :: reading > inForce -> inForce = reading
       :: else -> skip
       fi
#else
       if
       :: reading < inForce -> reverted = true
       :: else -> skip
       fi;
       inForce = reading
#endif
     }
  :: rounds == 4 -> break
  od
}

init {
  atomic { run Entry(1); run Entry(2); run Reader() }
}

/* NAME, broken variants that must be refuted. */
ltl staleHolderNeverWrites { [] !staleWrite } /* NO_CONDITION */
ltl neverReverts { [] !reverted }             /* NO_MONOTONIC */
