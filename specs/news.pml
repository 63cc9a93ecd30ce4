/* A host learns from another host of its zone whether a key was revoked. Either
 * may pause between any two steps while the clock advances.
 *
 * The invariant: a key is never accepted once BOUND has passed since its
 * revocation. WITHOUT_ASKED subtracts the age from the time at which the answer
 * was read, not from that at which the question was asked; WITHOUT_AGE ignores
 * the age.
 *
 * Names in the code: asked_at and age are requestedAt and age in
 * fpfeed.Client.FetchChanges, the view is fpfeed.History, proof_at is
 * fpfresh.Proof, BOUND is fpfresh.Bounds.Revoke.
 */
#define BOUND 3
#define END 7

int now = 0;
bool revoked = false;
int revoked_at = 0;
/* The reader's latest answer from the store, and when it sent the call for it. */
bool known = false;
bool view_revoked = false;
int view_sent_at = 0;

active proctype Clock() {
	do
	:: now < END -> now++
	:: else -> break
	od
}

active proctype Operator() {
	atomic { revoked_at = now; revoked = true }
}

active proctype Reader() {
	int sent_at;
	bool key_revoked;
	do
	:: now < END ->
		sent_at = now;
		key_revoked = revoked;
		atomic { view_sent_at = sent_at; view_revoked = key_revoked; known = true }
	:: else -> break
	od
}

active proctype Asker() {
	int asked_at, age, proof_at;
	bool key_revoked;
	do
	:: now < END ->
		asked_at = now;
		if
		:: known ->
			atomic { age = now - view_sent_at; key_revoked = view_revoked }
#ifdef WITHOUT_ASKED
			proof_at = now - age;
#else
#ifdef WITHOUT_AGE
			proof_at = asked_at;
#else
			proof_at = asked_at - age;
#endif
#endif
			do
			:: atomic {
				!key_revoked && now - proof_at < BOUND ->
				assert(!revoked || now - revoked_at < BOUND)
			}
			:: break
			od
		:: else -> skip
		fi
	:: else -> break
	od
}
