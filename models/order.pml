/*
 * An order runs at most once. Models packages/core/queries/order_run.cpp and the platform's claim objects.
 *
 * Three runs with one idempotency key, on any nodes. Each may be killed at any step or paused for any time, and
 * each call to the platform may be answered, refused, lost before or after it takes effect, or take effect at
 * any later time. The platform applies conditional writes, which name the version that they replace, one at a time.
 * RUNS is the number of submissions, MAX_TRIES the number of steps of each to get the claim before its deadline:
 * check: -DRUNS=3 -DMAX_TRIES=2
 * check: -DRUNS=2 -DMAX_TRIES=4
 */

#define ABSENT   0
#define CLAIMED  1
#define RELEASED 2
#define ANSWERED 3
#define UNKNOWN  4

#define OK       0
#define CONFLICT 1
#define LOST     2
#define REFUSED  3

byte state = ABSENT;      /* the claim object */
byte token = 0;           /* token of the claim's owner */
byte version = 0;         /* incremented by each write */
byte executions = 0;      /* how often a server ran the order */
bool executed[RUNS + 1];  /* which runs caused an execution */

/* One write per run may be in transit for any time. */
bool late[RUNS + 2];
byte late_state[RUNS + 2];
byte late_version[RUNS + 2];

#ifdef BROKEN_SHARED_TOKEN
#define TOKEN(me) 1
#else
#define TOKEN(me) (me)
#endif

#ifdef BROKEN_NO_VERSION_GUARD
#define GUARD(expected) true
#else
#define GUARD(expected) (version == (expected))
#endif

inline apply(me, new_state, expected, result) {
    if
    :: GUARD(expected) ->
        state = new_state;
        token = TOKEN(me);
        version++;
        result = OK
    :: else -> result = CONFLICT
    fi
}

inline write(me, new_state, expected, result) {
    atomic {
        if
        :: true -> apply(me, new_state, expected, result)
        :: true -> apply(me, new_state, expected, result); result = LOST
        :: result = LOST
        :: !late[me] ->
            late[me] = true;
            late_state[me] = new_state;
            late_version[me] = expected;
            result = LOST
        :: result = REFUSED
        fi
    }
}

/* A delayed write takes effect at some time, or never. */
active proctype network() {
    byte unused;
    do
    :: atomic { late[1] -> late[1] = false; apply(1, late_state[1], late_version[1], unused) }
    :: atomic { late[2] -> late[2] = false; apply(2, late_state[2], late_version[2], unused) }
#if RUNS > 2
    :: atomic { late[3] -> late[3] = false; apply(3, late_state[3], late_version[3], unused) }
#endif
    :: timeout -> break
    od
}

/* A server runs the order. */
inline execute(me) {
    atomic {
        executions++;
        executed[me] = true;
        assert(executions <= 1)           /* at most once */
    }
}

/* One submission of the order: order_run. */
proctype order_run(byte me) {
    byte result;
    byte seen_state;
    byte seen_token;
    byte seen_version;
    byte held = 0;      /* order_run::held_version_ */
    byte aimed = 0;     /* order_run::expected_version_ */
    byte tries = 0;

#ifdef BROKEN_SEND_BEFORE_CLAIM
    goto sending;
#endif

claiming:
    if
    :: tries >= MAX_TRIES -> goto refused         /* the deadline */
    :: else -> tries++
    fi;
    write(me, CLAIMED, aimed, result);
    if
    :: result == OK -> held = aimed + 1; goto sending
#ifdef BROKEN_NO_READBACK
    :: result == LOST -> held = aimed + 1; goto sending
#else
    :: result == LOST -> goto reading
#endif
    :: result == CONFLICT -> goto reading
    :: result == REFUSED -> goto claiming
    fi;

reading:
    if
    :: tries >= MAX_TRIES -> goto refused
    :: else -> tries++
    fi;
    atomic { seen_state = state; seen_token = token; seen_version = version }
    if
    :: seen_state == ABSENT -> aimed = 0; goto claiming
    :: seen_state != ABSENT && seen_token == TOKEN(me) -> held = seen_version; goto sending
    :: seen_state == RELEASED && seen_token != TOKEN(me) -> aimed = seen_version; goto claiming
#ifdef BROKEN_TAKE_OVER
    :: seen_state == CLAIMED && seen_token != TOKEN(me) -> aimed = seen_version; goto claiming
#else
    :: seen_state == CLAIMED && seen_token != TOKEN(me) -> goto reading
#endif
    :: seen_state == ANSWERED && seen_token != TOKEN(me) -> assert(executions == 1); goto ended
    :: seen_state == UNKNOWN && seen_token != TOKEN(me) -> goto ended
    fi;

sending:
    if
    :: goto refused                        /* no time left, or no server */
    :: execute(me); goto answered
    :: execute(me); goto unknown
    :: goto unknown                        /* lost before it reached the server */
    :: skip; goto refused                  /* every server refused before running it */
    :: goto ended                          /* killed */
    fi;

answered:
    assert(executions == 1);
    write(me, ANSWERED, held, result);
    goto ended;

unknown:
#ifdef BROKEN_SEND_AGAIN
    if
    :: tries < 9 -> tries = 9; goto sending
    :: else -> skip
    fi;
#endif
    write(me, UNKNOWN, held, result);
    goto ended;

refused:
    assert(!executed[me]);                 /* a refusal means that this run executed nothing */
    if
    :: held > 0 -> assert(executions == 0); write(me, RELEASED, held, result)
    :: else -> write(me, RELEASED, aimed, result)
    fi;
    /* order_run::refresh_held_version(): the claim of this run took effect late. */
    atomic {
        if
        :: result == CONFLICT && state == CLAIMED && token == TOKEN(me) -> held = version
        :: else -> goto ended
        fi
    }
    write(me, RELEASED, held, result);

ended:
    skip
}

init {
    atomic {
        run order_run(1);
        run order_run(2)
#if RUNS > 2
        ; run order_run(3)
#endif
    }
}
