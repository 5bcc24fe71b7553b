/*
 * A configuration accepted by the platform reaches every connected node and never reverts. Models
 * config/config_store.cpp, cluster/config_gossip.cpp and cluster/object_watcher.cpp in packages/core.
 *
 * Two operators write one document; each write is conditional on the version that the operator has read. Each of
 * three nodes may watch the platform (a relay), push to another, pull from another, lose messages, and restart, with
 * the platform up or down. A restarted node serves only once it has read the platform, or a peer that is itself
 * complete. A holder runs queries for another node, by whose version callers then see that node. The platform may come back once from a copy that holds the first version: its revisions are given out
 * again, and what was lost is written again. Nodes order versions by the writers' own numbers.
 */
#define NODES 3
#define WRITES 2

byte platform = 1;            /* version of the document; each version has its own text */
byte newest = 1;              /* highest version ever accepted */
byte revision = 1;            /* the platform's revision, lower after a restore */
byte holds_revision[NODES] = 1; /* revision at which each node took its version */
byte restores = 0;
bool down = false;            /* whether the platform answers */
byte holds[NODES] = 1;        /* version held by each node */
bool serves[NODES] = true;    /* whether the node takes requests */
byte in_force[NODES] = 1;     /* highest version that the node has served since its last start */
byte restarts = 0;
byte outages = 0;
byte lost_races = 0;
byte won = 0;

proctype operator() {
    byte read;
    atomic { !down -> read = platform }
    atomic {
        !down ->
        if
#ifdef BROKEN_BLIND_WRITE
        :: true -> platform = read + 1; newest = platform; revision++; won++
#else
        :: platform == read -> newest++; platform = newest; revision++; won++
        :: platform != read -> lost_races++
#endif
        fi
    }
}

inline offer(node, version) {
    if
#ifdef BROKEN_NO_VERSION_GUARD
    :: true -> holds[node] = version
#elif defined(BROKEN_ORDER_BY_REVISION)
    :: revision > holds_revision[node] -> holds[node] = version; holds_revision[node] = revision
    :: revision <= holds_revision[node] -> skip
#else
    :: version > holds[node] -> holds[node] = version
    :: version <= holds[node] -> skip
#endif
    fi
}

/* A request is served with the version held, which never decreases between two restarts. */
inline serve(node) {
    if
    :: serves[node] ->
        assert(holds[node] >= in_force[node]);
        assert(holds[node] > 0);
        in_force[node] = holds[node]
    :: else -> skip
    fi
}

active proctype platform_outage() {
    if
    :: down = true; down = false
    :: atomic { down = true; restores++; platform = 1; revision = 1 }
       down = false;
       /* What the operators wrote is written again. */
       atomic { platform = newest; revision++ }
    :: skip
    fi
}

proctype node(byte me) {
    byte peer;
    byte version;
    do
    /* A push, possibly delayed: any version ever accepted may arrive at any time, or never. */
    :: atomic {
        if
        :: version = 1
        :: newest >= 2 -> version = 2
        :: newest >= 3 -> version = 3
        fi;
        offer(me, version);
        version = 0;
        serve(me)
       }
    /* A relay reads the platform, by a list or a watch. */
    :: atomic {
        !down && holds[me] < platform ->
        offer(me, platform);
        assert(holds[me] >= platform);
        serves[me] = true;
        serve(me)
       }
    /* Anti-entropy pull from a peer. */
    :: atomic {
        if
        :: peer = (me + 1) % NODES
        :: peer = (me + 2) % NODES
        fi;
        if
        :: holds[peer] > holds[me] ->
            offer(me, holds[peer]);
            serves[me] = serves[me] || serves[peer];
            serve(me)
        :: else -> skip
        fi;
        peer = 0
       }
    /* A holder runs a query for the node, by the holder's version; otherwise it declines. */
    :: atomic {
        peer = (me + 1) % NODES;
        if
#if defined(BROKEN_HOLDER_RUNS_NEWER)
        :: serves[me] && holds[peer] >= holds[me] ->
#elif defined(BROKEN_HOLDER_RUNS_OLDER)
        :: serves[me] && holds[peer] > 0 && holds[peer] <= holds[me] ->
#else
        :: serves[me] && holds[peer] == holds[me] ->
#endif
            assert(holds[peer] >= in_force[me]);
            in_force[me] = holds[peer]
        :: else -> skip
        fi;
        peer = 0
       }
    /* A restart loses all state. */
    :: atomic {
        restarts < 3 ->
        restarts++;
        holds[me] = 0;
        holds_revision[me] = 0;
#ifdef BROKEN_SERVE_AT_ONCE
        serves[me] = true;
        serve(me);
#else
        serves[me] = false;
#endif
        in_force[me] = 0
       }
    :: break
    od
}

init {
    atomic { run node(0); run node(1); run node(2); run operator(); run operator() }
    /* Both operators have ended: the document is that of the last winner, and each loser got a conflict. */
    (won + lost_races == WRITES);
    assert(newest == 1 + won);
}
