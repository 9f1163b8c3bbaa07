/*
 * Tokens of one grant, as in core/quota: an owner leases tokens to daemons,
 * an owner crashes and another takes over, answers are late or lost.
 *
 * One token accrues a tick up to BURST. Time is a counter; every daemon's
 * clock may be one tick behind or ahead of the owner's over a lease. A single
 * bucket with the same rate and burst must be able to pay for every call.
 *
 * Checked: never above rate and burst over all daemons.
 * Mutants: NO_WAIT, HOLD_AS_LONG, FORGET_LEASED.
 */
#define DAEMONS 2
#define BURST 2
#define LEASE 2 /* ticks that the owner counts */
#ifdef HOLD_AS_LONG
#define HOLD 3 /* the daemon counts from the arrival, on a slow clock */
#else
#define HOLD 1
#endif
#ifndef END
#define END 7
#endif

byte now;
byte kept = BURST;          /* the owner's bucket */
byte leased[DAEMONS];       /* what the owner counts as leased */
byte leased_until[DAEMONS];
byte idle_until;            /* a new owner gives nothing before */
byte held[DAEMONS];         /* what the daemon may spend */
byte held_until[DAEMONS];
byte answer[DAEMONS];       /* tokens on their way */
bool asked[DAEMONS];
byte asked_at[DAEMONS];
byte gauge = BURST;         /* one bucket over all daemons */
byte crashes, i;

inline outstanding() {
	i = 0;
	out = 0;
	do
	:: i < DAEMONS -> out = out + leased[i]; i++
	:: else -> break
	od
}

proctype Daemon(byte d) {
	byte out, want;
	do
	:: atomic { !asked[d] && now < END -> /* asks; all it held before is handed back */
		asked[d] = true;
		asked_at[d] = now;
		want = held[d];
		held[d] = 0;
		/* the owner answers */
		if
		:: leased_until[d] >= now && leased[d] >= want && leased[d] > 0 ->
			kept = kept + want;
			leased[d] = 0
		:: else -> leased[d] = 0
		fi;
		outstanding();
		if
		:: kept + out > BURST -> kept = (BURST > out -> BURST - out : 0)
		:: else
		fi;
		if
		:: now >= idle_until && kept > 0 ->
			select(want : 1 .. kept);
			kept = kept - want;
#ifndef FORGET_LEASED
			leased[d] = want;
#endif
			leased_until[d] = now + LEASE;
			answer[d] = want
		:: else -> answer[d] = 0
		fi; want = 0; out = 0 }
	:: atomic { asked[d] -> /* the answer arrives */
#ifdef HOLD_AS_LONG
		held_until[d] = now + HOLD;
		held[d] = answer[d];
#else
		if
		:: now <= asked_at[d] + HOLD -> held[d] = answer[d]; held_until[d] = asked_at[d] + HOLD
		:: else /* too late to be of use */
		fi;
#endif
		answer[d] = 0;
		asked[d] = false }
	:: atomic { asked[d] -> answer[d] = 0; asked[d] = false } /* the answer is lost */
	:: atomic { held[d] > 0 && now <= held_until[d] -> /* a call goes on */
		held[d]--;
		assert(gauge > 0);
		gauge-- }
	:: atomic { now >= END -> break }
	od
}

proctype Owner() {
	byte out;
	do
	:: atomic { now < END -> /* a tick */
		now++;
		gauge = (gauge < BURST -> gauge + 1 : BURST);
		i = 0;
		do
		:: i < DAEMONS ->
			if
			:: now > leased_until[i] -> leased[i] = 0
			:: else
			fi;
			i++
		:: else -> break
		od;
		outstanding();
		if
		:: now > idle_until && kept + out < BURST -> kept++
		:: else
		fi; out = 0; i = 0 }
	:: atomic { crashes < 1 && now < END -> /* another takes over and knows nothing */
		crashes++;
		kept = 0;
		i = 0;
		do
		:: i < DAEMONS -> leased[i] = 0; leased_until[i] = 0; i++
		:: else -> break
		od; i = 0;
#ifndef NO_WAIT
		idle_until = now + LEASE;
#endif
		skip }
	:: atomic { now >= END -> break }
	od
}

init {
	atomic {
		run Owner();
		run Daemon(0);
		run Daemon(1)
	}
}
