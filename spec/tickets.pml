/* One ticket, its issuer A and A's successor B. A and B each receive two requests
 * with the ticket. A may crash, pause between any two steps, or shut down and hand
 * the ticket over to B; the handover may be lost or be delivered twice. The clocks
 * of A and B are independent.
 *
 * Checked: the endpoint runs the request at most once, and once an instance has
 * reported the outcome notRun, the request has not run and never will.
 *
 * Mutants:
 *   MUTANT_RECORD    A does not record the use of the ticket before it dispatches.
 *   MUTANT_HANDOVER  A keeps the right to dispatch after it has handed over.
 *   MUTANT_EXPIRED   A does not record an expired ticket as ended when it reports
 *                    notRun, so B, whose clock may be behind, can still run it. */

byte runCount;            /* number of times the endpoint ran the request */
bool isNotRunReported;

bool isCrashedA, isHandedOverA, isUsedA, isExpiredA;
bool isOwnerB, isUsedB, isExpiredB;

chan handover = [2] of { bool };

inline checkRuns() {
  assert(runCount <= 1);
  assert(!(isNotRunReported && runCount > 0))
}

/* Either the first byte is sent, or the connection is refused before it. */
inline dispatch(isUsed) {
  if
  :: atomic { runCount++; checkRuns() }
  :: atomic { isNotRunReported = true; checkRuns() }
  :: skip                                  /* the process never resumes */
  fi
}

/* TicketRegistry.Begin, then TicketRegistry.MayDispatch, then the write to the
 * endpoint. */
proctype RequestAtA() {
  bool isFirstUse = false;
  atomic {
    if
    :: isCrashedA || isHandedOverA || isUsedA -> skip /* unknown, or the first use's response */
    :: !isCrashedA && !isHandedOverA && !isUsedA && isExpiredA ->
       isNotRunReported = true;
#ifndef MUTANT_EXPIRED
       isUsedA = true;                                /* recorded as ended */
#endif
       checkRuns()
    :: !isCrashedA && !isHandedOverA && !isUsedA && !isExpiredA ->
#ifndef MUTANT_RECORD
       isUsedA = true;
#endif
       isFirstUse = true
    fi
  }
  if
  :: isFirstUse && !isCrashedA && !isHandedOverA && !isExpiredA -> dispatch(isUsedA)
  :: else -> skip
  fi
}

proctype RequestAtB() {
  bool isFirstUse = false;
  atomic {
    if
    :: !isOwnerB || isUsedB -> skip
    :: isOwnerB && !isUsedB && isExpiredB ->
       isNotRunReported = true; isUsedB = true; checkRuns()
    :: isOwnerB && !isUsedB && !isExpiredB ->
       isUsedB = true; isFirstUse = true
    fi
  }
  if
  :: isFirstUse && !isExpiredB -> dispatch(isUsedB)
  :: else -> skip
  fi
}

/* App.handOverTickets: A's right to dispatch ends before the record of the use is
 * sent to B. */
proctype HandOverA() {
  bool isUsed;
  atomic {
    if
    :: isCrashedA -> goto done
    :: else ->
#ifndef MUTANT_HANDOVER
       isHandedOverA = true;
#endif
       isUsed = isUsedA
    fi
  }
  if
  :: handover ! isUsed
  :: handover ! isUsed; handover ! isUsed  /* delivered twice */
  :: skip                                  /* lost */
  fi;
done: skip
}

proctype TakeOverB() {
  bool isUsed;
end:
  do
  :: handover ? isUsed -> atomic { isOwnerB = true; isUsedB = isUsedB || isUsed }
  od
}

active proctype Clocks() {
  if :: isExpiredA = true :: skip fi;
  if :: isExpiredB = true :: skip fi
}

active proctype CrashA() {
  if :: isCrashedA = true :: skip fi
}

init {
  atomic {
    run RequestAtA(); run RequestAtA();
    run RequestAtB(); run RequestAtB();
    run HandOverA(); run TakeOverB()
  }
}
