/*
 * A node that the store answers acts on a change within a bounded time, also if the store is silent to the nodes that
 * watch it. Models packages/core/cluster/store_freshness.cpp, object_watcher.cpp (check) and packages/daemon/cluster.cpp
 * (on_gossip).
 *
 * Three nodes, of which node 0 watches the store for all, in discrete time. The store becomes silent to any nodes at any
 * time, and answers again. One change is written. In each step of time any nodes exchange gossip or none: a node
 * may take newer content from a peer, and takes its confirmation if it then holds all that the peer holds. A node whose newest
 * confirmation has reached the age CHECK_AGE asks the store itself. Node 2 may know no other node at any time: it then exchanges no
 * gossip, and watches the store itself (packages/core/cluster/holders.cpp).
 */
#define NODES 3
#define CHECK_AGE 3
#define LIMIT 4               /* steps after its acknowledgement by which a change must be in force */
#define END 9

byte version = 1;             /* of the content in the store */
byte written = 0;             /* step in which version 2 was written */
bool silent[NODES];           /* whether the store answers the node nothing */
byte holds[NODES] = 1;        /* version that the node acts on */
byte age[NODES];              /* of its newest confirmation, in steps */
bool alone = false;           /* whether node 2 knows no other node */
byte now = 0;

#define knows_nobody(n) (alone && (n) == 2)

inline ask_store(n) {
    if
    :: !silent[n] -> holds[n] = version; age[n] = 0
    :: else -> skip
    fi
}

inline gossip(n, peer) {
    if
    :: holds[peer] > holds[n] -> holds[n] = holds[peer]
    :: true -> skip      /* the pull fails, or its reply comes later */
    fi;
#ifdef BROKEN_GOSSIP_CONFIRMS
    age[n] = 0
#else
    if
#ifdef BROKEN_CONFIRMED_WITHOUT_CONTENT
    :: age[peer] < age[n] -> age[n] = age[peer]
#else
    :: age[peer] < age[n] && holds[peer] == holds[n] -> age[n] = age[peer]
#endif
    :: else -> skip
    fi
#endif
}

/* One step of a node: gossip with one peer or none, then its duty. */
inline step(n) {
    if
    :: !knows_nobody(n) && !knows_nobody((n + 1) % NODES) -> gossip(n, (n + 1) % NODES)
    :: !knows_nobody(n) && !knows_nobody((n + 2) % NODES) -> gossip(n, (n + 2) % NODES)
    :: true -> skip
    fi;
    if
    :: n == 0 -> ask_store(n)
#ifndef BROKEN_NO_DUTY_ALONE
    :: knows_nobody(n) -> ask_store(n)
#endif
#ifndef BROKEN_TRUST_THE_WATCHER
    :: n != 0 && !knows_nobody(n) && age[n] >= CHECK_AGE -> ask_store(n)
#endif
    :: else -> skip
    fi
}

active proctype world() {
    byte n;
    do
    :: now < END ->
        atomic {
            /* The store's silence to each node may begin or end. */
            n = 0;
            do
            :: n < NODES -> if :: silent[n] = true :: silent[n] = false fi; n++
            :: else -> break
            od;
            if
            :: alone = true
            :: alone = false
            fi;
            if
            :: version == 1 -> version = 2; written = now
            :: skip
            fi;
            age[0]++; age[1]++; age[2]++;
            step(0);
            step(1);
            step(2);
            n = 0;
            do
            :: n < NODES ->
                /* A node that the store has not answered in this step is not judged. */
                assert(silent[n] || version == 1 || now < written + LIMIT || holds[n] == 2);
                n++
            :: else -> break
            od;
            now++
        }
    :: now == END -> break
    od
}
