/*
 * A server that states in its replies that it leaves gets no late request from a node that has passed on such an answer,
 * whatever its entry says. Models packages/core/queries/forwarder.cpp (delegate, submit_delegated), delegation.cpp and
 * packages/core/upstreams/departures.cpp.
 *
 * Node A takes queries from callers. It delegates a query to the holder H or, if H is lost, runs it itself. The server
 * may begin to state that it leaves at any time; replies under way may or may not state it. The node that reads a reply
 * knows. Entries of the server are removed and come back at any time. H may restart and forget.
 * A node is due once the drain time has passed since a caller got an answer through it; time passes as it likes.
 */
#define A 0
#define H 1
bool leaving = false;
bool knows[2];          /* upstream::leaving_, and departures::known_ */
bool passed_on[2];      /* a caller got an answer that states it: A gave it, H had read it */
bool due[2];            /* and the drain time has passed since */
bool told = false;      /* holder_state::told_up_to: H has answered a query that named the server */
byte h_starts = 0;
byte h_starts_when_told = 0;

inline read_reply(node) {
    stated = leaving;
    if
    :: stated -> knows[node] = true
    :: else -> skip
    fi
}

inline pass_on(reader_starts) {
    if
    :: stated ->
        passed_on[A] = true;
        if
        :: reader_starts == h_starts -> passed_on[H] = true
        :: else -> skip
        fi
    :: else -> skip
    fi
}

proctype query() {
    bool late[2];
    bool stated = false;
    bool named = false;
    bool sent = false;
    bool is_told_in_vain = false;   /* H has restarted since A told it */
    byte starts;
    byte n = 0;
    do
    :: n < 3 ->
        /* A caller sends its request. */
        atomic { n++; late[A] = due[A]; late[H] = due[H]; starts = h_starts; stated = false; sent = false }
        if
        :: /* H is lost, or declines: A runs the query itself. */
            atomic {
                if
                :: !knows[A] -> assert(!late[A]); sent = true
                :: else -> skip
                fi
            }
            if
            :: sent ->
                atomic { read_reply(A) }
                atomic {
                    if
                    :: stated -> passed_on[A] = true
                    :: else -> skip
                    fi
                }
            :: else -> skip
            fi
        :: /* H acknowledges the call and is sent the query. */
            atomic {
#ifdef BROKEN_QUERY_NAMES_NONE
            named = false;
#else
            named = knows[A] && !told;
#endif
            starts = h_starts;
            is_told_in_vain = told && h_starts != h_starts_when_told
            };
            atomic {
                if
                :: starts == h_starts ->
                    if
                    :: named -> knows[H] = true
                    :: else -> skip
                    fi;
                    if
                    :: !knows[H] ->
                        assert(!(late[H] && due[H]));       /* a restart since then excuses */
                        /* Nor is a query of A late, unless H has restarted since A told it. */
                        assert(!late[A] || is_told_in_vain);
                        sent = true
                    :: else -> skip
                    fi
                :: else -> skip      /* the call ends with the process */
                fi
            }
            if
            :: sent -> atomic {
                if
                :: starts == h_starts -> read_reply(H)
                :: else -> sent = false
                fi
               }
            :: else -> skip
            fi;
            /* The answer arrives at A, which passes it on; or it is lost. */
            if
            :: atomic {
                starts == h_starts ->
                if
                :: named -> told = true; h_starts_when_told = h_starts
                :: else -> skip
                fi;
#ifndef BROKEN_ANSWER_NAMES_NONE
                if
                :: sent && stated -> knows[A] = true
                :: else -> skip
                fi
#endif
               };
               if
               :: sent -> atomic { pass_on(starts) }
               :: else -> skip
               fi
            :: atomic { told = false }    /* a call that failed: H may have restarted */
            fi
        fi
    :: break
    od
}

active proctype server() {
    leaving = true
}

active proctype time() {
    do
    :: atomic { passed_on[A] && !due[A] -> due[A] = true }
    :: atomic { passed_on[H] && !due[H] -> due[H] = true }
    :: break
    od
}

/* The server's entry is removed at A and comes back. */
active proctype registry() {
#ifdef BROKEN_FORGETS_REMOVED
    knows[A] = false
#else
    skip
#endif
}

active proctype holder_restart() {
    if
    :: atomic { h_starts++; knows[H] = false; passed_on[H] = false; due[H] = false }
    :: skip
    fi
}

init {
    atomic { run query(); run query() }
}
