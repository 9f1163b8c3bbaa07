/*
 * Records of actions, as in core/dedup and io/record: several runners claim one
 * action at three replicas, which keep records in memory only and may restart.
 *
 * A claim may arrive at a replica at any time, even after its runner has given up.
 * Replies count only while the runner still collects them. A restarted replica has
 * lost its records. It replies again once the runners that were collecting at its
 * restart have stopped (the quiet time) and it has copied the records of both other
 * replicas.
 *
 * Checked: the action runs at most once.
 * Mutants, flags that break a rule so that the check must fail:
 * NO_QUIET, COPY_ONE, MINORITY, ANSWER_AT_ONCE.
 */
#define REPLICAS 3
#ifndef RUNNERS
#define RUNNERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define NONE 0
#define DOUBT 15 /* copies of two different claims; no runner may run the action */

#ifdef MINORITY
#define ENOUGH 1
#else
#define ENOUGH 2
#endif

mtype = { idle, collecting, ran, given_up };

mtype phase[RUNNERS];
byte acks[RUNNERS]; /* a set of replicas */
bool sent[RUNNERS];
bool arrived[RUNNERS * REPLICAS];
bool released[RUNNERS * REPLICAS];
byte claim_at[REPLICAS]; /* NONE, DOUBT or runner + 1 */
bool ready[REPLICAS];
byte wait_for[REPLICAS]; /* a set of runners */
byte restarts, runs;

#define AT(r, i) ((r) * REPLICAS + (i))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))

proctype Runner(byte r) {
	byte i;
	do
	:: atomic { phase[r] == idle -> phase[r] = collecting }
	:: atomic { phase[r] == collecting && COUNT(acks[r]) >= ENOUGH -> phase[r] = ran; runs++; assert(runs <= 1) }
	:: atomic { phase[r] == collecting -> phase[r] = given_up }
	:: atomic { phase[r] == given_up -> /* releases its claim; the release may arrive before the claim */
		select(i : 0 .. REPLICAS - 1);
		if
		:: !released[AT(r, i)] ->
			released[AT(r, i)] = true;
			if
			:: ready[i] && claim_at[i] == r + 1 -> claim_at[i] = NONE
			:: else
			fi
		:: else
		fi; i = 0 }
	:: atomic { phase[r] == ran || phase[r] == given_up -> break }
	od
}

/* replica i copies the claim of replica j */
inline take(i, j) {
	if
	:: claim_at[j] == NONE || claim_at[j] == claim_at[i] -> skip
	:: claim_at[i] == NONE && claim_at[j] != NONE -> claim_at[i] = claim_at[j]
	:: else -> claim_at[i] = DOUBT
	fi
}

inline copy(i) {
#ifdef COPY_ONE
	if
	:: ready[(i + 1) % 3] -> take(i, (i + 1) % 3); ready[i] = true
	:: ready[(i + 2) % 3] -> take(i, (i + 2) % 3); ready[i] = true
	:: else
	fi
#else
	if
	:: ready[(i + 1) % 3] && ready[(i + 2) % 3] ->
		take(i, (i + 1) % 3);
		take(i, (i + 2) % 3);
		ready[i] = true
	:: else
	fi
#endif
}

/* replica i; claims of all runners may arrive in any order */
proctype Replica(byte i) {
	byte r;
	do
	:: atomic { select(r : 0 .. RUNNERS - 1);
		if
		:: phase[r] != idle && !arrived[AT(r, i)] && ready[i] ->
			arrived[AT(r, i)] = true;
			if
			:: claim_at[i] == NONE || claim_at[i] == r + 1 ->
				claim_at[i] = r + 1;
				if
				:: phase[r] == collecting -> acks[r] = acks[r] | (1 << i)
				:: skip /* the reply is lost or late */
				fi
			:: else
			fi
		:: else
		fi; r = 0 }
	:: atomic { restarts < RESTARTS ->
		restarts++;
		claim_at[i] = NONE;
#ifdef ANSWER_AT_ONCE
		ready[i] = true;
#else
		ready[i] = false;
#endif
		wait_for[i] = 0;
		r = 0;
		do
		:: r < RUNNERS ->
			if
			:: phase[r] == collecting -> wait_for[i] = wait_for[i] | (1 << r)
			:: else
			fi;
			r++
		:: else -> break
		od; r = 0 }
	:: atomic { !ready[i] ->
		/* the quiet time ends when none of these runners is collecting any more */
		r = 0;
		do
		:: r < RUNNERS ->
			if
			:: phase[r] != collecting -> wait_for[i] = wait_for[i] & ~(1 << r)
			:: else
			fi;
			r++
		:: else -> break
		od;
		r = 0;
#ifdef NO_QUIET
		wait_for[i] = 0;
#endif
		if
		:: wait_for[i] == 0 -> copy(i)
		:: else
		fi }
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < REPLICAS -> ready[i] = true; run Replica(i); i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < RUNNERS -> phase[i] = idle; run Runner(i); i++
		:: else -> break
		od
	}
}
