/* The claim log of pkg/fpclaim: hosts append batches to a ring of slots by
 * compare-and-swap and dispatch the requests whose claims were granted. Another
 * host appends batches about other requests. A host may pause anywhere
 * (interleaving), crash and restart without state under a new attempt, lose the
 * answer of a compare-and-swap, and release a claim that it provably never
 * dispatched.
 *
 * All hosts claim the same request; the invariant is that it is dispatched at
 * most once. Each WITHOUT_ macro removes a safeguard; the check must then fail.
 *
 * Names in the code: reading a slot is Shard.HandleSlotRead; the
 * compare-and-swap is WriteSlot, answered by HandleSlotWritten or
 * HandleWriteConflict, or by HandleWriteUnknown when the answer is lost; granted
 * is a Reply with the verdict Granted; releasing is RequestClaim with Released
 * set; a crash is a new Shard.
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

byte slot_seq[SLOTS];          /* sequence number of the batch in each slot */
byte slot_owner[SLOTS];        /* attempt that the batch claims for; 0 means another request */
bool slot_released[SLOTS];     /* the batch releases the claim instead */
byte carried_seq[SLOTS];       /* newest claim kept from replaced batches */
byte carried_owner[SLOTS];
bool carried_released[SLOTS];
byte rev[SLOTS];
byte crashes = 0;
byte dispatched = 0;
byte attempts = 0;

/* write a batch to slot s and keep the claim of the replaced batch */
inline write_slot(s, sequence, owner, releases) {
  if
  :: slot_owner[s] != 0 && slot_seq[s] > carried_seq[s] ->
     carried_seq[s] = slot_seq[s];
     carried_owner[s] = slot_owner[s];
     carried_released[s] = slot_released[s]
  :: else
  fi;
#ifdef WITHOUT_CARRYING_OVER
  carried_seq[s] = 0;
  carried_owner[s] = 0;
#endif
  slot_seq[s] = sequence;
  slot_owner[s] = owner;
  slot_released[s] = releases;
  rev[s]++
}

/* read slot s into the host's view; the newest batch about the request decides */
inline read_slot(s) {
  seen_rev[s] = rev[s];
  seen_seq[s] = slot_seq[s];
  if :: slot_seq[s] > tail -> tail = slot_seq[s] :: else fi;
  if
  :: slot_owner[s] != 0 && slot_seq[s] >= newest_seq ->
     newest_seq = slot_seq[s]; newest_owner = slot_owner[s]; newest_released = slot_released[s]
  :: else
  fi;
  if
  :: carried_owner[s] != 0 && carried_seq[s] > newest_seq ->
     newest_seq = carried_seq[s]; newest_owner = carried_owner[s]; newest_released = carried_released[s]
  :: else
  fi
}

proctype Host() {
  byte seen_rev[SLOTS];
  byte seen_seq[SLOTS];
  byte tail, newest_seq, newest_owner, attempt, s, distance, tries;
  bool newest_released, releasing;

start:
  atomic {
    attempts++; attempt = attempts; tries = 0; releasing = false;
    newest_seq = 0; newest_owner = 0; newest_released = false
  };
read_log:
  atomic { s = 0; tail = 0 };
  do
  :: atomic { s < SLOTS -> read_slot(s); s++ }
  :: atomic { s >= SLOTS -> s = 0; break }
  od;
#ifndef WITHOUT_GAP_CHECK
  /* a batch appended while the ring was read may be in a slot that was read before;
   * reread until the view has no gap before the tail */
  distance = 0;
  do
  :: atomic {
       distance < SLOTS && tail > distance ->
       s = (tail - distance) % SLOTS;
       if
       :: seen_seq[s] != tail - distance -> read_slot(s); distance = 0
       :: else -> distance++
       fi
     }
  :: atomic { distance >= SLOTS || tail <= distance -> s = 0; distance = 0; break }
  od;
#endif
  if
  :: newest_owner == attempt && !newest_released && !releasing -> goto granted
  :: newest_owner == attempt && newest_released -> goto released
  :: newest_owner != 0 && newest_owner != attempt && !newest_released && !releasing -> goto end
  :: else
  fi;
  atomic { tries++; if :: tries > 3 -> goto end :: else fi };
  /* append after the tail if that slot hasn't changed since it was read */
  if
  :: atomic {
       tail < APPENDS && UNCHANGED((tail + 1) % SLOTS) -> s = (tail + 1) % SLOTS; write_slot(s, tail + 1, attempt, releasing); s = 0
     }
  :: atomic { tail >= APPENDS -> goto end }
  :: atomic { tail < APPENDS && !UNCHANGED((tail + 1) % SLOTS) -> goto read_log }
  fi;
  /* the answer arrives, or it is lost and the log is read again */
  if
  :: releasing -> goto released
  :: !releasing -> goto granted
  :: true -> goto read_log
  fi;

granted:
  if
  :: atomic { true -> dispatched++; assert(dispatched <= 1) }; goto end
  :: atomic { !releasing -> releasing = true; tries = 0 }; goto read_log
  :: atomic { crashes < CRASHES -> crashes++ }; goto start
  fi;

released:
#ifdef WITHOUT_BAR_ON_RELEASED
  atomic { dispatched++; assert(dispatched <= 1) };
#endif
end:
  skip
}

/* another host appends batches about other requests, atomically and without conflicts */
proctype OtherHost() {
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
       if :: tail < APPENDS -> write_slot(s, tail + 1, 0, false) :: else fi;
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
    run OtherHost()
  }
}
