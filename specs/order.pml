/* Orders to a replica: two hosts take turns holding a lease, the write's
 * revision is the fencing token, an order names the version that was newest and
 * the replica's count of orders when it was prepared, and may be carried out at
 * any later time, also after newer ones.
 *
 * The invariants: two hosts never both believe that they hold the lease; the
 * replica's weights never go back; the tokens of the orders that it carries out
 * never fall. A replica that restarts is not modelled: it forgets its counts.
 *
 * Names in the code: acquire = rollout.acquire, last look = rollout.order with
 * Lease.MayOrderWithin, count = Order.Orders.
 */
#define VERSIONS 3
#define TURNS 3
#define ORDERS 4

byte named = 1;                 /* the newest version */
byte revision = 0;
byte key_holder = 0;            /* the store's key: 0, or the host + 1 */
bool valid[2];                  /* what a host believes of its lease */
byte token[2];
byte sent = 0;
byte replica_count = 0, replica_token = 0, replica_version = 1;
chan orders = [ORDERS] of { byte, byte, byte };   /* token, version, count */

active proctype Operator() {
  do
  :: atomic { named < VERSIONS -> named++ }
  :: atomic { named == VERSIONS -> break }
  od
}

proctype Host(byte h) {
  byte target = 0, count = 0;
  do
  :: atomic {                   /* acquire */
       key_holder == 0 && revision < TURNS ->
       revision++; key_holder = h + 1; token[h] = revision; valid[h] = true;
       assert(!valid[1 - h])
     }
  :: atomic { valid[h] -> valid[h] = false }   /* given up, or over by the host's clock */
  :: atomic {                   /* the lease ends at the store */
#ifdef WITHOUT_SUSPENSION_CLOCK
       key_holder == h + 1 ->
#else
       key_holder == h + 1 && !valid[h] ->
#endif
       key_holder = 0
     }
  :: atomic {                   /* the replica's report is read, an order prepared */
       valid[h] && replica_version < named ->
       target = named; count = replica_count
     }
  :: atomic {                   /* a last look, then the order leaves */
       target != 0 && valid[h] && sent < ORDERS ->
       sent++; orders!token[h], target, count; target = 0; count = 0
     }
  :: atomic { target != 0 -> target = 0; count = 0 }
  :: atomic { revision == TURNS && !valid[h] -> break }
  od
}

active proctype Replica() {
  byte t, v, c;
  do
  :: atomic {
       orders?t, v, c ->
       if
#ifdef WITHOUT_ORDER_COUNT
       :: t >= replica_token ->
#else
       :: t >= replica_token && c == replica_count ->
#endif
          assert(v >= replica_version);
          assert(t >= replica_token);
          replica_count++; replica_token = t; replica_version = v
       :: else
       fi;
       t = 0; v = 0; c = 0
     }
  :: atomic { len(orders) > 1 -> orders?t, v, c; orders!t, v, c; t = 0; v = 0; c = 0 }   /* another one goes first */
  :: timeout -> break
  od
}

init { run Host(0); run Host(1) }
