/*
 * Irreversible calls: an intent in the head record precedes the call, and a successor never repeats the call.
 *
 * One idempotency key. Requests with this key go to any process that believes it owns the partition. A process that
 * takes no further step models a crash. A process that takes its next step late models a pause.
 * Properties: at most one execution for the key; a request answered "not run" is never executed.
 */

#ifndef OWNERS
#define OWNERS 3
#endif
#ifndef REQUESTS
#define REQUESTS 3                  /* at most 3 */
#endif
#ifndef LATE_WRITES
#define LATE_WRITES true
#endif
#ifndef SEALS
#define SEALS 2
#endif

mtype = { IDLE, SEALING, CONFIRMING, CONFIRMED, SENT, RECORDING };
mtype = { OK, CONFLICT, UNAVAILABLE, UNKNOWN, LOST };

/* Head record in the key-value service. Sets of calls are bit masks; bit r is the call of request r. */
byte head_version = 1, head_epoch = 1, head_write;
byte head_intents, head_abandons, head_outcomes;
byte writes_in_use;                 /* write ids held by processes */

/* A delayed write: its sender has stopped waiting, but the write can still take effect. */
bool late_used;
byte late_expected, late_epoch, late_write, late_intents, late_abandons, late_outcomes;

/* The backups as one fenced register. turns_history.pml models how several backups provide it. */
byte replica_epoch = 1, replica_abandons, replica_outcomes;
bool replica_lost;

byte next_request, seals;
byte pending[3];                    /* calls in transit to the target */
byte executed, executions;          /* set of executed calls, number of executions */
byte not_run;                       /* set of requests answered "not run" */
#ifdef REACH_FORMER_OWNER_SENDS
bool successor_unknown;             /* a successor has answered "outcome unknown" */
#endif

#define bit(r) (1 << (r))
#define has(set, r) (((set) >> (r)) & 1)

inline answer_not_run(r)
{
    not_run = not_run | bit(r);
    assert(!has(executed, r))
}

#ifdef BROKEN_BLIND_WRITE
#define version_matches(expected) true
#else
#define version_matches(expected) (head_version == (expected))
#endif

inline forget_late()
{
    late_used = false;
    late_expected = 0;
    late_epoch = 0;
    late_write = 0;
    late_intents = 0;
    late_abandons = 0;
    late_outcomes = 0
}

/* After a new version no delayed write can take effect, because versions are never reused. */
inline apply_head(e, w, i, a, o)
{
    forget_late();
    head_version++;
    head_epoch = e;
    head_write = w;
    head_intents = i;
    head_abandons = a;
    head_outcomes = o
}

/*
 * A write id that occurs nowhere in the state is equivalent to a new one. Reusing the smallest such id keeps the state
 * space finite.
 */
#define is_free(w) (head_write != (w) && !(late_used && late_write == (w)) && !has(writes_in_use, w))

inline new_write()
{
    if
    :: is_free(1) -> write = 1
    :: !is_free(1) && is_free(2) -> write = 2
    :: !is_free(1) && !is_free(2) && is_free(3) -> write = 3
    :: !is_free(1) && !is_free(2) && !is_free(3) && is_free(4) -> write = 4
    :: else -> write = 5; assert(is_free(5))
    fi;
    writes_in_use = writes_in_use | bit(write);
    unresolved = false
}

/* One compare-and-swap by a process: it takes effect with or without a response, is refused, or is delayed. */
inline compare_and_swap()
{
    if
    :: version_matches(version) -> apply_head(epoch, write, intents, abandons, outcomes); result = OK
    :: version_matches(version) -> apply_head(epoch, write, intents, abandons, outcomes); result = UNKNOWN
    :: !version_matches(version) -> result = CONFLICT
    :: result = UNAVAILABLE
    :: !late_used && LATE_WRITES ->
        late_used = true;
        late_expected = version;
        late_epoch = epoch;
        late_write = write;
        late_intents = intents;
        late_abandons = abandons;
        late_outcomes = outcomes;
        result = UNKNOWN
    fi;
    if
    :: result == OK -> version = head_version
    :: else
    fi
}

inline read_back()
{
    unresolved = true;
    if
    :: head_write == write -> version = head_version; result = OK
    :: head_write != write && head_version != version -> result = LOST
    :: else -> result = UNKNOWN
    fi
}

/*
 * One attempt of the write in flight. The result is OK, UNAVAILABLE (certainly no effect), LOST (another process
 * replaced the head) or UNKNOWN (the read-back shows the expected version unchanged; the identical write is repeated).
 */
inline attempt_write()
{
    compare_and_swap();
    if
    :: result == OK
    :: result == UNAVAILABLE && !unresolved
#ifdef BROKEN_UNKNOWN_AS_CONFIRMED
    :: result == UNKNOWN -> result = OK
#else
    :: result == UNKNOWN -> read_back()
#endif
    :: result == CONFLICT -> read_back()
    :: result == UNAVAILABLE && unresolved -> result = UNKNOWN
    fi
}

/* Ends the request or the write in progress. */
inline idle()
{
    writes_in_use = writes_in_use & ~bit(write);
    write = 0;
    unresolved = false;
    request = 0;
    refused = false;
    live = 0;
    phase = IDLE
}

inline drop_partition()
{
    idle();
    owning = false;
    epoch = 0;
    version = 0;
    intents = 0;
    abandons = 0;
    outcomes = 0
}

inline start_seal()
{
    seals++;
    version = head_version;
    epoch = head_epoch + 1;
    intents = head_intents;
    abandons = head_abandons;
    outcomes = head_outcomes;
#ifdef BROKEN_SEAL_DROPS_TAIL
    intents = 0;
#endif
    new_write();
    phase = SEALING
}

/* The backups are fenced after the seal. A later successor may already have fenced them. */
inline write_seal()
{
    attempt_write();
    if
    :: result == OK && epoch >= replica_epoch ->
        replica_epoch = epoch;
        outcomes = outcomes | replica_outcomes;
        abandons = abandons | replica_abandons;
#ifdef BROKEN_SUCCESSOR_ABANDONS
        abandons = intents & ~outcomes;
#endif
        owning = true;
        idle()
    :: result == UNKNOWN
    :: else -> drop_partition()
    fi;
    result = 0
}

inline serve()
{
    request = next_request;
    next_request++;
    live = intents & ~abandons;
#ifdef BROKEN_ABANDON_BY_KEY
    live = (abandons -> 0 : intents);
#endif
#ifdef BROKEN_RETRY_UNKNOWN
    live = intents & ~abandons & outcomes;
#endif
    if
    :: live == 0 ->
        intents = intents | bit(request);
        new_write();
        phase = CONFIRMING;
#ifdef BROKEN_SEND_BEFORE_INTENT
        pending[request]++
#endif
    :: live != 0 && (live & outcomes) != 0 -> idle()        /* responds with the stored outcome */
    :: live != 0 && (live & outcomes) == 0 ->               /* responds "outcome unknown" */
#ifdef REACH_FORMER_OWNER_SENDS
        successor_unknown = successor_unknown || epoch > 1;
#endif
        idle()
    fi;
    live = 0
}

inline refuse()
{
    if
#ifndef BROKEN_SEND_BEFORE_INTENT
    :: !refused -> answer_not_run(request)
#endif
    :: else
    fi
}

inline write_intent()
{
    attempt_write();
    if
#ifndef BROKEN_LATE_SEND
    :: result == OK && refused ->
        abandons = abandons | bit(request);
        if
        :: epoch >= replica_epoch -> replica_abandons = replica_abandons | bit(request); idle()
        :: else -> drop_partition()
        fi
    :: result == OK && !refused -> phase = CONFIRMED
#else
    :: result == OK -> phase = CONFIRMED
#endif
    :: result == UNAVAILABLE ->
        refuse();
        intents = intents & ~bit(request);
        idle()
    :: result == LOST ->
        refuse();
        drop_partition()
    :: result == UNKNOWN
    fi;
    result = 0
}

inline send_call()
{
#ifndef BROKEN_SEND_BEFORE_INTENT
    pending[request]++;
#endif
    phase = SENT
}

inline receive_outcome()
{
    if
    :: epoch >= replica_epoch ->
        replica_outcomes = replica_outcomes | bit(request);
        outcomes = outcomes | bit(request);
        idle()
    :: else -> drop_partition()
    fi
}

/* Outcomes and abandons are written to the head asynchronously. */
inline write_asynchronously()
{
    attempt_write();
    if
    :: result == OK || result == UNAVAILABLE -> idle()
    :: result == LOST -> drop_partition()
    :: result == UNKNOWN
    fi;
    result = 0
}

proctype process(bool first)
{
    bool owning = first, refused, unresolved;
    byte epoch = first, version = first, write;
    byte intents, abandons, outcomes, live, request;
    mtype phase = IDLE, result;

end_process:
    do
    :: atomic { phase == IDLE && !owning && seals < SEALS && (!first || OWNERS < 3) -> start_seal() }
    :: atomic { phase == SEALING -> write_seal() }
    :: atomic { phase == IDLE && owning && next_request < REQUESTS -> serve() }
    :: atomic { phase == CONFIRMING -> write_intent() }
    /* Confirmation timeout: this request and its repetitions are refused until the write is resolved. */
    :: atomic { phase == CONFIRMING && unresolved && !refused -> refuse(); refused = true }
    :: atomic { phase == CONFIRMING && refused && next_request < REQUESTS -> answer_not_run(next_request); next_request++ }
    :: atomic { phase == CONFIRMED -> send_call() }
    :: atomic { phase == SENT && has(executed, request) -> receive_outcome() }
    :: atomic { phase == SENT -> idle() }                   /* the response is lost or late: "outcome unknown" */
#ifndef BROKEN_BLIND_WRITE              /* two owners would overwrite each other endlessly */
    :: atomic { phase == IDLE && owning && (abandons != head_abandons || outcomes != head_outcomes) ->
            new_write();
            phase = RECORDING
        }
    :: atomic { phase == RECORDING -> write_asynchronously() }
#endif
    od
}

inline select_pending(r)
{
    if
    :: pending[0] > 0 -> r = 0
    :: pending[1] > 0 -> r = 1
    :: pending[2] > 0 -> r = 2
    fi
}

/* The target executes calls in transit at any time. It ignores fencing tokens and does not deduplicate call ids. */
proctype target()
{
    byte r;
end_target:
    do
    :: atomic {
            select_pending(r);
            pending[r]--;
            executed = executed | bit(r);
            executions++;
            assert(executions <= 1);
            assert(!has(not_run, r));
#ifdef REACH_FORMER_OWNER_SENDS
            assert(!successor_unknown);
#endif
#ifdef REACH_REPEAT_RUNS
            assert(not_run == 0 || head_abandons == 0);
#endif
        }
    od
}

/* The key-value service completes a delayed write. The backups lose outcomes and abandons once. */
proctype environment()
{
    byte epoch, write, intents, abandons, outcomes;
end_environment:
    do
    :: atomic {
            late_used && version_matches(late_expected) ->
            epoch = late_epoch;
            write = late_write;
            intents = late_intents;
            abandons = late_abandons;
            outcomes = late_outcomes;
            forget_late();
            apply_head(epoch, write, intents, abandons, outcomes);
            epoch = 0;
            write = 0;
            intents = 0;
            abandons = 0;
            outcomes = 0
        }
#ifndef KEEP_REPLICAS
    :: atomic { !replica_lost -> replica_lost = true; replica_abandons = 0; replica_outcomes = 0 }
#endif
    od
}

init
{
    atomic {
        byte i;
        run process(true);
        for (i : 2 .. OWNERS) { run process(false) }
        run target();
        run environment()
    }
}
