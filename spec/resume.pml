/* Continuation of a stream on another server (docs/design.md section 17).
 *
 * A server sends the events 1 to EVENTS. At any time its connection can stall or
 * break, and another server continues. Events that the first one sent may still
 * arrive later. The caller receives each event once and in order, and at most one
 * server works on the request at any time.
 */
#define EVENTS 3
#define SERVERS 2

byte got = 0;      /* the last event that the caller received */
byte working = 0;  /* number of servers that work on the request */

chan stream[SERVERS] = [EVENTS + 1] of { byte };
bool closed[SERVERS];

proctype Server(byte id; byte after) {
	byte n = after;

	do
	:: n < EVENTS && !closed[id] -> n++; stream[id] ! n
	:: n == EVENTS || closed[id] -> break
	:: break /* it crashes */
	od;
	working--
}

active proctype Relay() {
	byte id = 0;
	byte event, from;

	atomic { working++; run Server(0, 0) }
	do
	:: atomic { stream[id] ? event ->
#ifndef NO_ORDER_CHECK
		if
		:: event <= got -> skip
		:: event > got ->
#endif
			assert(event == got + 1);
			got = event
#ifndef NO_ORDER_CHECK
		fi
#endif
		}
	:: got == EVENTS -> break
	:: id + 1 < SERVERS -> /* a stalled or broken connection */
		atomic {
			closed[id] = true;
			/* The new run may start before the caller's position: at the last event
			 * that was stored. */
			if
			:: from = got
			:: got > 0 -> from = got - 1
#ifdef RESUME_LATER
			:: got < EVENTS -> from = got + 1
#endif
			fi
		}
#ifndef NO_WAIT_FOR_END
		/* The old server has detected the close or has crashed before the new one
		 * generates: that one first recomputes the prompt, which takes longer. */
		working == 0;
#endif
		atomic { id++; working++; assert(working == 1); run Server(id, from) }
	:: id + 1 == SERVERS && working == 0 && empty(stream[id]) -> break /* the stream ends incomplete */
	od
}
