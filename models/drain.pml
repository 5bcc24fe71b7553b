/*
 * An upstream that is leaving receives no new work, and a graceful stop cuts no request off. Models
 * packages/core/upstreams/upstream.cpp (mark_leaving, mark_live), dispatcher.cpp, and packages/daemon/node.cpp (stop).
 *
 * A server of incarnation 1 starts to drain. The node learns of it from the server's replies, and from a list that
 * lags: the list may report incarnation 1 as "live" after it reported it as "leaving". Later, incarnation 2 starts at
 * the same address. One node sends requests, and is itself stopped at some time.
 */
byte incarnation = 1;         /* incarnation of the server */
bool leaving = false;         /* whether incarnation 1 is draining */
bool draining = false;        /* upstream::leaving_ */
byte known = 1;               /* upstream::incarnation_ */
byte in_flight = 0;
bool told = false;            /* whether the node has been notified that incarnation 1 is leaving */
bool stopping = false;        /* query_router::stopping_ */
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
    :: atomic {
        !draining && !stopping && admitted < 3 && in_flight < 2 ->
        /* New requests reach the incarnation that is listening; a node that knows that 1 is leaving and does
           not know of 2 must not send. */
        assert(!(told && known == 1));
        admitted++;
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
    :: atomic { !stopping -> stopping = true }
#ifdef BROKEN_STOP_AT_ONCE
    :: atomic { stopping -> exited = true; break }
#else
    :: atomic { stopping && in_flight == 0 -> exited = true; break }
#endif
    od;
    assert(in_flight == 0)       /* no request is cut off */
}
