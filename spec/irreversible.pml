/*
 * Irreversible calls: an intent in the head record precedes the call, the successor never repeats it.
 *
 * One idempotency key. Requests with this key go to any process that believes it owns the partition. A process that
 * takes no further step stands for a crash, one that takes its next step late stands for a pause.
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

mtype = { OK, CONFLICT, UNAVAILABLE, UNKNOWN, LOST };

/* Head record in the key-value service; sets of calls are bit masks, the call of request r is bit r. */
byte head_version = 1, head_epoch = 1, head_write;
byte head_intents, head_abandons, head_outcomes;
byte writes_in_use;                 /* write ids held by processes */

/* A write whose sender stopped waiting while the service still held it; it can take effect later. */
bool late_used;
byte late_expected, late_epoch, late_write, late_intents, late_abandons, late_outcomes;

/* The backups as one fenced register; turns_history.pml covers how several backups provide it. */
byte replica_epoch = 1, replica_abandons, replica_outcomes;
bool replica_lost;

byte next_request, seals;
byte pending[3];                    /* calls on their way to the target */
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

/* A new version ends every late write, because versions are never used twice. */
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
 * A write id that occurs nowhere else, as good as one that was never used. Taking the smallest one keeps the state space
 * finite.
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
    writes_in_use = writes_in_use | bit(write)
}

/* One compare-and-swap by a process: it can take effect with or without a reply, be refused, or linger. */
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

/*
 * Writes the local view and resolves the write. Result OK, UNAVAILABLE (certainly no effect) or LOST (another process
 * replaced the head). While the write is unresolved, the request may be answered "not run" (flag refused).
 */
inline append(may_refuse)
{
    atomic { new_write(); unresolved = false };
    do
    :: atomic {
            compare_and_swap();
            if
            :: may_refuse && !refused && result != OK && (result != UNAVAILABLE || unresolved) ->
                answer_not_run(request);
                refused = true
            :: refused && result != OK && next_request < REQUESTS -> answer_not_run(next_request); next_request++
            :: true
            fi;
            if
            :: result == OK -> break
            :: result == UNAVAILABLE && !unresolved -> break
#ifdef BROKEN_UNKNOWN_AS_CONFIRMED
            :: result == UNKNOWN -> result = OK; break
#endif
            :: else
            fi;
            unresolved = true;
            /* Read-back. An unchanged version does not resolve the write: the same write is repeated. */
            if
            :: head_write == write -> version = head_version; result = OK; break
            :: head_write != write && head_version != version -> result = LOST; break
            :: else -> result = UNKNOWN
            fi
        }
    od;
    atomic { writes_in_use = writes_in_use & ~bit(write); write = 0; unresolved = false }
}

inline replicate_outcome()
{
    atomic {
        if
        :: epoch >= replica_epoch -> replica_outcomes = replica_outcomes | bit(request); outcomes = outcomes | bit(request)
        :: else -> owning = false
        fi
    }
}

inline send_call()
{
    atomic { pending[request]++ }
}

inline take_over()
{
    atomic {
        version = head_version;
        epoch = head_epoch + 1;
        intents = head_intents;
        abandons = head_abandons;
        outcomes = head_outcomes;
#ifdef BROKEN_SEAL_DROPS_TAIL
        intents = 0;
#endif
        refused = false
    };
    append(false);
    atomic {
        if
        :: result == OK && epoch >= replica_epoch ->
            replica_epoch = epoch;
            outcomes = outcomes | replica_outcomes;
            abandons = abandons | replica_abandons;
            owning = true;
#ifdef BROKEN_SUCCESSOR_ABANDONS
            abandons = intents & ~outcomes;
#endif
        :: else
        fi
    }
}

inline run_call()
{
    refused = false;
    intents = intents | bit(request);
#ifdef BROKEN_SEND_BEFORE_INTENT
    send_call();
#endif
    append(true);
    if
    :: result == UNAVAILABLE ->
        atomic {
            intents = intents & ~bit(request);
#ifndef BROKEN_SEND_BEFORE_INTENT
            answer_not_run(request)
#endif
        }
    :: result == LOST ->
        atomic {
            owning = false;
#ifndef BROKEN_SEND_BEFORE_INTENT
            if
            :: !refused -> answer_not_run(request)
            :: else
            fi
#endif
        }
#ifndef BROKEN_LATE_SEND
    :: result == OK && refused ->
        atomic {
            abandons = abandons | bit(request);
            if
            :: epoch >= replica_epoch -> replica_abandons = replica_abandons | bit(request)
            :: else -> owning = false
            fi
        }
#endif
    :: else ->
#ifndef BROKEN_SEND_BEFORE_INTENT
        send_call();
#endif
        if
        :: has(executed, request) -> replicate_outcome()
        :: true                                 /* the reply is lost or late: "outcome unknown" */
        fi
    fi
}

inline serve()
{
    atomic {
        live = intents & ~abandons;
#ifdef BROKEN_ABANDON_BY_KEY
        live = (abandons -> 0 : intents);
#endif
#ifdef BROKEN_RETRY_UNKNOWN
        live = intents & ~abandons & outcomes;
#endif
    };
    if
    :: live == 0 -> run_call()
    :: live != 0 && (live & outcomes) != 0      /* the stored outcome is the answer */
    :: live != 0 && (live & outcomes) == 0 ->   /* "outcome unknown" */
#ifdef REACH_FORMER_OWNER_SENDS
        successor_unknown = successor_unknown || epoch > 1
#endif
    fi
}

/* Clears the local state that no later step reads. */
inline forget()
{
    atomic {
        request = 0;
        live = 0;
        refused = false;
        result = 0;
        if
        :: !owning -> epoch = 0; version = 0; intents = 0; abandons = 0; outcomes = 0
        :: else
        fi
    }
}

proctype process(bool first)
{
    bool owning = first, refused, unresolved;
    byte epoch = 1, version = 1, write;
    byte intents, abandons, outcomes, live, request;
    mtype result;

end_idle:
    do
    :: atomic { !owning && seals < SEALS && (!first || OWNERS < 3) -> seals++ }; take_over(); forget()
    :: atomic { owning && next_request < REQUESTS -> request = next_request; next_request++ };
        serve();
        forget()
#ifndef BROKEN_BLIND_WRITE              /* two owners would overwrite each other without end */
    :: owning && (abandons != head_abandons || outcomes != head_outcomes) ->
        refused = false;
        append(false);
        atomic { owning = owning && result != LOST };
        forget()
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

/* The target: executes calls on their way at any time, ignores fencing tokens, does not remember call ids. */
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

/* The key-value service completes a late write; the backups lose outcomes and abandons once. */
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
