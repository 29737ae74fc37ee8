/* Commands to one engine under the lease of its pool (docs/design.md section 8).
 *
 * Two members hold the lease one after the other; the fencing number of a
 * holder is its position in that sequence. Time passes in units of the command
 * timeout. With ENGINE_IGNORES the engine does not check the number.
 * With PAUSE_WHILE_SENDING a holder can pause between its check of the lease
 * and the dispatch of the command, which no check at the sender can prevent.
 */
#define TTL             2 /* of the lease */
#define COMMAND_TIMEOUT 1 /* a command arrives within this time or never */
#define LAST_START      5 /* no lease is acquired later */
#define END             7

byte now = 0;
byte lease_fence = 0;   /* number of the newest lease */
byte lease_expires = 0;
byte stored_fence = 0;  /* of the desired state in the store */
byte engine_fence = 0;  /* of the command that the engine executes */
byte holders_done = 0;

chan orders = [3] of { byte /*fence*/, byte /*arrives no later than*/ };

inline apply(fence) {
	if
#if !defined(ENGINE_IGNORES) && !defined(NO_FENCING_CHECK)
	:: fence < engine_fence -> skip /* 409 stale_fencing */
#endif
	:: else ->
		if
#ifndef PAUSE_WHILE_SENDING
		:: fence < engine_fence -> assert(false) /* the command of the next holder is undone */
#endif
		:: else -> engine_fence = fence
		fi
	fi
}

/* Commands of the two holders can be reordered and lost. */
active proctype Network() {
	byte deadline;
end:
	do
	:: atomic { orders ?? 1, deadline -> apply(1); deadline = 0 }
	:: atomic { orders ?? 2, deadline -> apply(2); deadline = 0 }
	:: atomic { orders ?? 1, deadline -> deadline = 0 }
	:: atomic { orders ?? 2, deadline -> deadline = 0 }
	od
}

bool overdue;

/* If the engine ignores the number, time does not pass the arrival deadline of a
 * command in transit. If it checks the number, a command can be delayed without
 * bound. */
active proctype Clock() {
	byte deadline, fence;
	do
	:: atomic {
		now < END ->
		overdue = false;
#ifdef ENGINE_IGNORES
		if
		:: orders ?? [fence, eval(now)] -> overdue = true
		:: else
		fi;
#endif
		if
		:: overdue -> skip
		:: else -> now++
		fi;
		overdue = false
	}
	:: now == END -> break
	od
}

inline send(fence) {
	atomic {
		nfull(orders);
		orders ! fence, now + COMMAND_TIMEOUT
	}
}

proctype Member() {
	byte fence, expires, start;
	bool may_send = false;

	atomic {
		if
		:: now < LAST_START && now >= lease_expires -> skip
		:: now >= LAST_START -> goto stop
		fi;
		lease_fence++;
		fence = lease_fence;
		expires = now + TTL;
		lease_expires = expires;
		start = now
	}
#if defined(ENGINE_IGNORES) && !defined(NO_WAIT_OF_NEW_HOLDER)
	if
	:: fence > 1 -> now >= start + COMMAND_TIMEOUT
	:: else
	fi;
#endif
	/* The desired state is written first, on condition that this member still
	 * holds the lease key. */
	atomic {
		if
#ifndef NO_CONDITION_ON_LEASE
		:: lease_fence != fence -> goto stop
#endif
		:: else -> assert(fence >= stored_fence); stored_fence = fence
		fi
	}
#ifdef PAUSE_WHILE_SENDING
	may_send = (now + COMMAND_TIMEOUT <= expires);
	if
	:: may_send -> send(fence)
	:: else
	fi;
#else
	atomic {
		nfull(orders);
		if
#ifndef NO_REMAINING_LEASE_CHECK
		:: now + COMMAND_TIMEOUT > expires -> skip
#endif
		:: else -> orders ! fence, now + COMMAND_TIMEOUT
		fi
	}
#endif
stop:
	holders_done++
}

init {
	atomic { run Member(); run Member() }
#ifdef PAUSE_WHILE_SENDING
	/* The newest holder reads the state of the engine once a second and repeats
	 * its command while the state differs. */
	holders_done == 2 && empty(orders);
#ifndef NO_READ_BACK
	atomic {
		if
		:: engine_fence != stored_fence -> engine_fence = stored_fence
		:: else
		fi
	}
#endif
	assert(engine_fence == stored_fence)
#endif
}
