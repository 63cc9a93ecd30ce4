/* Configuration: two operators patch through any host, one compare-and-swap
 * moves the version by one, hosts follow from the platform or from each other,
 * restart empty, and a swap may land although its answer was lost.
 *
 * Patches are numbered; slot[v] holds the patch that led to version v. The
 * invariants: a patch said to be accepted is and stays the one under its
 * version; one said to be refused is in force at no host, ever; a host's
 * version never goes back while it lives; one patch is accepted at most once.
 *
 * Names in the code: append = Follower.append, offer = Replica.WithPatch,
 * restart = a new Follower.
 */
#define HOSTS 2
#define VERSIONS 3
#define PATCHES 2
#define RESTARTS 1

byte slot[VERSIONS + 1];               /* the store: patch under each version */
byte host_version[HOSTS];
byte host_patch[HOSTS * (VERSIONS + 1)];
byte refused[PATCHES + 1];
byte accepted[PATCHES + 1];            /* version that the operator was told */
byte restarts = 0;

#define AT(h, v) host_patch[(h) * (VERSIONS + 1) + (v)]

/* put the next version in force at a host */
inline offer(h, v, p) {
  if
#ifdef WITHOUT_HIGHER_ONLY
  :: p != 0 ->
#else
  :: p != 0 && v == host_version[h] + 1 ->
#endif
     assert(p == 0 || v > host_version[h] && refused[p] == 0);
     host_version[h] = v; AT(h, v) = p
  :: else
  fi
}

/* what was read from the platform is put in force later: it may be old by then */
proctype FromPlatform(byte h) {
  byte v = 0, o = 0;
  do
  :: atomic {
       host_version[h] < VERSIONS && slot[host_version[h] + 1] != 0 ->
       v = host_version[h] + 1; o = slot[v]
     };
     atomic { offer(h, v, o); v = 0; o = 0 }
  :: atomic { host_version[h] == VERSIONS -> break }
  :: timeout -> break
  od
}

/* and so is what the other host sent */
proctype FromPeer(byte h) {
  byte v = 0, o = 0;
  do
  :: atomic {
       host_version[1 - h] > host_version[h] ->
       v = host_version[h] + 1; o = AT(1 - h, v)
     };
     atomic { offer(h, v, o); v = 0; o = 0 }
  :: atomic { host_version[h] == VERSIONS -> break }
  :: timeout -> break
  od
}

/* a host restarts empty; what is under way to it is lost with it */
proctype Restart(byte h) {
  byte v = 0;
  if
  :: atomic {
       restarts < RESTARTS && host_version[h] > 0 ->
       restarts++;
       host_version[h] = 0;
       v = 1;
       do
       :: v <= VERSIONS -> AT(h, v) = 0; v++
       :: else -> break
       od
     }
  :: true -> skip
  fi
}

/* an operator sends patch p through host h, twice when the answer was lost */
proctype Operator(byte p) {
  byte h = 0, base, tries = 0, held = 0, seen = 0;
  if :: h = 0 :: h = 1 fi;
  base = host_version[h];
  do
  :: tries < 2 ->
     tries++;
     if :: base >= VERSIONS -> break :: else fi;
     /* a repeat finds its own patch */
     atomic {
       held = slot[base + 1];
       seen = held
     };
#ifndef WITHOUT_READING_BACK
     if :: held == p -> atomic { accepted[p] = base + 1 }; break :: else fi;
#endif
     if
     :: held != 0 -> atomic {
          refused[p] = 1;
          assert(AT(0, base + 1) != p && AT(1, base + 1) != p)
        }; break
     :: else
     fi;
     if
     :: atomic {
#ifdef WITHOUT_SWAP_CONDITION
          true ->
#else
          slot[base + 1] == seen ->
#endif
          slot[base + 1] = p };
        if
        :: atomic { true -> accepted[p] = base + 1 }; break
        :: true -> skip /* the answer is lost: try again under the same ID */
        fi
     :: atomic { slot[base + 1] != seen -> skip } /* conflict: read again */
     fi
  :: else -> break /* unknown: nothing is claimed */
  od;
  if
  :: accepted[p] != 0 -> assert(slot[accepted[p]] == p)
  :: else
  fi;
  /* and it stays so */
  if
  :: accepted[p] != 0 -> assert(slot[accepted[p]] == p); assert(refused[p] == 0)
  :: else
  fi
}

/* at any time: what was accepted stands, and what was refused is nowhere */
proctype Monitor() {
  byte p = 1;
  do
  :: atomic { p <= PATCHES ->
       assert(accepted[p] == 0 || slot[accepted[p]] == p);
       p++ }
  :: p > PATCHES -> break
  od
}

init {
  atomic {
    run FromPlatform(0);
    run FromPlatform(1);
    run FromPeer(0);
    run FromPeer(1);
    run Restart(0);
    run Operator(1);
    run Operator(2);
    run Monitor()
  }
}
