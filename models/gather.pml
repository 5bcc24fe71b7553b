/*
 * One snapshot, true coverage, the right caller. Stands for packages/core/queries/gather.cpp and its check of replies,
 * gather::mismatch().
 *
 * Two queries over two shards. Servers move from index version 1 to 2 at any time, one by one, and a query may
 * plan anew once. The network is taken at its worst: any reply that any server could ever have given may reach
 * either query, at any time, in any order, any number of times, or never.
 */
#define SHARDS  2
#define QUERIES 2

byte serves[SHARDS] = 1;     /* index version of each shard's server */
byte pinned[QUERIES] = 1;    /* version pinned by the query's present plan */
byte plan[QUERIES] = 1;      /* counts plans; plan N pins version N */
byte merged[4];              /* version merged: query * SHARDS + shard; 0 for none */
bool covered[4];             /* what the answer will say is included */

/* Dropping replies of an earlier plan spares work; the check of versions alone keeps the snapshot (checked). */
#define PLAN_IS_PRESENT (of_plan == plan[query])

#ifdef BROKEN_ANY_CALLER
#define IS_OURS true
#else
#define IS_OURS (owner == query)
#endif

#ifdef BROKEN_NO_VERSION_CHECK
#define IS_PINNED true
#else
#define IS_PINNED (version == pinned[query])
#endif

/* The index moves on while queries run: never back. */
active proctype repartition() {
    serves[0] = 2;
    serves[1] = 2
}

/* Any reply that could be on its way. */
inline any_reply() {
    atomic {
        if
        :: owner = 0
        :: owner = 1
        fi;
        if
        :: shard = 0
        :: shard = 1
        fi;
        of_plan = 1;
        if
        :: plan[owner] == 2 -> of_plan = 2
        :: true -> skip
        fi;
        if
        :: version = of_plan             /* the version asked for */
        :: version = serves[shard]       /* a server that answers from what it has */
        :: version = 0                   /* "version_absent" */
        fi
    }
}

proctype gather(byte query) {
    byte owner;
    byte of_plan;
    byte shard;
    byte version;
    do
    :: any_reply();
        if
        :: !(IS_OURS && PLAN_IS_PRESENT) -> skip        /* dropped */
        :: IS_OURS && PLAN_IS_PRESENT && version == 0 ->
            if
            :: plan[query] == 1 ->                      /* retired: plan anew, once */
                atomic {
                    plan[query] = 2;
                    pinned[query] = 2;
#ifndef BROKEN_KEEP_ROWS
                    merged[query * SHARDS] = 0;
                    merged[query * SHARDS + 1] = 0;
#endif
                    covered[query * SHARDS] = false;
                    covered[query * SHARDS + 1] = false
                }
            :: plan[query] == 2 -> skip                 /* missing */
            fi
        :: IS_OURS && PLAN_IS_PRESENT && version != 0 && IS_PINNED ->
            atomic {
                assert(owner == query);                 /* the right caller */
                merged[query * SHARDS + shard] = version;
                covered[query * SHARDS + shard] = true
            }
        :: IS_OURS && PLAN_IS_PRESENT && version != 0 && !IS_PINNED -> skip /* rejected */
        fi
    :: covered[query * SHARDS] && covered[query * SHARDS + 1] -> break
    :: break                                            /* the deadline, or the tail cut */
    od;
    atomic {
        /* One snapshot: every row merged is of the version that the answer names. */
        assert(merged[query * SHARDS] == 0 || merged[query * SHARDS] == pinned[query]);
        assert(merged[query * SHARDS + 1] == 0 || merged[query * SHARDS + 1] == pinned[query]);
        /* True coverage: included just where rows are. */
        assert(covered[query * SHARDS] == (merged[query * SHARDS] != 0));
        assert(covered[query * SHARDS + 1] == (merged[query * SHARDS + 1] != 0))
    }
}

init {
    atomic { run gather(0); run gather(1) }
}
