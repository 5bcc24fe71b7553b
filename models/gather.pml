/*
 * An answer comes from one snapshot, reports its true coverage and reaches the right caller. Models
 * packages/core/queries/gather.cpp and the check of replies in search_run::merge_reply().
 *
 * Two queries over two shards. Servers move from index version 1 to 2 at any time, one by one, and a query may
 * be planned again once. The network model is the worst case: any reply that any server could have sent may reach
 * either query, at any time, in any order, any number of times, or never.
 */
#define SHARDS  2
#define QUERIES 2

byte serves[SHARDS] = 1;     /* index version of each shard's server */
byte pinned[QUERIES] = 1;    /* version pinned by the query's current plan */
byte plan[QUERIES] = 1;      /* number of plans so far; plan N pins version N */
byte merged[4];              /* version merged, at index query * SHARDS + shard; 0 for none */
bool covered[4];             /* whether the answer will report the shard as included */

/* Dropping replies to an earlier plan only saves work: the version check alone ensures one snapshot. */
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

/* The index version increases while queries run, and never decreases. */
active proctype repartition() {
    serves[0] = 2;
    serves[1] = 2
}

/* Any reply that could be in transit. */
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
        :: version = of_plan             /* the requested version */
        :: version = serves[shard]       /* a server that answers with the version it serves */
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
            :: plan[query] == 1 ->                      /* version retired: plan again, once */
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
    :: break                                            /* deadline or tail cut */
    od;
    atomic {
        /* One snapshot: every row merged is of the version that the answer names. */
        assert(merged[query * SHARDS] == 0 || merged[query * SHARDS] == pinned[query]);
        assert(merged[query * SHARDS + 1] == 0 || merged[query * SHARDS + 1] == pinned[query]);
        /* True coverage: a shard is reported as included exactly if its rows are merged. */
        assert(covered[query * SHARDS] == (merged[query * SHARDS] != 0));
        assert(covered[query * SHARDS + 1] == (merged[query * SHARDS + 1] != 0))
    }
}

init {
    atomic { run gather(0); run gather(1) }
}
