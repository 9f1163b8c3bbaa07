/*
 * Tokens of one grant, as in core/quota: an owner leases tokens to daemons; the
 * owner may crash and be replaced, and replies may be late or lost.
 *
 * One token accrues each tick, up to BURST. Time is a counter; the clock of a daemon
 * may differ from the owner's by one tick over a lease. A single token bucket with
 * the same rate and burst must have a token for every call.
 *
 * Checked: the calls of all daemons together never exceed rate and burst.
 * Mutants, flags that break a rule so that the check must fail:
 * NO_WAIT, HOLD_AS_LONG, FORGET_LEASED.
 */
#define DAEMONS 2
#define BURST 2
#define LEASE 2 /* TTL in ticks, as the owner counts it */
#ifdef HOLD_AS_LONG
#define HOLD 3 /* the daemon counts from the arrival of the lease, on a slow clock */
#else
#define HOLD 1
#endif
#ifndef END
#define END 7
#endif

byte now;
byte owner_bucket = BURST;
byte leased[DAEMONS]; /* tokens that the owner counts as leased */
byte leased_until[DAEMONS];
byte idle_until; /* a new owner grants no lease before */
byte daemon_tokens[DAEMONS]; /* tokens that the daemon may spend */
byte daemon_tokens_until[DAEMONS];
byte reply_tokens[DAEMONS]; /* tokens in a reply in transit */
bool request_pending[DAEMONS];
byte requested_at[DAEMONS];
byte reference_bucket = BURST; /* one bucket for all daemons */
byte crashes, i;

inline outstanding() {
	i = 0;
	leased_total = 0;
	do
	:: i < DAEMONS -> leased_total = leased_total + leased[i]; i++
	:: else -> break
	od
}

proctype Daemon(byte d) {
	byte leased_total, amount;
	do
	:: atomic { !request_pending[d] && now < END -> /* requests a lease and returns all tokens that it has */
		request_pending[d] = true;
		requested_at[d] = now;
		amount = daemon_tokens[d];
		daemon_tokens[d] = 0;
		/* the owner replies */
		if
		:: leased_until[d] >= now && leased[d] >= amount && leased[d] > 0 ->
			owner_bucket = owner_bucket + amount;
			leased[d] = 0
		:: else -> leased[d] = 0
		fi;
		outstanding();
		if
		:: owner_bucket + leased_total > BURST -> owner_bucket = (BURST > leased_total -> BURST - leased_total : 0)
		:: else
		fi;
		if
		:: now >= idle_until && owner_bucket > 0 ->
			select(amount : 1 .. owner_bucket);
			owner_bucket = owner_bucket - amount;
#ifndef FORGET_LEASED
			leased[d] = amount;
#endif
			leased_until[d] = now + LEASE;
			reply_tokens[d] = amount
		:: else -> reply_tokens[d] = 0
		fi; amount = 0; leased_total = 0 }
	:: atomic { request_pending[d] -> /* the reply arrives */
#ifdef HOLD_AS_LONG
		daemon_tokens_until[d] = now + HOLD;
		daemon_tokens[d] = reply_tokens[d];
#else
		if
		:: now <= requested_at[d] + HOLD -> daemon_tokens[d] = reply_tokens[d]; daemon_tokens_until[d] = requested_at[d] + HOLD
		:: else /* the lease has expired */
		fi;
#endif
		reply_tokens[d] = 0;
		request_pending[d] = false }
	:: atomic { request_pending[d] -> reply_tokens[d] = 0; request_pending[d] = false } /* the reply is lost */
	:: atomic { daemon_tokens[d] > 0 && now <= daemon_tokens_until[d] -> /* a call spends a token */
		daemon_tokens[d]--;
		assert(reference_bucket > 0);
		reference_bucket-- }
	:: atomic { now >= END -> break }
	od
}

proctype Owner() {
	byte leased_total;
	do
	:: atomic { now < END -> /* a tick */
		now++;
		reference_bucket = (reference_bucket < BURST -> reference_bucket + 1 : BURST);
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
		:: now > idle_until && owner_bucket + leased_total < BURST -> owner_bucket++
		:: else
		fi; leased_total = 0; i = 0 }
	:: atomic { crashes < 1 && now < END -> /* a new owner takes over without state */
		crashes++;
		owner_bucket = 0;
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
