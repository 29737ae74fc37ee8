/* Claim and execution of one idempotency key (docs/design.md section 7).
 *
 * Each Holder is one attempt of the caller at some instance, with a claim token
 * that no other attempt has. A write waits in the channel, so it can take effect
 * long after the sender stopped waiting; the response of the store can be lost; a
 * holder can pause between any two steps. The record is part of a document that
 * is deleted at DELETE_AT, after which its revision is 0 again.
 */
#define HOLDERS   3
#define MAX_AGE   0 /* a key older than this is rejected (7.7) */
#define RUN_FOR   1 /* a ticket is valid this long after Begin */
#define DELETE_AT 2 /* later than MAX_AGE + RUN_FOR */

mtype = { absent, claimed, notrun, done };

mtype state = absent;
byte token = 0;
byte rev = 0; /* 0 when the document does not exist */
byte next_rev = 1;
byte now = 0;
byte runs = 0;
bool committed[HOLDERS]; /* the store committed this holder's claim */

chan writes = [2] of { byte /*holder*/, byte /*condition*/, mtype };

active proctype Clock() {
	do
	:: now < DELETE_AT -> now++
	:: now == DELETE_AT -> break
	od;
	atomic { state = absent; token = 0; rev = 0 }
}

active proctype Store() {
	byte id, condition;
	mtype to;
end:
	do
	:: atomic {
		writes ? id, condition, to ->
		if
#ifndef NO_CAS
		:: condition != rev
#endif
		:: else ->
			state = to; token = id + 1; rev = next_rev; next_rev++;
			if
			:: to == claimed -> committed[id] = true
			:: else
			fi
		fi;
		id = 0; condition = 0; to = 0
	}
	od
}

proctype Holder(byte id) {
	byte began;
	byte tries = 0;

	atomic {
		began = now;
		if
#ifndef NO_AGE_CHECK
		:: began > MAX_AGE -> goto stop
#endif
		:: else
		fi
	}
claim:
	atomic {
		nfull(writes);
		/* A claim that was sent twice without a response fails; the request is
		 * never executed under this token after that. */
		if
		:: state == claimed && token == id + 1 -> goto won
		:: tries < 2 && (state == absent || (state == notrun && token != id + 1)) -> skip
#ifdef TAKEOVER_OF_SILENT_HOLDER
		:: tries < 2 && state == claimed && token != id + 1 -> skip
#endif
		:: else -> goto stop
		fi;
		tries++;
		writes ! id, rev, claimed
	}
	if
	:: committed[id] -> skip
#ifdef NO_READ_BACK
	:: true -> skip
#else
	:: true -> goto claim /* no response in time: check for this holder's token */
#endif
	fi;
won:
	tries = 0;
	if
	:: true -> goto giveback
	:: true -> skip
	fi;
	atomic {
		nfull(writes);
		if
#ifndef NO_RUN_BY
		:: now > began + RUN_FOR -> goto stop
#endif
		:: else -> runs++; assert(runs <= 1)
		fi;
		if
		:: token == id + 1 -> writes ! id, rev, done
		:: else
		fi;
		goto stop
	}
giveback:
	atomic {
		nfull(writes);
		if
#ifdef NO_OWNER_CHECK
		:: true -> writes ! id, rev, notrun
#else
		:: token == id + 1 -> writes ! id, rev, notrun
		:: else
#endif
		fi;
		tries++
	}
	if
	:: tries < 2 -> goto giveback /* the response was lost: write again */
	:: true
	fi;
#ifdef RUN_AFTER_GIVING_BACK
	if
	:: atomic { runs++; assert(runs <= 1) }
	:: true
	fi;
#endif
stop:
	atomic { began = 0; tries = 0 }
}

init {
	atomic { run Holder(0); run Holder(1); run Holder(2) }
}
