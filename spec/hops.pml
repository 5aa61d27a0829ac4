/* One request and the instances that it is forwarded to. At each instance every
 * decision is possible: serve or refuse it, forward it to any instance that is to
 * serve it, or forward it to the owner of its ticket.
 *
 * Checked: the request visits at most three instances, and none of them twice.
 *
 * Mutants:
 *   MUTANT_BUDGET   Forwarding to a serving instance does not spend the hop budget.
 *   MUTANT_VISITED  Forwarding to a serving instance does not check whether the
 *                   request has visited it. */

#define INSTANCES 4
#define MAX_VISITS 3

/* HopBudget */
byte serveHopsLeft = 1, ticketHopsLeft = 1;
byte visits;
bool visited[INSTANCES];

inline visit(i) {
  assert(!visited[i]);
  visited[i] = true;
  visits++;
  assert(visits <= MAX_VISITS)
}

active proctype Request() {
  byte current, next;
  select(current : 0 .. 3);
  visit(current);
  do
  :: break                                        /* served or refused here */
  :: serveHopsLeft > 0 ->
     select(next : 0 .. 3);
     if
#ifdef MUTANT_VISITED
     :: true ->
#else
     :: !visited[next] ->
#endif
#ifndef MUTANT_BUDGET
        serveHopsLeft--; ticketHopsLeft = 0;
#endif
        current = next; visit(current)
     :: visited[next] -> break
     fi
  :: ticketHopsLeft > 0 ->
     select(next : 0 .. 3);
     if
     :: !visited[next] -> ticketHopsLeft--; current = next; visit(current)
     :: visited[next] -> break
     fi
  od
}
