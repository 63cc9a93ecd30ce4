/* Configuration changes: two operators send patches through any host, one
 * compare-and-swap increments the version, and hosts fetch versions from the
 * platform or from each other. A host may restart without state, and a
 * compare-and-swap may succeed although its answer was lost.
 *
 * Patches are numbered; slot[v] holds the patch that led to version v. The
 * invariants: a patch reported as accepted is and stays the one under its
 * version; a patch reported as refused is never in force at any host; a host's
 * version never decreases until it restarts; a patch is accepted at most once.
 *
 * Names in the code: the compare-and-swap is in Follower.writeSlot, apply_patch is
 * Replica.WithPatch, a restart is a new Follower.
 */
#define HOSTS 2
#define VERSIONS 3
#define PATCHES 2
#define RESTARTS 1

byte slot[VERSIONS + 1];               /* in the store: the patch of each version */
byte host_version[HOSTS];
byte host_patch[HOSTS * (VERSIONS + 1)];
byte refused[PATCHES + 1];
byte accepted[PATCHES + 1];            /* version reported to the operator */
byte restarts = 0;

#define PATCH_AT(h, v) host_patch[(h) * (VERSIONS + 1) + (v)]

/* put the next version in force at a host */
inline apply_patch(h, v, p) {
  if
#ifdef WITHOUT_HIGHER_ONLY
  :: p != 0 ->
#else
  :: p != 0 && v == host_version[h] + 1 ->
#endif
     assert(p == 0 || v > host_version[h] && refused[p] == 0);
     host_version[h] = v; PATCH_AT(h, v) = p
  :: else
  fi
}

/* a version read from the platform is applied later and may be stale by then */
proctype FollowPlatform(byte h) {
  byte v = 0, patch = 0;
  do
  :: atomic {
       host_version[h] < VERSIONS && slot[host_version[h] + 1] != 0 ->
       v = host_version[h] + 1; patch = slot[v]
     };
     atomic { apply_patch(h, v, patch); v = 0; patch = 0 }
  :: atomic { host_version[h] == VERSIONS -> break }
  :: timeout -> break
  od
}

/* a version received from the other host may be stale too */
proctype FollowPeer(byte h) {
  byte v = 0, patch = 0;
  do
  :: atomic {
       host_version[1 - h] > host_version[h] ->
       v = host_version[h] + 1; patch = PATCH_AT(1 - h, v)
     };
     atomic { apply_patch(h, v, patch); v = 0; patch = 0 }
  :: atomic { host_version[h] == VERSIONS -> break }
  :: timeout -> break
  od
}

/* a host restarts without state; messages in flight to it are lost */
proctype Restart(byte h) {
  byte v = 0;
  if
  :: atomic {
       restarts < RESTARTS && host_version[h] > 0 ->
       restarts++;
       host_version[h] = 0;
       v = 1;
       do
       :: v <= VERSIONS -> PATCH_AT(h, v) = 0; v++
       :: else -> break
       od
     }
  :: true -> skip
  fi
}

/* an operator sends patch p through host h, and repeats it when the answer was lost */
proctype Operator(byte p) {
  byte h = 0, base, tries = 0, current = 0, expected = 0;
  if :: h = 0 :: h = 1 fi;
  base = host_version[h];
  do
  :: tries < 2 ->
     tries++;
     if :: base >= VERSIONS -> break :: else fi;
     /* a repeated patch finds itself in its slot */
     atomic {
       current = slot[base + 1];
       expected = current
     };
#ifndef WITHOUT_READING_BACK
     if :: current == p -> atomic { accepted[p] = base + 1 }; break :: else fi;
#endif
     if
     :: current != 0 -> atomic {
          refused[p] = 1;
          assert(PATCH_AT(0, base + 1) != p && PATCH_AT(1, base + 1) != p)
        }; break
     :: else
     fi;
     if
     :: atomic {
#ifdef WITHOUT_SWAP_CONDITION
          true ->
#else
          slot[base + 1] == expected ->
#endif
          slot[base + 1] = p };
        if
        :: atomic { true -> accepted[p] = base + 1 }; break
        :: true -> skip /* the answer is lost: retry with the same ID */
        fi
     :: atomic { slot[base + 1] != expected -> skip } /* conflict: read again */
     fi
  :: else -> break /* unknown: neither accepted nor refused is reported */
  od;
  if
  :: accepted[p] != 0 -> assert(slot[accepted[p]] == p)
  :: else
  fi;
  /* checked again in a later step: the patch stays accepted */
  if
  :: accepted[p] != 0 -> assert(slot[accepted[p]] == p); assert(refused[p] == 0)
  :: else
  fi
}

/* at any time, an accepted patch is the one under its version; apply_patch checks
 * that a refused patch is never put in force */
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
    run FollowPlatform(0);
    run FollowPlatform(1);
    run FollowPeer(0);
    run FollowPeer(1);
    run Restart(0);
    run Operator(1);
    run Operator(2);
    run Monitor()
  }
}
