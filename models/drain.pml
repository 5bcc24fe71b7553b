/*
 * An upstream that is leaving receives no new work, and a graceful stop cuts no request off, also one that comes late.
 * Models packages/core/upstreams/upstream.cpp (mark_leaving, mark_live), dispatcher.cpp, packages/core/queries/gather.cpp
 * and forwarder.cpp (limits of a stopping node), and packages/daemon/node.cpp (stop).
 *
 * A server of incarnation 1 starts to drain. The node learns of it from the server's replies, and from a list that
 * lags: the list may report incarnation 1 as "live" after it reported it as "leaving". Later, incarnation 2 starts at
 * the same address. One node sends requests, and is itself stopped at some time. Callers send it requests until it has
 * ended. Servers may take any time for a reply, and the end of the grace time waits for none.
 */
byte incarnation = 1;         /* incarnation of the server */
bool leaving = false;         /* whether incarnation 1 is draining */
bool draining = false;        /* upstream::leaving_ */
byte known = 1;               /* upstream::incarnation_ */
byte waiting = 0;             /* requests taken and not sent to a server */
byte in_flight = 0;           /* requests sent and not answered */
bool told = false;            /* whether the node has been notified that incarnation 1 is leaving */
#define SERVING 0
#define STOPPING 1            /* the stop signal has arrived */
#define PAST_LAST_SEND 2      /* nothing is sent to servers any more */
#define PAST_LAST_ANSWER 3
byte stage = SERVING;
bool exited = false;
byte admitted = 0;

inline mark_draining(life) {
    if
    :: draining && known == life -> skip
    :: else -> known = life; draining = true
    fi;
    if
    :: life == 1 -> told = true
    :: else -> skip
    fi
}

inline mark_live(life) {
    if
#ifdef BROKEN_STALE_WORD
    :: life > 0 -> draining = false; known = life
#else
    :: life == known -> skip
    :: life > known -> known = life; draining = false
    :: life < known -> skip
#endif
    fi
}

active proctype server() {
    leaving = true;
    incarnation = 2
}

/* The platform's list: its updates may be late and out of order. */
active proctype list() {
    do
    :: atomic { leaving -> mark_draining(1) }
    :: atomic { mark_live(1) }
    :: atomic { incarnation == 2 -> mark_live(2) }
    :: exited -> break
    od
}

active proctype node() {
    byte to;
    do
    /* A request arrives. From the last send on it is refused at once. */
    :: atomic {
        admitted < 3 ->
        admitted++;
        if
#ifdef BROKEN_TAKES_LATE_REQUESTS
        :: true -> waiting++
#else
        :: stage < PAST_LAST_SEND -> waiting++
        :: else -> skip
#endif
        fi
       }
    :: atomic {
        !draining && waiting > 0 && in_flight < 2 && stage < PAST_LAST_SEND ->
        /* New requests reach the incarnation that is listening; a node that knows that 1 is leaving and does
           not know of 2 must not send. */
        assert(!(told && known == 1));
        waiting--;
        in_flight++
       }
    :: atomic {
        in_flight > 0 ->
        in_flight--;
        if
        :: leaving && incarnation == 1 -> mark_draining(1)   /* the reply reports the drain */
        :: true -> skip
        fi
       }
    /* Time passes. */
    :: atomic { stage == SERVING -> stage = STOPPING }
    :: atomic { stage == STOPPING -> stage = PAST_LAST_SEND; waiting = 0 }     /* refused: never sent */
#ifdef BROKEN_CUT_AT_END
    :: atomic { stage == PAST_LAST_SEND -> stage = PAST_LAST_ANSWER }
#else
    :: atomic { stage == PAST_LAST_SEND -> stage = PAST_LAST_ANSWER; in_flight = 0 } /* answered without a promise */
#endif
    /* A node without requests may end early. */
    :: atomic { stage > SERVING && in_flight == 0 && waiting == 0 -> exited = true; break }
    :: atomic { stage == PAST_LAST_ANSWER -> exited = true; break }
    od;
    assert(in_flight == 0 && waiting == 0)       /* no request is cut off */
}
