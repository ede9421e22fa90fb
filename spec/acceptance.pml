/*
 * Acceptance of a configuration: an operator's apply, whose answer may be lost before or after the transaction took
 * effect, or which may still be on its way; and the settling of its outcome.
 *
 * The actions name the systems that implement them:
 *   transact       the table service; `toTransaction` (condition on the operation's row)
 *   settle         resolveOperation
 *   tell           ApplyCommand#revisionOf, ApplyCommand#resolve
 *
 * Each guard can be left out: NO_CLAIM (settling only looks), NO_ROW_CONDITION (the apply does not depend on the row),
 * GUESS_ACCEPTED (a lost answer is taken for a good one).
 */
#define NONE 0
#define ACCEPTED 1
#define ABANDONED 2

byte row = NONE;          /* the operation's row */
bool committed = false;   /* the change took effect */
byte told = NONE;         /* the operator was told: accepted, or not accepted */
byte inFlight = 0;        /* copies of the transaction on their way */

inline tell(word) {
  if
  :: told == NONE -> told = word
  :: else -> skip
  fi
}

/* The transaction arrives at some time, or never; its answer comes or is lost. */
proctype Transaction() {
  bool outcome = false;
  if
  :: atomic {
       inFlight > 0 -> inFlight--;
       if
#ifndef NO_ROW_CONDITION
       :: row != NONE -> outcome = (row == ACCEPTED)
#endif
       :: else -> row = ACCEPTED; committed = true; outcome = true
       fi
     };
     if
     :: outcome -> atomic { tell(ACCEPTED) }
     :: skip /* the answer is lost */
     fi
#ifdef GUESS_ACCEPTED
  :: true -> atomic { tell(ACCEPTED) }
#endif
  :: true -> skip /* lost on the way */
  fi
}

/* The operator gives the answer up and has the outcome settled. */
proctype Settle() {
  if
  :: atomic {
       row == NONE ->
#ifndef NO_CLAIM
       row = ABANDONED;
#endif
       tell(ABANDONED)
     }
  :: atomic { row == ACCEPTED -> tell(ACCEPTED) }
  :: atomic { row == ABANDONED -> tell(ABANDONED) }
  fi
}

init {
  atomic {
    inFlight = 2; /* the network may repeat it */
    run Transaction();
    run Transaction();
    run Settle();
    run Settle()
  }
}

/* NAME, broken variants that must be refuted. */
ltl notAcceptedIsFinal { [] !(told == ABANDONED && committed) } /* NO_CLAIM NO_ROW_CONDITION */
ltl acceptedIsTrue { [] (told == ACCEPTED -> committed) }       /* GUESS_ACCEPTED */
