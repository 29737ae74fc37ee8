/* Slot grants of one server with a change of owner (docs/design.md 5.3).
 *
 * Owner 0 grants the slots; it is replaced by owner 1 at any time, because the
 * membership list changed. Owner 0 may be paused instead of dead, but members
 * agree on the list, so holders accept grants of the current owner only. The
 * lifetime of a grant starts when the holder requested it. A request that started
 * under a grant keeps its slot after the grant has expired, until the request
 * ends.
 */
#define SLOTS   1
#define HOLDERS 2
#define TTL     2
#define END     7

byte now = 0;
byte owner = 0;
byte owner_since = 0;
byte running[HOLDERS];    /* slots in use at the server */
byte granted[HOLDERS];    /* as the holder knows it */
byte grant_until[HOLDERS];
byte lent[HOLDERS];       /* as the current owner knows it */
byte lent_until[HOLDERS];
byte old_lent[HOLDERS];   /* as owner 0 knows it after the change */
bool rebuilt = true;      /* the current owner has counted the slots in use */

#define in_use (running[0] + running[1])

active proctype Clock() {
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

active proctype OwnerChange() {
	if
	:: atomic {
		owner = 1; owner_since = now; rebuilt = false;
		old_lent[0] = lent[0]; old_lent[1] = lent[1];
		lent[0] = running[0]; lent[1] = running[1];
		lent_until[0] = now; lent_until[1] = now
	}
	:: true
	fi
}

inline free_expired(h) {
	if
	:: lent[h] > 0 && now >= lent_until[h] ->
#ifdef NO_WITHHOLDING
		lent[h] = 0
#else
		/* A load report newer than the expiry shows the slots in use. */
		lent[h] = running[h]
#endif
	:: else
	fi
}

inline grant(h, until) {
	granted[h] = 1; grant_until[h] = until
}

proctype Owner() {
	byte h;
	do
	:: atomic {
		now < END ->
		if
		:: h = 0
		:: h = 1
		fi;
		if
		/* A late response of the old owner to a holder that sent its request
		 * before the change. */
		:: owner == 1 && now < owner_since + TTL && old_lent[0] + old_lent[1] < SLOTS ->
			old_lent[h]++;
			grant(h, owner_since + TTL)
#ifndef NO_WAIT_OF_NEW_OWNER
		:: owner == 1 && now < owner_since + TTL -> skip
#endif
		:: else ->
			if
			:: !rebuilt -> lent[0] = running[0]; lent[1] = running[1]; rebuilt = true
			:: else
			fi;
			free_expired(0); free_expired(1);
			if
			:: lent[0] + lent[1] < SLOTS ->
				lent[h]++; lent_until[h] = now + TTL;
				grant(h, lent_until[h])
			:: else
			fi
		fi;
		h = 0
	}
	:: now == END -> break
	od
}

proctype Holder(byte id) {
	do
	:: atomic {
		granted[id] == 1 && running[id] == 0 ->
		if
#ifndef NO_EXPIRY_CHECK
		:: now >= grant_until[id] -> skip
#endif
		:: else -> running[id] = 1; assert(in_use <= SLOTS)
		fi;
		granted[id] = 0
	}
	:: atomic { running[id] == 1 -> running[id] = 0 }
	:: now == END -> break
	od
}

init {
	atomic { run Owner(); run Holder(0); run Holder(1) }
}
