/* One ticket, its issuer A and A's successor B. Requests with the ticket come
 * twice to A and twice to B. A may crash, pause between any two steps, or leave
 * and hand the ticket over; the handover may be lost or come twice. The clocks
 * of A and B are independent.
 *
 * Checked: the request runs at most once, and after somebody said notRun it has
 * not run and never will. */

byte runs;            /* times that the endpoint ran the request */
bool saidNotRun;

bool crashedA, givenUpA, usedA, expiredA;
bool ownsB, usedB, expiredB;

chan handover = [2] of { bool };

inline checkRuns() {
  assert(runs <= 1);
  assert(!(saidNotRun && runs > 0))
}

/* The first byte goes out, or the connection is refused before it. */
inline dispatch(used) {
  if
  :: atomic { runs++; checkRuns() }
  :: atomic { saidNotRun = true; checkRuns() }
  :: skip                                  /* the process stays paused */
  fi
}

/* TicketBook.Begin, then MayDispatch, then the write. */
proctype RequestAtA() {
  bool mine = false;
  atomic {
    if
    :: crashedA || givenUpA || usedA -> skip          /* unknown, or the same answer */
    :: !crashedA && !givenUpA && !usedA && expiredA ->
       saidNotRun = true;
#ifndef MUTANT_EXPIRED
       usedA = true;                                  /* recorded as ended */
#endif
       checkRuns()
    :: !crashedA && !givenUpA && !usedA && !expiredA ->
#ifndef MUTANT_RECORD
       usedA = true;
#endif
       mine = true
    fi
  }
  if
  :: mine && !crashedA && !givenUpA && !expiredA -> dispatch(usedA)
  :: else -> skip
  fi
}

proctype RequestAtB() {
  bool mine = false;
  atomic {
    if
    :: !ownsB || usedB -> skip
    :: ownsB && !usedB && expiredB ->
       saidNotRun = true; usedB = true; checkRuns()
    :: ownsB && !usedB && !expiredB ->
       usedB = true; mine = true
    fi
  }
  if
  :: mine && !expiredB -> dispatch(usedB)
  :: else -> skip
  fi
}

/* App.handOver: the right ends first, then the uses travel. */
proctype LeaveA() {
  bool uses;
  atomic {
    if
    :: crashedA -> goto done
    :: else ->
#ifndef MUTANT_GIVEUP
       givenUpA = true;
#endif
       uses = usedA
    fi
  }
  if
  :: handover ! uses
  :: handover ! uses; handover ! uses
  :: skip                                  /* lost */
  fi;
done: skip
}

proctype AdoptB() {
  bool uses;
end:
  do
  :: handover ? uses -> atomic { ownsB = true; usedB = usedB || uses }
  od
}

active proctype Clocks() {
  if :: expiredA = true :: skip fi;
  if :: expiredB = true :: skip fi
}

active proctype CrashA() {
  if :: crashedA = true :: skip fi
}

init {
  atomic {
    run RequestAtA(); run RequestAtA();
    run RequestAtB(); run RequestAtB();
    run LeaveA(); run AdoptB()
  }
}
