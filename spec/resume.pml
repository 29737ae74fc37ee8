/* Continuation of a stream at another server (docs/design.md section 17).
 *
 * A server sends the events 1 to EVENTS. At any time its connection falls silent
 * or breaks, and another server continues. What the first one sent may still
 * arrive later. The caller gets each event once, in order, and never two runs at
 * the same time.
 */
#define EVENTS 3
#define SERVERS 2

byte got = 0;      /* the last event that the caller has */
byte working = 0;  /* servers that work on the request */

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
	:: id + 1 < SERVERS -> /* silence or a broken connection */
		atomic {
			closed[id] = true;
			/* The new run may begin earlier than the caller is: at what was kept. */
			if
			:: from = got
			:: got > 0 -> from = got - 1
#ifdef RESUME_LATER
			:: got < EVENTS -> from = got + 1
#endif
			fi
		}
#ifndef NO_WAIT_FOR_END
		/* The server has seen the close, or it is dead: the prompt is computed
		 * anew first, which takes longer. */
		working == 0;
#endif
		atomic { id++; working++; assert(working == 1); run Server(id, from) }
	:: id + 1 == SERVERS && working == 0 && empty(stream[id]) -> break /* cut */
	od
}
