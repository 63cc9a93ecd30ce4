/* A host learns through another one of its zone whether a key was taken away.
 * Either may stand still between any two steps while the clock goes on.
 *
 * The invariant: a key is never accepted once BOUND has passed since it was
 * taken away. WITHOUT_ASKED counts the age from when the answer was read,
 * WITHOUT_AGE ignores it.
 *
 * Names in the code: asked and age = fpnews.Client.After, view = fpnews.History,
 * proof = fpfresh.Proof, BOUND = Bounds.Revoke.
 */
#define BOUND 3
#define END 7

int now = 0;
bool revoked = false;
int revoked_at = 0;
/* What the reader heard, and when it had sent the call that said so. */
bool known = false;
bool view_revoked = false;
int view_sent = 0;

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
	int sent;
	bool heard;
	do
	:: now < END ->
		sent = now;
		heard = revoked;
		atomic { view_sent = sent; view_revoked = heard; known = true }
	:: else -> break
	od
}

active proctype Asker() {
	int asked, age, proof;
	bool heard;
	do
	:: now < END ->
		asked = now;
		if
		:: known ->
			atomic { age = now - view_sent; heard = view_revoked }
#ifdef WITHOUT_ASKED
			proof = now - age;
#else
#ifdef WITHOUT_AGE
			proof = asked;
#else
			proof = asked - age;
#endif
#endif
			do
			:: atomic {
				!heard && now - proof < BOUND ->
				assert(!revoked || now - revoked_at < BOUND)
			}
			:: break
			od
		:: else -> skip
		fi
	:: else -> break
	od
}
