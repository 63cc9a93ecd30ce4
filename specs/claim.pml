/* The claim log of pkg/fpclaim: hosts append batches to a ring of slots by
 * compare-and-swap and dispatch what they were granted. Another host appends
 * batches about other requests. A host may be paused anywhere (interleaving),
 * crash and come back empty under a new attempt, lose the answer of a swap, and
 * release a claim that it proves never to have dispatched.
 *
 * All hosts claim one request; the invariant is that it is dispatched at most
 * once. Each WITHOUT_ takes a safeguard out, and must then fail.
 *
 * Names in the code: reading = SlotRead, the swap = WriteSlot then Written or
 * Conflict, a lost answer = WriteLost, granted = Reply{Granted}, releasing =
 * Want with Released set, a crash = a new Shard.
 */
#define HOSTS 2
#define SLOTS 3
#define APPENDS 6
#define CRASHES 1
#define OTHERS 3

#ifdef WITHOUT_SWAP_CONDITION
#define UNCHANGED(s) (true)
#else
#define UNCHANGED(s) (rev[s] == seen_rev[s])
#endif

byte slot_seq[SLOTS];      /* sequence number of the batch in each slot */
byte slot_owner[SLOTS];    /* attempt that the batch claims for, 0 another request */
bool slot_free[SLOTS];     /* the batch releases instead */
byte carried_seq[SLOTS];   /* newest claim carried over from replaced batches */
byte carried_owner[SLOTS];
bool carried_free[SLOTS];
byte rev[SLOTS];
byte crashes = 0;
byte dispatched = 0;
byte attempts = 0;

/* put a batch into slot s, carrying over the claim that it replaces */
inline put(s, sequence, owner, free) {
  if
  :: slot_owner[s] != 0 && slot_seq[s] > carried_seq[s] ->
     carried_seq[s] = slot_seq[s];
     carried_owner[s] = slot_owner[s];
     carried_free[s] = slot_free[s]
  :: else
  fi;
#ifdef WITHOUT_CARRYING_OVER
  carried_seq[s] = 0;
  carried_owner[s] = 0;
#endif
  slot_seq[s] = sequence;
  slot_owner[s] = owner;
  slot_free[s] = free;
  rev[s]++
}

/* take slot s into the view: the later batch about the request counts */
inline look(s) {
  seen_rev[s] = rev[s];
  seen_seq[s] = slot_seq[s];
  if :: slot_seq[s] > tail -> tail = slot_seq[s] :: else fi;
  if
  :: slot_owner[s] != 0 && slot_seq[s] >= h_seq ->
     h_seq = slot_seq[s]; h_owner = slot_owner[s]; h_free = slot_free[s]
  :: else
  fi;
  if
  :: carried_owner[s] != 0 && carried_seq[s] > h_seq ->
     h_seq = carried_seq[s]; h_owner = carried_owner[s]; h_free = carried_free[s]
  :: else
  fi
}

proctype Host() {
  byte seen_rev[SLOTS];
  byte seen_seq[SLOTS];
  byte tail, h_seq, h_owner, me, s, back, tries;
  bool h_free, releasing;

start:
  atomic {
    attempts++; me = attempts; tries = 0; releasing = false;
    h_seq = 0; h_owner = 0; h_free = false
  };
again:
  atomic { s = 0; tail = 0 };
  do
  :: atomic { s < SLOTS -> look(s); s++ }
  :: atomic { s >= SLOTS -> s = 0; break }
  od;
#ifndef WITHOUT_GAP_CHECK
  /* a batch appended meanwhile may hide in a slot that was read too early */
  back = 0;
  do
  :: atomic {
       back < SLOTS && tail > back ->
       s = (tail - back) % SLOTS;
       if
       :: seen_seq[s] != tail - back -> look(s); back = 0
       :: else -> back++
       fi
     }
  :: atomic { back >= SLOTS || tail <= back -> s = 0; back = 0; break }
  od;
#endif
  if
  :: h_owner == me && !h_free && !releasing -> goto granted
  :: h_owner == me && h_free -> goto released
  :: h_owner != 0 && h_owner != me && !h_free && !releasing -> goto end
  :: else
  fi;
  atomic { tries++; if :: tries > 3 -> goto end :: else fi };
  /* append behind the tail, if the slot there is as it was read */
  if
  :: atomic {
       tail < APPENDS && UNCHANGED((tail + 1) % SLOTS) -> s = (tail + 1) % SLOTS; put(s, tail + 1, me, releasing); s = 0
     }
  :: atomic { tail >= APPENDS -> goto end }
  :: atomic { tail < APPENDS && !UNCHANGED((tail + 1) % SLOTS) -> goto again }
  fi;
  /* the answer comes, or it is lost and the log is read again */
  if
  :: releasing -> goto released
  :: !releasing -> goto granted
  :: true -> goto again
  fi;

granted:
  if
  :: atomic { true -> dispatched++; assert(dispatched <= 1) }; goto end
  :: atomic { !releasing -> releasing = true; tries = 0 }; goto again
  :: atomic { crashes < CRASHES -> crashes++ }; goto start
  fi;

released:
#ifdef WITHOUT_BAR_ON_RELEASED
  atomic { dispatched++; assert(dispatched <= 1) };
#endif
end:
  skip
}

/* another host's batches about other requests, always well appended */
proctype Other() {
  byte n = 0, tail = 0, s = 0;
  do
  :: atomic {
       n < OTHERS ->
       tail = 0; s = 0;
       do
       :: s < SLOTS -> if :: slot_seq[s] > tail -> tail = slot_seq[s] :: else fi; s++
       :: else -> break
       od;
       s = (tail + 1) % SLOTS;
       if :: tail < APPENDS -> put(s, tail + 1, 0, false) :: else fi;
       n++; s = 0; tail = 0
     }
  :: n >= OTHERS -> break
  od
}

init {
  byte n = 0;
  atomic {
    do
    :: n < HOSTS -> run Host(); n++
    :: else -> break
    od;
    run Other()
  }
}
