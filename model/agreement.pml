/*
 * Agreement among control daemons, as in core/raft: terms, votes, a log with
 * one-at-a-time membership changes, crashes, a lost disk.
 *
 * Nodes 0, 1 and 2 begin as voters and may leave and come back. A step is one
 * node acting on another: a request that arrives and, by choice, the answer to
 * it. A request that never arrives is a step that is not taken; a leader of an
 * old term goes on acting until it learns better.
 *
 * With REPLACE, node 3 begins as a learner and takes the place of any voter that
 * its leader holds to be silent, rightly or not: it gets its vote first, then the
 * silent one leaves (io/ctrl/voters.go). Disks are lost as long as every set of
 * voters that is in use keeps a majority, so again after a repair.
 *
 * Checked: one leader a term; a decided entry never changes; with REPLACE,
 * a new leader holds all that was decided in the terms before its own.
 * Mutants: VOTE_UNSYNCED, NO_TERM_CHECK, COUNT_OLD_TERMS, TWO_CHANGES,
 * WIPED_VOTER, VOTE_FOR_SHORTER, REPLACE_AT_ONCE, REMOVE_UNDECIDED.
 */
#ifndef NODES
#define NODES 3
#endif
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define NOBODY 7
#define FIRST 7 /* voters 0, 1 and 2 */

byte term[NODES], vote[NODES], synced_term[NODES], synced_vote[NODES];
byte size[NODES];
byte entry_term[NODES * MAXLOG];
byte entry_cfg[NODES * MAXLOG]; /* a set of voters, or 0 */
byte commit[NODES];
bool leads[NODES], asks[NODES];
byte votes[NODES]; /* a set of nodes */
byte match[NODES * NODES];
byte leader_of[MAXTERM + 1];
byte decided_term[MAXLOG];
byte decided_cfg[MAXLOG];
bool decided[MAXLOG];
byte decided_at[MAXLOG]; /* the term of the leader that decided */
byte crashes;
bool gone[NODES]; /* lost its disk; never comes back under this name */
byte cfg, k, count, want;
byte x, to, match_set;

#define E(i, at) ((i) * MAXLOG + (at))
#define M(i, j) ((i) * NODES + (j))
#define IN(set, i) (((set) >> (i)) & 1)

inline voters_of(vo) {
	cfg = FIRST;
	k = 0;
	do
	:: k < size[vo] ->
		if
		:: entry_cfg[E(vo, k)] != 0 -> cfg = entry_cfg[E(vo, k)]
		:: else
		fi;
		k++
	:: else -> break
	od
}

/* want becomes true if a majority of cfg is in the set s */
inline majority(ms) {
	count = 0;
	want = 0;
	k = 0;
	do
	:: k < NODES ->
		count = count + IN(cfg, k);
		want = want + (IN(cfg, k) & IN(ms, k));
		k++
	:: else -> break
	od;
	want = (2 * want > count)
}

#define OWN_ENTRY(i) (commit[i] > 0 && entry_term[E(i, commit[i] - 1)] == term[i])

#ifdef COUNT_OLD_TERMS
#define COUNTABLE(i, at) (true)
#else
#define COUNTABLE(i, at) (entry_term[E(i, at)] == term[i])
#endif

inline step_down(sd, st) {
	if
	:: term[sd] < st ->
		term[sd] = st;
		vote[sd] = NOBODY;
		leads[sd] = false;
		asks[sd] = false;
		sync(sd)
	:: else
	fi
}

inline sync(sy) {
	synced_term[sy] = term[sy];
	synced_vote[sy] = vote[sy]
}

#define LASTTERM(i) (size[i] == 0 -> 0 : entry_term[E(i, size[i] - 1)])

#ifdef VOTE_FOR_SHORTER
#define UPTODATE(i, j) (true)
#else
#define UPTODATE(i, j) (LASTTERM(i) > LASTTERM(j) || (LASTTERM(i) == LASTTERM(j) && size[i] >= size[j]))
#endif

inline decide(de, da) {
	if
	:: decided[da] ->
		assert(decided_term[da] == entry_term[E(de, da)] && decided_cfg[da] == entry_cfg[E(de, da)])
	:: else ->
		decided[da] = true;
		decided_at[da] = term[de];
		decided_term[da] = entry_term[E(de, da)];
		decided_cfg[da] = entry_cfg[E(de, da)]
	fi
}

inline commit_to(cw, cu) {
	do
	:: commit[cw] < cu ->
		decide(cw, commit[cw]);
		commit[cw]++
	:: else -> break
	od
}

inline campaign(cp) {
	term[cp]++;
	vote[cp] = cp;
	asks[cp] = true;
	leads[cp] = false;
	votes[cp] = 1 << cp;
	sync(cp)
}

inline ask_vote(av, aj) {
	step_down(aj, term[av]);
	if
	:: term[aj] == term[av] && (vote[aj] == NOBODY || vote[aj] == av) && !leads[aj] && UPTODATE(av, aj) ->
		vote[aj] = av;
#ifndef VOTE_UNSYNCED
		sync(aj);
#endif
		if
		:: votes[av] = votes[av] | (1 << aj)
		:: skip /* the answer is lost */
		fi
	:: else -> step_down(av, term[aj])
	fi
}

inline win(wi) {
	assert(leader_of[term[wi]] == NOBODY || leader_of[term[wi]] == wi);
	leader_of[term[wi]] = wi;
#ifdef REPLACE
	k = 0;
	do
	:: k < MAXLOG ->
		assert(!decided[k] || decided_at[k] >= term[wi] || (size[wi] > k && entry_term[E(wi, k)] == decided_term[k]));
		k++
	:: else -> break
	od;
#endif
	leads[wi] = true;
	asks[wi] = false;
	k = 0;
	do
	:: k < NODES -> match[M(wi, k)] = 0; k++
	:: else -> break
	od
}

inline append(ap, ac) {
	entry_term[E(ap, size[ap])] = term[ap];
	entry_cfg[E(ap, size[ap])] = ac;
	size[ap]++
}

/* the leader sends its entry at index at (from 0) to j */
inline replicate(ri, rj, ra) {
#ifdef NO_TERM_CHECK
	if
	:: term[rj] < term[ri] -> step_down(rj, term[ri])
	:: else
	fi;
	if
	:: true ->
#else
	step_down(rj, term[ri]);
	if
	:: term[rj] > term[ri] -> step_down(ri, term[rj])
	:: else ->
#endif
		asks[rj] = false;
		if
		:: ra > size[rj] || (ra > 0 && entry_term[E(rj, ra - 1)] != entry_term[E(ri, ra - 1)]) ->
			skip /* what is before does not match; an earlier one must come first */
		:: else ->
			if
			:: ra < size[rj] && entry_term[E(rj, ra)] == entry_term[E(ri, ra)] -> skip
			:: else ->
				entry_term[E(rj, ra)] = entry_term[E(ri, ra)];
				entry_cfg[E(rj, ra)] = entry_cfg[E(ri, ra)];
				size[rj] = ra + 1;
				clear_tail(rj)
			fi;
			to = (commit[ri] < ra + 1 -> commit[ri] : ra + 1);
			commit_to(rj, to);
			if
			:: leads[ri] -> match[M(ri, rj)] = (match[M(ri, rj)] > ra + 1 -> match[M(ri, rj)] : ra + 1)
			:: skip /* the answer is lost */
			fi
		fi
	fi
}

inline clear_tail(cj) {
	k = size[cj];
	do
	:: k < MAXLOG -> entry_term[E(cj, k)] = 0; entry_cfg[E(cj, k)] = 0; k++
	:: else -> break
	od
}

/* the set of nodes that hold the entry at index at, as the leader knows */
inline holders(hi, ha) {
	x = 1 << hi;
	k = 0;
	do
	:: k < NODES ->
		if
		:: match[M(hi, k)] > ha -> x = x | (1 << k)
		:: else
		fi;
		k++
	:: else -> break
	od
}

inline crash(cr) {
	crashes++;
	term[cr] = synced_term[cr];
	vote[cr] = synced_vote[cr];
	leads[cr] = false;
	asks[cr] = false;
	votes[cr] = 0;
	commit[cr] = 0;
	k = 0;
	do
	:: k < NODES -> match[M(cr, k)] = 0; k++
	:: else -> break
	od
}

inline wipe(wp) {
	crash(wp);
	term[wp] = 0;
	vote[wp] = NOBODY;
	sync(wp);
	size[wp] = 0;
	clear_tail(wp);
#ifndef WIPED_VOTER
	gone[wp] = true
#endif
}

/* an undecided change of members is in the leader's log */
inline undecided_change(uc) {
	want = false;
	k = commit[uc];
	do
	:: k < size[uc] ->
		if
		:: entry_cfg[E(uc, k)] != 0 -> want = true
		:: else
		fi;
		k++
	:: else -> break
	od
}

inline change_members(cm) {
	undecided_change(cm);
#ifdef TWO_CHANGES
	want = false;
#endif
	if
	:: !want && OWN_ENTRY(cm) ->
		voters_of(cm);
		if /* one node comes or goes */
		:: x = cfg ^ 1
		:: x = cfg ^ 2
		:: x = cfg ^ 4
		fi;
		if
		:: x != 0 -> append(cm, x)
		:: else
		fi
	:: else
	fi
}

/* want becomes true if every set of voters in use has a majority without lost */
inline bearable(lost) {
	to = 1;
	x = 0;
	do
	:: x < NODES ->
		if
		:: !gone[x] && x != lost ->
			voters_of(x);
			living(lost);
			majority(match_set);
			to = to && want
		:: else
		fi;
		x++
	:: else -> break
	od;
	want = to
}

/* match_set becomes the set of nodes that keep their disks */
inline living(li) {
	match_set = 0;
	k = 0;
	do
	:: k < NODES ->
		if
		:: !gone[k] && k != li -> match_set = match_set | (1 << k)
		:: else
		fi;
		k++
	:: else -> break
	od
}

inline replace_voter(rp) {
	undecided_change(rp);
#ifdef REMOVE_UNDECIDED
	want = false;
#endif
	if
	:: !want && OWN_ENTRY(rp) ->
		voters_of(rp);
		x = 4; /* node 2 is the silent one; the others would only mirror it */
		if
		:: x == (1 << rp) -> skip
#ifdef REPLACE_AT_ONCE
		:: x != (1 << rp) && cfg == FIRST -> append(rp, (FIRST | 8) ^ x)
#else
		:: x != (1 << rp) && cfg == FIRST && match[M(rp, 3)] >= commit[rp] -> append(rp, FIRST | 8)
#endif
		:: x != (1 << rp) && cfg == (FIRST | 8) -> append(rp, cfg ^ x)
		:: else
		fi
	:: else
	fi
}

proctype Run(byte i) {
	byte j, at;
	do
	:: atomic { !gone[i] && !leads[i] && term[i] < MAXTERM ->
		voters_of(i);
		if
		:: IN(cfg, i) -> campaign(i)
		:: else
		fi }
	:: atomic { !gone[i] && asks[i] ->
		select(j : 0 .. NODES - 1);
		if
		:: j != i && !gone[j] -> ask_vote(i, j)
		:: else
		fi; j = 0 }
	:: atomic { !gone[i] && asks[i] ->
		voters_of(i);
		majority(votes[i]);
		if
		:: want -> win(i)
		:: else
		fi }
#ifdef REPLACE
	/* a leader begins with an entry of its own term, and that is all it appends */
	:: atomic { !gone[i] && leads[i] && size[i] < MAXLOG && LASTTERM(i) != term[i] -> append(i, 0) }
#else
	:: atomic { !gone[i] && leads[i] && size[i] < MAXLOG -> append(i, 0) }
#endif
#ifdef MEMBERS
	:: atomic { !gone[i] && leads[i] && size[i] < MAXLOG -> change_members(i) }
#endif
#ifdef REPLACE
	:: atomic { !gone[i] && leads[i] && size[i] < MAXLOG -> replace_voter(i) }
#endif
	:: atomic { !gone[i] && leads[i] && size[i] > 0 ->
		select(j : 0 .. NODES - 1);
		select(at : 0 .. MAXLOG - 1);
		if
		:: j != i && !gone[j] && at < size[i] -> replicate(i, j, at)
		:: else
		fi; j = 0; at = 0 }
	:: atomic { !gone[i] && leads[i] && commit[i] < size[i] ->
		select(at : 0 .. MAXLOG - 1);
		if
		:: at < size[i] && at >= commit[i] && COUNTABLE(i, at) ->
			holders(i, at);
			voters_of(i);
			majority(x);
			if
			:: want -> to = at + 1; commit_to(i, to)
			:: else
			fi
		:: else
		fi; at = 0 }
#ifdef REPLACE
	:: atomic { !gone[i] && i < 3 && crashes < CRASHES ->
		bearable(i);
		if
		:: want -> wipe(i)
		:: else
		fi }
#else
	:: atomic { !gone[i] && crashes < CRASHES -> crash(i) }
#endif
#ifdef WIPES
	:: atomic { !gone[i] && crashes < CRASHES -> wipe(i) }
#endif
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < NODES -> vote[i] = NOBODY; synced_vote[i] = NOBODY; i++
		:: else -> break
		od;
		i = 0;
		do
		:: i <= MAXTERM -> leader_of[i] = NOBODY; i++
		:: else -> break
		od;
#ifdef REPLACE
		/* it begins where node 0 leads and has decided an entry of its term */
		i = 0;
		do
		:: i < 3 ->
			term[i] = 1;
			vote[i] = 0;
			sync(i);
			entry_term[E(i, 0)] = 1;
			size[i] = 1;
			match[M(0, i)] = 1;
			i++
		:: else -> break
		od;
		leads[0] = true;
		leader_of[1] = 0;
		commit_to(0, 1);
#endif
		i = 0;
		do
		:: i < NODES -> run Run(i); i++
		:: else -> break
		od
	}
}
