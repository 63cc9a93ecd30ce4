/* Orders to a replica: two hosts hold a lease in turn, and the revision of the
 * lease's write is the fencing token. An order carries the version that was
 * newest and the replica's count of accepted orders when it was prepared. It may
 * arrive at any later time, also after newer orders.
 *
 * The invariants: two hosts never both believe that they hold the lease; the
 * replica's weights version never decreases; the fencing tokens of the orders
 * that it accepts never decrease. Restarts of the replica, which reset its
 * counts, are not modelled.
 *
 * Names in the code, in internal/fpgateway: acquiring is rollout.acquireLease,
 * the lease check before an order is fporder.Lease.MayOrderWithin in
 * rollout.sendOrder, the count is the field OrdersAccepted of an order.
 */
#define VERSIONS 3
#define TURNS 3
#define ORDERS 4

byte newest_version = 1;        /* the newest weights version */
byte revision = 0;
byte key_holder = 0;            /* lease key in the store: 0, or the holder's number + 1 */
bool believes_held[2];          /* whether a host believes that it holds the lease */
byte token[2];
byte sent = 0;
byte replica_count = 0, replica_token = 0, replica_version = 1;
chan orders = [ORDERS] of { byte, byte, byte };   /* token, version, count */

active proctype Operator() {
  do
  :: atomic { newest_version < VERSIONS -> newest_version++ }
  :: atomic { newest_version == VERSIONS -> break }
  od
}

proctype Host(byte h) {
  byte target = 0, count = 0;
  do
  :: atomic {                   /* acquire */
       key_holder == 0 && revision < TURNS ->
       revision++; key_holder = h + 1; token[h] = revision; believes_held[h] = true;
       assert(!believes_held[1 - h])
     }
  :: atomic { believes_held[h] -> believes_held[h] = false }   /* released, or expired by the host's clock */
  :: atomic {                   /* the lease expires in the store */
#ifdef WITHOUT_SUSPENSION_CLOCK
       key_holder == h + 1 ->
#else
       key_holder == h + 1 && !believes_held[h] ->
#endif
       key_holder = 0
     }
  :: atomic {                   /* read the replica's report and prepare an order */
       believes_held[h] && replica_version < newest_version ->
       target = newest_version; count = replica_count
     }
  :: atomic {                   /* check the lease, then send the order */
       target != 0 && believes_held[h] && sent < ORDERS ->
       sent++; orders!token[h], target, count; target = 0; count = 0
     }
  :: atomic { target != 0 -> target = 0; count = 0 }
  :: atomic { revision == TURNS && !believes_held[h] -> break }
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
  :: atomic { len(orders) > 1 -> orders?t, v, c; orders!t, v, c; t = 0; v = 0; c = 0 }   /* orders are reordered in flight */
  :: timeout -> break
  od
}

init { run Host(0); run Host(1) }
