/*
 * Distribution of the configuration, as in io/relay and io/agent: a leader
 * commits revisions, two relays forward them, and a daemon pulls from one relay at
 * a time. Revision 2 withdraws a key.
 *
 * A relay may be cut off from the leader for any time and still responds to its
 * daemons; a daemon may lose its relay; every message may be delayed. Messages
 * carry ages, not times of a clock.
 *
 * Checked: revisions at the daemon never decrease; GRACE ticks after the key was
 * withdrawn no call with it is served, whatever is cut off.
 * Mutants, flags that break a rule so that the check must fail:
 * NO_AGE, ANY_REVISION, NO_GRACE, AGE_FROM_ARRIVAL.
 */
#define RELAYS 2
#ifndef GRACE
#define GRACE 2
#endif
#ifndef END
#define END 6
#endif
#define WITHDRAWN 2

#ifdef ANY_REVISION
#define NEWER (true)
#else
#define NEWER (reply_revision >= daemon_revision)
#endif

#ifdef NO_GRACE
#define FRESH (true)
#else
#define FRESH (now - confirmed_at <= GRACE)
#endif

byte now;
byte committed; /* the leader's revision */
byte withdrawn_at = 255;
byte revision[RELAYS];
byte as_of[RELAYS]; /* on the relay's own clock */
byte daemon_revision;
byte confirmed_at; /* when the daemon's revision was last known to be the newest */
/* the reply in transit from a relay to the daemon */
bool reply_pending;
byte reply_revision, reply_age, reply_requested_at;
byte i;

proctype Leader() {
	do
	:: atomic { now < END -> now++ }
	:: atomic { committed < WITHDRAWN && now < END ->
		committed++;
		if
		:: committed == WITHDRAWN -> withdrawn_at = now
		:: else
		fi }
	:: atomic { select(i : 0 .. RELAYS - 1); /* a relay pulls from the leader */
		revision[i] = committed;
		as_of[i] = now; i = 0 }
	:: now >= END -> break
	od
}

proctype Daemon() {
	do
	:: atomic { !reply_pending && now < END -> /* pulls from one of the relays */
		select(i : 0 .. RELAYS - 1);
		reply_pending = true;
		reply_revision = revision[i];
#ifdef NO_AGE
		reply_age = 0;
#else
		reply_age = now - as_of[i];
#endif
		reply_requested_at = now; i = 0 }
	:: atomic { reply_pending -> /* the reply arrives; its age counts from the time of the request */
		reply_pending = false;
#ifdef AGE_FROM_ARRIVAL
		reply_requested_at = now;
#endif
		if
		:: NEWER ->
			assert(reply_revision >= daemon_revision);
			daemon_revision = reply_revision;
			if
			:: reply_requested_at >= reply_age && reply_requested_at - reply_age > confirmed_at -> confirmed_at = reply_requested_at - reply_age
			:: else
			fi
		:: else
		fi;
		reply_revision = 0; reply_age = 0; reply_requested_at = 0 }
	:: atomic { reply_pending -> reply_pending = false; reply_revision = 0; reply_age = 0; reply_requested_at = 0 } /* lost */
	:: atomic { daemon_revision < WITHDRAWN && FRESH -> /* serves a call with the key */
		assert(withdrawn_at == 255 || now <= withdrawn_at + GRACE) }
	:: now >= END -> break
	od
}

init {
	atomic {
		run Leader();
		run Daemon()
	}
}
