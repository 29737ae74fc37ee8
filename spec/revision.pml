/* Active revision of the tables under edits, relay and restart
 * (docs/design.md section 6, I8).
 *
 * Two editors change the tables by compare-and-swap; two instances receive
 * revisions from the store or from each other, in messages that can be late;
 * instances restart without tables. The content of a revision is the number of
 * its edit.
 */
#define INSTANCES     2
#define MAX_EDITS     2
#define MAX_RESTARTS  2

byte stored = 1;
byte content[MAX_EDITS + 2];   /* of each revision, as stored first */
byte edits = 0;
byte restarts = 0;

byte active_revision[INSTANCES];  /* 0: none */
bool ready[INSTANCES];
bool confirmed[INSTANCES];
byte highest_confirmed[INSTANCES]; /* across restarts */

chan relay = [2] of { byte /*to*/, byte /*revision*/, bool /*sender confirmed*/ };

inline activate(me, revision) {
#ifndef NO_HIGHER_ONLY
	if
	:: revision <= active_revision[me] -> skip
	:: else ->
#endif
		assert(revision >= active_revision[me]);
		active_revision[me] = revision
#ifndef NO_HIGHER_ONLY
	fi
#endif
}

inline confirm(me) {
	confirmed[me] = true;
	/* A confirmed revision is never lower than one that this instance confirmed
	 * before, even across a restart. */
	assert(active_revision[me] >= highest_confirmed[me]);
	highest_confirmed[me] = active_revision[me]
}

proctype Editor() {
	byte seen, mine;
	do
	:: atomic { edits < MAX_EDITS -> edits++; mine = edits; seen = stored };
		atomic {
			if
#ifndef NO_CAS_EDIT
			:: stored != seen -> skip /* the conflict is reported to the operator */
#endif
			:: else ->
				/* One revision has one content. */
				assert(seen + 1 > stored || content[seen + 1] == mine);
				stored = seen + 1;
				content[stored] = mine
			fi;
			seen = 0; mine = 0
		}
	:: edits == MAX_EDITS -> break
	od
}

/* Late messages from any peer; a message carries the state of its sender at the
 * time of sending. */
proctype Relay() {
	byte from, to, revision;
	bool sender;
end:
	do
	:: atomic {
		nfull(relay);
		select(from : 0 .. 1);
		to = 1 - from;
		if
		:: active_revision[from] > 0 ->
			relay ! to, active_revision[from], confirmed[from]
		:: else
		fi;
		from = 0; to = 0
	}
	:: atomic {
		relay ? to, revision, sender ->
		activate(to, revision);
#ifdef CONFIRM_FROM_ANY_PEER
		if
		:: sender -> confirm(to)
		:: else
		fi;
#endif
		to = 0; revision = 0; sender = false
	}
	od
}

proctype Instance(byte id) {
	byte revision;
end:
	do
	/* Reads the store; a slow response can be older than what a peer sent. */
	:: revision = stored;
	   atomic {
		activate(id, revision);
		ready[id] = true;
		confirm(id);
		revision = 0
	}
	/* Becomes ready without the store, with the revision of a peer, which stays
	 * unconfirmed. */
	:: atomic {
		!ready[id] ->
		if
#ifndef NO_QUESTION_BEFORE_READY
		:: active_revision[id] == 0 -> skip
#endif
		:: else -> ready[id] = true; assert(active_revision[id] > 0)
		fi
	}
	:: atomic {
		ready[id] && restarts < MAX_RESTARTS ->
		restarts++;
		active_revision[id] = 0; ready[id] = false; confirmed[id] = false
	}
	od
}

init {
	atomic {
		run Editor(); run Editor(); run Relay();
		run Instance(0); run Instance(1)
	}
}
