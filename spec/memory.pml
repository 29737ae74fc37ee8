/* Engine memory of one request (docs/design.md I1, 4.10, 10.2): a prefill
 * result on one engine and a decode attempt on another, with cancellation,
 * expiry, a crash of the entry instance and connections that stall.
 * Messages to an engine can be lost, delayed and reordered.
 */
mtype = { start, abort };

bool prefill_held = false; /* KV cache that has not been fetched yet */
bool decode_held = false;  /* blocks of the decode attempt */
bool fetched = false;
bool alive = true;         /* the entry instance */
bool ended = false;        /* the request, at the entry instance */
bool silent = false;       /* its connection no longer delivers data */
bool acknowledged = false; /* the abort, by the engine */

chan to_engine = [3] of { mtype };

active proctype PrefillEngine() {
	prefill_held = true;
	if
	:: fetched
#ifndef NO_PREFILL_EXPIRY
	:: true /* its lifetime of less than 1 s has ended */
#endif
	fi;
	prefill_held = false
}

active proctype DecodeEngine() {
end:
	do
	:: atomic { to_engine ?? start ->
		if
		:: silent -> skip
		:: else -> decode_held = true; fetched = true
		fi
	}
	:: atomic { to_engine ?? abort -> decode_held = false; acknowledged = true }
	:: atomic { to_engine ?? abort -> skip } /* lost */
	/* The response is complete and was read. */
	:: atomic { decode_held && alive && !ended && !silent -> decode_held = false; ended = true }
#ifndef NO_DISCONNECT_EXPIRY
	/* The engine ends a stream 3 s after its connection was closed. */
	:: atomic { decode_held && (!alive || ended) && !silent -> decode_held = false }
#endif
	od
}

active proctype EntryInstance() {
	to_engine ! start;
	if
	:: ended
	:: atomic { !silent -> alive = false; goto stop }
	:: ended = true /* cancelled, or ended because it stalled */
	fi;
	do
	:: acknowledged -> break
	:: !acknowledged && nfull(to_engine) ->
		to_engine ! abort
#ifdef NO_ABORT_RETRY
		; break
#endif
	od;
#ifndef NO_LAST_ABORT
	/* The abort can arrive before the request. It is sent again once the request
	 * can no longer arrive. */
	atomic { !(to_engine ?? [start]) -> acknowledged = false };
	do
	:: acknowledged -> break
	:: !acknowledged && nfull(to_engine) -> to_engine ! abort
	od;
#endif
stop:
	skip
}

/* The connection of a running instance stalls. */
active proctype Fault() {
	if
	:: atomic { alive -> silent = true }
	:: true
	fi
}

active proctype Monitor() {
	timeout;
	assert(!prefill_held && !decode_held)
}
