/* Three instances, one platform whose replicas may answer with any version that
 * was ever published, and exchanges between any two instances. Instances are
 * replaced and then know nothing.
 *
 * Checked: within a life the accepted version never falls, and an instance that
 * becomes ready after asking every peer that could be reached has at least the
 * highest version that these had. */

#define INSTANCES 3
#define MOST 3            /* versions that are published */
#define REPLACED 2        /* replacements in one run */

byte published = 1;
byte accepted[INSTANCES];
bool ready[INSTANCES];
byte replaced;

/* ConfigOrder.Accept */
inline accept(i, offered) {
  if
#ifdef MUTANT
  :: true -> assert(!(ready[i] && offered < accepted[i])); accepted[i] = offered
#else
  :: offered > accepted[i] -> accepted[i] = offered
  :: else -> skip
#endif
  fi
}

proctype Publisher() {
  do
  :: published < MOST -> published++
  :: break
  od
}

proctype Instance(byte i) {
  byte seen = 0, peer = 0, highest = 0;
restart:
  atomic { accepted[i] = 0; ready[i] = false };
  /* The first read of the platform; a stale replica may answer. */
  atomic { select(seen : 1 .. MOST);
    if :: seen > published -> seen = published :: else -> skip fi;
    accept(i, seen); seen = 0 };
  /* Exchanger.Round: every peer is asked once before the instance is ready. */
  highest = 0;
  for (peer : 0 .. INSTANCES - 1) {
    if
    :: peer != i ->
       atomic {
         if :: accepted[peer] > highest -> highest = accepted[peer] :: else -> skip fi;
#ifndef MUTANT_ROUND
         accept(i, accepted[peer])
#endif
       }
    :: else -> skip
    fi
  }
  atomic { ready[i] = true; assert(accepted[i] >= highest); highest = 0; peer = 0 };
end:
  do
  :: atomic { select(seen : 1 .. MOST);
       if :: seen <= published -> accept(i, seen) :: else -> skip fi; seen = 0 }
  :: atomic { select(peer : 0 .. 2);
       if :: peer != i && accepted[peer] > 0 -> accept(i, accepted[peer]) :: else -> skip fi; peer = 0 }
  :: replaced < REPLACED -> replaced++; goto restart
  od
}

init {
  atomic { run Publisher(); run Instance(0); run Instance(1); run Instance(2) }
}
