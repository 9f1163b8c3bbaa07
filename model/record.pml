/*
 * Records of actions, as in core/dedup and io/record: runners claim one
 * action at three replicas with nothing but memory; replicas restart.
 *
 * A claim to a replica may arrive at any time, also when its runner has long
 * given up. Answers count only while the runner still collects them. A
 * replica that restarts forgets all; it answers again when the runners that
 * collected at its restart no longer do (the quiet time) and it has copied
 * the records of both others.
 *
 * Checked: the action runs at most once.
 * Mutants: NO_QUIET, COPY_ONE, MINORITY, ANSWER_AT_ONCE.
 */
#define REPLICAS 3
#ifndef RUNNERS
#define RUNNERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define NONE 0
#define DOUBT 15 /* two claims were copied; nobody may run */

#ifdef MINORITY
#define ENOUGH 1
#else
#define ENOUGH 2
#endif

mtype = { idle, collecting, ran, given_up };

mtype phase[RUNNERS];
byte acks[RUNNERS];          /* a set of replicas */
bool sent[RUNNERS];
bool arrived[RUNNERS * REPLICAS];
bool released[RUNNERS * REPLICAS];
byte holds[REPLICAS];        /* NONE, DOUBT or runner + 1 */
bool ready[REPLICAS];
byte wait_for[REPLICAS];     /* a set of runners */
byte restarts, runs;

#define AT(r, i) ((r) * REPLICAS + (i))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))

proctype Runner(byte r) {
	byte i;
	do
	:: atomic { phase[r] == idle -> phase[r] = collecting }
	:: atomic { phase[r] == collecting && COUNT(acks[r]) >= ENOUGH -> phase[r] = ran; runs++; assert(runs <= 1) }
	:: atomic { phase[r] == collecting -> phase[r] = given_up }
	:: atomic { phase[r] == given_up -> /* takes its claim back, in any order with the claim */
		select(i : 0 .. REPLICAS - 1);
		if
		:: !released[AT(r, i)] ->
			released[AT(r, i)] = true;
			if
			:: ready[i] && holds[i] == r + 1 -> holds[i] = NONE
			:: else
			fi
		:: else
		fi; i = 0 }
	:: atomic { phase[r] == ran || phase[r] == given_up -> break }
	od
}

inline take(i, j) {
	if
	:: holds[j] == NONE || holds[j] == holds[i] -> skip
	:: holds[i] == NONE && holds[j] != NONE -> holds[i] = holds[j]
	:: else -> holds[i] = DOUBT
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

/* the claims of all runners on their way to replica i */
proctype Replica(byte i) {
	byte r;
	do
	:: atomic { select(r : 0 .. RUNNERS - 1);
		if
		:: phase[r] != idle && !arrived[AT(r, i)] && ready[i] ->
			arrived[AT(r, i)] = true;
			if
			:: holds[i] == NONE || holds[i] == r + 1 ->
				holds[i] = r + 1;
				if
				:: phase[r] == collecting -> acks[r] = acks[r] | (1 << i)
				:: skip /* the answer is lost or late */
				fi
			:: else
			fi
		:: else
		fi; r = 0 }
	:: atomic { restarts < RESTARTS ->
		restarts++;
		holds[i] = NONE;
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
		/* the quiet time is over when none of them collects any more */
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
