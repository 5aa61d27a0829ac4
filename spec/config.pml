/* Three instances, a platform whose replicas may return any version that was ever
 * published, and exchanges between any two instances. An instance may be replaced;
 * its replacement starts without any configuration.
 *
 * Checked: the accepted version of an instance never decreases until the instance
 * is replaced, and an instance that becomes ready after it has asked every
 * reachable peer has at least the highest version that these peers had when asked.
 *
 * Mutants:
 *   MUTANT_ACCEPT  Any offered version is accepted, also an older one.
 *   MUTANT_ROUND   The versions of the peers are not accepted in the initial
 *                  exchange round. */

#define INSTANCES 3
#define MAX_VERSION 3       /* highest version that is published */
#define MAX_REPLACEMENTS 2  /* over all instances */

byte publishedVersion = 1;
byte acceptedVersion[INSTANCES];
bool isReady[INSTANCES];
byte replacements;

/* ConfigTracker.Accept */
inline accept(i, offered) {
  if
#ifdef MUTANT_ACCEPT
  :: true -> assert(!(isReady[i] && offered < acceptedVersion[i])); acceptedVersion[i] = offered
#else
  :: offered > acceptedVersion[i] -> acceptedVersion[i] = offered
  :: else -> skip
#endif
  fi
}

proctype Publisher() {
  do
  :: publishedVersion < MAX_VERSION -> publishedVersion++
  :: break
  od
}

proctype Instance(byte i) {
  byte platformVersion = 0, peer = 0, highestPeerVersion = 0;
restart:
  atomic { acceptedVersion[i] = 0; isReady[i] = false };
  /* The first read from the platform, which may be served by a stale replica. */
  atomic { select(platformVersion : 1 .. MAX_VERSION);
    if :: platformVersion > publishedVersion -> platformVersion = publishedVersion :: else -> skip fi;
    accept(i, platformVersion); platformVersion = 0 };
  /* Exchanger.RunRound: every peer is asked once before the instance is ready. */
  highestPeerVersion = 0;
  for (peer : 0 .. INSTANCES - 1) {
    if
    :: peer != i ->
       atomic {
         if :: acceptedVersion[peer] > highestPeerVersion -> highestPeerVersion = acceptedVersion[peer] :: else -> skip fi;
#ifndef MUTANT_ROUND
         accept(i, acceptedVersion[peer])
#endif
       }
    :: else -> skip
    fi
  }
  atomic { isReady[i] = true; assert(acceptedVersion[i] >= highestPeerVersion); highestPeerVersion = 0; peer = 0 };
end:
  do
  /* A later read from the platform. */
  :: atomic { select(platformVersion : 1 .. MAX_VERSION);
       if :: platformVersion <= publishedVersion -> accept(i, platformVersion) :: else -> skip fi; platformVersion = 0 }
  /* An exchange with a peer. */
  :: atomic { select(peer : 0 .. 2);
       if :: peer != i && acceptedVersion[peer] > 0 -> accept(i, acceptedVersion[peer]) :: else -> skip fi; peer = 0 }
  :: replacements < MAX_REPLACEMENTS -> replacements++; goto restart
  od
}

init {
  atomic { run Publisher(); run Instance(0); run Instance(1); run Instance(2) }
}
