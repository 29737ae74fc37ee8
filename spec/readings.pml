/* What instances know about the backend servers (docs/design.md section 17.8).
 *
 * The set of servers is a mask of two bits for each revision of the store. Two
 * instances read it, receive outdated responses, keep missing servers for a while
 * after an outage, and report to each other what they know in messages that can
 * be late. What an instance believes about a server was true at the revision that
 * it states, or later, and that revision never decreases.
 */
#define LAST 2 /* last revision of the store */
#define BOTH 3 /* both servers */

byte at[LAST + 1]; /* the servers at each revision */
byte rev = 0;

byte known[2];  /* the revision as of which the belief holds */
byte belief[2];
byte last[2];   /* the newest set read from the store, with its revision */
byte lastrev[2];
byte drev[2];   /* what that read changed: revision, servers, values */
byte dmask[2];
byte dval[2];

chan told[2] = [1] of { byte /*revision*/, byte /*servers*/, byte, byte, byte };

/* truth asserts that the belief of i was true at known[i] or later. */
inline truth(i) {
	seen = 0; missed = 0; k = known[i];
	do
	:: k <= rev -> seen = seen | at[k]; missed = missed | (BOTH & ~at[k]); k++
	:: else -> break
	od;
	assert((belief[i] & ~seen) == 0);
	assert((BOTH & ~belief[i] & ~missed) == 0);
	seen = 0; missed = 0; k = 0
}

active proctype Platform() {
	do
	:: rev < LAST ->
		atomic {
			if
			:: at[rev + 1] = at[rev] ^ 1
			:: at[rev + 1] = at[rev] ^ 2
			:: at[rev + 1] = at[rev] /* something else changed */
			fi;
			rev++
		}
	:: rev == LAST -> break
	od
}

proctype Instance(byte i) {
	byte r, seen, missed, k, before, cr, content, dr, dm, dv, candidate;
	byte steps = 0;

	do
	:: steps < 4 -> steps++;
		if
		:: atomic { /* a read, whose result may be outdated */
			if
			:: r = rev
			:: rev > 0 -> r = rev - 1
			fi;
			before = known[i];
			if
#ifndef NO_OLD_READING_CHECK
			:: r < known[i] -> skip
			:: r >= known[i] ->
#else
			:: true ->
#endif
				last[i] = at[r]; lastrev[i] = r;
				if
				:: drev[i] = r; dmask[i] = belief[i] ^ at[r]; dval[i] = at[r];
					belief[i] = at[r]; known[i] = r
				:: (belief[i] & ~at[r]) != 0 -> /* after an outage: missing servers are kept */
					belief[i] = belief[i] | at[r];
#ifdef NO_KEPT_CHECK
					known[i] = r;
#endif
					drev[i] = known[i]; dmask[i] = 0
				fi
			fi;
			assert(known[i] >= before);
			truth(i); r = 0; before = 0
		}
		:: atomic { nfull(told[1 - i]) -> told[1 - i] ! known[i], belief[i], drev[i], dmask[i], dval[i] }
		:: atomic { nempty(told[i]) -> told[i] ? cr, content, dr, dm, dv;
			before = known[i];
			if
			:: content == last[i] && belief[i] != last[i] && lastrev[i] >= known[i] ->
				belief[i] = last[i]; known[i] = lastrev[i] /* a peer's belief equals this instance's last read */
			:: else
			fi;
			candidate = belief[i];
			if
			:: dr > known[i] -> candidate = (candidate & ~dm) | (dv & dm)
			:: else
			fi;
			if
#ifndef NO_NEWER_CHECK
			:: cr <= known[i] -> skip
			:: cr > known[i] ->
#else
			:: true ->
#endif
				if
#ifndef NO_COMPARISON
				:: candidate != content -> skip /* the instance reads the platform instead */
				:: candidate == content ->
#else
				:: true ->
#endif
					belief[i] = candidate; known[i] = cr
				fi
			fi;
			assert(known[i] >= before);
			truth(i);
			cr = 0; content = 0; dr = 0; dm = 0; dv = 0; candidate = 0; before = 0
		}
		fi
	:: break
	od
}

init {
	atomic {
		at[0] = BOTH;
		belief[0] = BOTH; belief[1] = BOTH; last[0] = BOTH; last[1] = BOTH;
		run Instance(0); run Instance(1)
	}
}
