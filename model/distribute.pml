/*
 * Distribution of the configuration, as in io/relay and io/agent: a leader
 * decides revisions, two relays pass them on, a daemon takes them from one
 * relay at a time. Revision 2 withdraws a key.
 *
 * A relay may be cut off from the leader for any time and still answers its
 * daemons; a daemon may lose its relay; everything may be delayed. Ages, not
 * clock readings, travel.
 *
 * Checked: revisions at the daemon only grow; GRACE ticks after the key was
 * withdrawn nobody calls with it, whatever is cut off.
 * Mutants: NO_AGE, ANY_REVISION, NO_GRACE, AGE_FROM_ARRIVAL.
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
#define NEWER (way_revision >= have)
#endif

#ifdef NO_GRACE
#define FRESH (true)
#else
#define FRESH (now - fresh <= GRACE)
#endif

byte now;
byte decided;             /* the leader's revision */
byte withdrawn_at = 255;
byte revision[RELAYS];
byte as_of[RELAYS];       /* on the relay's own clock */
byte have;                /* the daemon's revision */
byte fresh;               /* as of when it is known to be the newest */
/* one answer on its way from a relay to the daemon */
bool on_way;
byte way_revision, way_age, way_asked;
byte i;

proctype Leader() {
	do
	:: atomic { now < END -> now++ }
	:: atomic { decided < WITHDRAWN && now < END ->
		decided++;
		if
		:: decided == WITHDRAWN -> withdrawn_at = now
		:: else
		fi }
	:: atomic { select(i : 0 .. RELAYS - 1); /* a relay hears from the leader */
		revision[i] = decided;
		as_of[i] = now; i = 0 }
	:: now >= END -> break
	od
}

proctype Daemon() {
	do
	:: atomic { !on_way && now < END -> /* asks one of the relays */
		select(i : 0 .. RELAYS - 1);
		on_way = true;
		way_revision = revision[i];
#ifdef NO_AGE
		way_age = 0;
#else
		way_age = now - as_of[i];
#endif
		way_asked = now; i = 0 }
	:: atomic { on_way -> /* the answer arrives; the age counts from the question */
		on_way = false;
#ifdef AGE_FROM_ARRIVAL
		way_asked = now;
#endif
		if
		:: NEWER ->
			assert(way_revision >= have);
			have = way_revision;
			if
			:: way_asked >= way_age && way_asked - way_age > fresh -> fresh = way_asked - way_age
			:: else
			fi
		:: else
		fi;
		way_revision = 0; way_age = 0; way_asked = 0 }
	:: atomic { on_way -> on_way = false; way_revision = 0; way_age = 0; way_asked = 0 } /* lost */
	:: atomic { have < WITHDRAWN && FRESH -> /* a call with the key */
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
