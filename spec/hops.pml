/* One request on its way. At each instance any decision is possible: serve it,
 * pass it to any instance to be served, or pass it to the issuer of its ticket.
 *
 * Checked: at most three instances hold the request, and none holds it twice. */

#define INSTANCES 4
#define MOST_HOLDERS 3

byte serveLeft = 1, ticketLeft = 1;
byte holders;
bool visited[INSTANCES];

inline arrive(i) {
  assert(!visited[i]);
  visited[i] = true;
  holders++;
  assert(holders <= MOST_HOLDERS)
}

active proctype Request() {
  byte at, next;
  select(at : 0 .. 3);
  arrive(at);
  do
  :: break                                        /* served or refused here */
  :: serveLeft > 0 ->
     select(next : 0 .. 3);
     if
#ifdef MUTANT_VISITED
     :: true ->
#else
     :: !visited[next] ->
#endif
#ifndef MUTANT
        serveLeft--; ticketLeft = 0;
#endif
        at = next; arrive(at)
     :: visited[next] -> break
     fi
  :: ticketLeft > 0 ->
     select(next : 0 .. 3);
     if
     :: !visited[next] -> ticketLeft--; at = next; arrive(at)
     :: visited[next] -> break
     fi
  od
}
