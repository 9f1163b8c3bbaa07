/*
 * Raft among control daemons, as in core/raft: terms, votes, a log, membership
 * changes of one node at a time, crashes, and the loss of a disk.
 *
 * Nodes 0, 1 and 2 start as voters; they may be removed and added again. A step is
 * a request of one node that arrives at another and, nondeterministically, the
 * reply to it. A lost request is a step that is not taken. A leader of an old
 * term stays leader until it sees a newer term.
 *
 * With REPLACE, node 3 starts as a learner and replaces a voter that the leader
 * takes for unreachable, rightly or not: node 3 becomes a voter first, then the
 * unreachable voter is removed (core/raft/voters.go). Disks may be lost as long as
 * every set of voters in use keeps a majority, and again after each repair.
 *
 * With SUCCEED, too, node 3 runs at the address of node 2, which the leader therefore
 * takes for gone, rightly or not: node 2 is removed first, then node 3 becomes a voter.
 * The disk of node 2 may be lost at any time, and one more disk after the replacement
 * is committed.
 *
 * Checked: at most one leader in each term; a committed entry never changes; with
 * REPLACE, a new leader has all entries committed in earlier terms; with SUCCEED, a
 * leader can still be elected after each lost disk.
 * Mutants, flags that break a rule so that the check must fail:
 * VOTE_UNSYNCED, NO_TERM_CHECK, COUNT_OLD_TERMS, TWO_CHANGES,
 * WIPED_VOTER, VOTE_FOR_SHORTER, REPLACE_AT_ONCE, REMOVE_UNDECIDED, and with SUCCEED
 * KEEP_FORMER: the next disk may be lost once node 3 holds the committed entries.
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
bool is_leader[NODES], is_candidate[NODES];
byte votes[NODES]; /* a set of nodes */
byte match[NODES * NODES];
byte leader_of[MAXTERM + 1];
byte committed_term[MAXLOG];
byte committed_cfg[MAXLOG];
bool committed[MAXLOG];
byte committed_in[MAXLOG]; /* the term of the leader that committed the entry */
byte crashes;
bool disk_lost[NODES]; /* the node has lost its disk; it never returns under this name */
byte cfg, k, count, result;
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

/* sets result to whether a majority of cfg is in the set ms */
inline majority(ms) {
	count = 0;
	result = 0;
	k = 0;
	do
	:: k < NODES ->
		count = count + IN(cfg, k);
		result = result + (IN(cfg, k) & IN(ms, k));
		k++
	:: else -> break
	od;
	result = (2 * result > count)
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
		is_leader[sd] = false;
		is_candidate[sd] = false;
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
	:: committed[da] ->
		assert(committed_term[da] == entry_term[E(de, da)] && committed_cfg[da] == entry_cfg[E(de, da)])
	:: else ->
		committed[da] = true;
		committed_in[da] = term[de];
		committed_term[da] = entry_term[E(de, da)];
		committed_cfg[da] = entry_cfg[E(de, da)]
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
	is_candidate[cp] = true;
	is_leader[cp] = false;
	votes[cp] = 1 << cp;
	sync(cp)
}

inline ask_vote(av, aj) {
	step_down(aj, term[av]);
	if
	:: term[aj] == term[av] && (vote[aj] == NOBODY || vote[aj] == av) && !is_leader[aj] && UPTODATE(av, aj) ->
		vote[aj] = av;
#ifndef VOTE_UNSYNCED
		sync(aj);
#endif
		if
		:: votes[av] = votes[av] | (1 << aj)
		:: skip /* the reply is lost */
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
		assert(!committed[k] || committed_in[k] >= term[wi] || (size[wi] > k && entry_term[E(wi, k)] == committed_term[k]));
		k++
	:: else -> break
	od;
#endif
	is_leader[wi] = true;
	is_candidate[wi] = false;
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

/* the leader ri sends its entry at index ra (from 0) to rj */
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
		is_candidate[rj] = false;
		if
		:: ra > size[rj] || (ra > 0 && entry_term[E(rj, ra - 1)] != entry_term[E(ri, ra - 1)]) ->
			skip /* the entry before does not match; an earlier one must be sent first */
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
			:: is_leader[ri] -> match[M(ri, rj)] = (match[M(ri, rj)] > ra + 1 -> match[M(ri, rj)] : ra + 1)
			:: skip /* the reply is lost */
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

/* sets x to the nodes that store the entry at index ha, as far as the leader hi knows */
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
	is_leader[cr] = false;
	is_candidate[cr] = false;
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
	disk_lost[wp] = true
#endif
}

/* sets result to whether the leader's log has an uncommitted membership change */
inline undecided_change(uc) {
	result = false;
	k = commit[uc];
	do
	:: k < size[uc] ->
		if
		:: entry_cfg[E(uc, k)] != 0 -> result = true
		:: else
		fi;
		k++
	:: else -> break
	od
}

inline change_members(cm) {
	undecided_change(cm);
#ifdef TWO_CHANGES
	result = false;
#endif
	if
	:: !result && OWN_ENTRY(cm) ->
		voters_of(cm);
		if /* one node is added or removed */
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

/* sets result to whether every set of voters in use has a majority of nodes with disks,
   apart from lost */
inline bearable(lost) {
	to = 1;
	x = 0;
	do
	:: x < NODES ->
		if
		:: !disk_lost[x] && x != lost ->
			voters_of(x);
			living(lost);
			majority(match_set);
			to = to && result
		:: else
		fi;
		x++
	:: else -> break
	od;
	result = to
}

/* sets match_set to the nodes that have their disks, apart from li */
inline living(li) {
	match_set = 0;
	k = 0;
	do
	:: k < NODES ->
		if
		:: !disk_lost[k] && k != li -> match_set = match_set | (1 << k)
		:: else
		fi;
		k++
	:: else -> break
	od
}

#define SUCCEEDED ((FIRST ^ 4) | 8) /* the voters after the replacement */

/* sets result to whether the disk of node mw may be lost now */
inline may_lose(mw) {
	result = (crashes == 0 && mw == 2);
	k = 0;
	do
	:: k < MAXLOG ->
#ifdef KEEP_FORMER
		result = result || (crashes == 1 && committed[0] && size[3] > k && commit[3] == k + 1 && (k + 1 == MAXLOG || !committed[k + 1]));
#else
		result = result || (crashes == 1 && committed[k] && committed_cfg[k] == SUCCEEDED);
#endif
		k++
	:: else -> break
	od
}

/* sets result to whether some node that has its disk can win an election */
inline electable() {
	to = 0;
	x = 0;
	do
	:: x < NODES ->
		if
		:: !disk_lost[x] ->
			voters_of(x);
			if
			:: IN(cfg, x) ->
				match_set = 0;
				k = 0;
				do
				:: k < NODES ->
					if
					:: !disk_lost[k] && UPTODATE(x, k) -> match_set = match_set | (1 << k)
					:: else
					fi;
					k++
				:: else -> break
				od;
				majority(match_set);
				to = to || result
			:: else
			fi
		:: else
		fi;
		x++
	:: else -> break
	od;
	result = to
}

/* The leader sr removes node 2, then makes node 3 a voter. */
inline succeed_voter(sr) {
	undecided_change(sr);
#ifdef REMOVE_UNDECIDED
	result = false;
#endif
	if
	:: !result && OWN_ENTRY(sr) && sr != 2 ->
		voters_of(sr);
		if
#ifdef REPLACE_AT_ONCE
		:: cfg == FIRST -> append(sr, SUCCEEDED)
#else
		:: cfg == FIRST -> append(sr, FIRST ^ 4)
		:: cfg == (FIRST ^ 4) && match[M(sr, 3)] >= commit[sr] -> append(sr, SUCCEEDED)
#endif
		:: else
		fi
	:: else
	fi
}

inline replace_voter(rp) {
	undecided_change(rp);
#ifdef REMOVE_UNDECIDED
	result = false;
#endif
	if
	:: !result && OWN_ENTRY(rp) ->
		voters_of(rp);
		x = 4; /* node 2 is the unreachable one; the other choices are symmetric */
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
	:: atomic { !disk_lost[i] && !is_leader[i] && term[i] < MAXTERM ->
		voters_of(i);
		if
		:: IN(cfg, i) -> campaign(i)
		:: else
		fi }
	:: atomic { !disk_lost[i] && is_candidate[i] ->
		select(j : 0 .. NODES - 1);
		if
		:: j != i && !disk_lost[j] -> ask_vote(i, j)
		:: else
		fi; j = 0 }
	:: atomic { !disk_lost[i] && is_candidate[i] ->
		voters_of(i);
		majority(votes[i]);
		if
		:: result -> win(i)
		:: else
		fi }
#ifdef REPLACE
	/* a leader appends one entry of its own term and nothing else */
	:: atomic { !disk_lost[i] && is_leader[i] && size[i] < MAXLOG && LASTTERM(i) != term[i] -> append(i, 0) }
#else
	:: atomic { !disk_lost[i] && is_leader[i] && size[i] < MAXLOG -> append(i, 0) }
#endif
#ifdef MEMBERS
	:: atomic { !disk_lost[i] && is_leader[i] && size[i] < MAXLOG -> change_members(i) }
#endif
#ifdef SUCCEED
	:: atomic { !disk_lost[i] && is_leader[i] && size[i] < MAXLOG -> succeed_voter(i) }
#elif defined(REPLACE)
	:: atomic { !disk_lost[i] && is_leader[i] && size[i] < MAXLOG -> replace_voter(i) }
#endif
	:: atomic { !disk_lost[i] && is_leader[i] && size[i] > 0 ->
		select(j : 0 .. NODES - 1);
		select(at : 0 .. MAXLOG - 1);
		if
		:: j != i && !disk_lost[j] && at < size[i] -> replicate(i, j, at)
		:: else
		fi; j = 0; at = 0 }
	:: atomic { !disk_lost[i] && is_leader[i] && commit[i] < size[i] ->
		select(at : 0 .. MAXLOG - 1);
		if
		:: at < size[i] && at >= commit[i] && COUNTABLE(i, at) ->
			holders(i, at);
			voters_of(i);
			majority(x);
			if
			:: result -> to = at + 1; commit_to(i, to)
			:: else
			fi
		:: else
		fi; at = 0 }
#ifdef SUCCEED
	:: atomic { !disk_lost[i] && crashes < CRASHES ->
		may_lose(i);
		if
		:: result ->
			wipe(i);
			electable();
			assert(result)
		:: else
		fi }
#elif defined(REPLACE)
	:: atomic { !disk_lost[i] && i < 3 && crashes < CRASHES ->
		bearable(i);
		if
		:: result -> wipe(i)
		:: else
		fi }
#else
	:: atomic { !disk_lost[i] && crashes < CRASHES -> crash(i) }
#endif
#ifdef WIPES
	:: atomic { !disk_lost[i] && crashes < CRASHES -> wipe(i) }
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
		/* in the initial state node 0 is the leader and has committed an entry of its term */
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
		is_leader[0] = true;
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
