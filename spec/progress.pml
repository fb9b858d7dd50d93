/*
 * Progress: a waiting turn is answered once failures have stopped.
 *
 * Three processes that can own one partition. Failures occur until the flag stable is set: crashes and restarts under
 * the same identity, false suspicions, outages, lost responses, delayed writes and unreachable backups. At least one
 * process is alive afterwards. Flags that state whether a process holds the current version, epoch or write id replace
 * these numbers. The state space is therefore finite although the number of takeovers is unbounded.
 * Property (LTL, weak fairness): whenever stable is true, the waiting turn is eventually answered.
 */

#define PROCESSES 3

mtype = { NONE, SEALING, RECOVERING, SERVING };

bool stable, answered;
byte head_owner;
bool head_fresh = true;             /* the incarnation that wrote the head is still alive */
bool alive[PROCESSES];
bool has_version[PROCESSES];        /* the version that the process expects is the current one */
bool has_write[PROCESSES];          /* the last write of the head is the write that the process has in flight */
bool has_epoch[PROCESSES];          /* no other process has sealed since the process took over */
bool unresolved[PROCESSES];
bool appending[PROCESSES];
mtype phase[PROCESSES];

bool late_used, late_fresh;
byte late_owner;

inline forget_late()
{
    late_used = false;
    late_fresh = false;
    late_owner = 0
}

/* A write of process p replaces the head. After a new version no delayed write can take effect. */
inline apply(p, fresh)
{
    forget_late();
    if
    :: head_owner != p || phase[p] == SEALING || !fresh -> has_epoch[0] = false; has_epoch[1] = false; has_epoch[2] = false
    :: else
    fi;
    has_version[0] = false;
    has_version[1] = false;
    has_version[2] = false;
    has_write[0] = false;
    has_write[1] = false;
    has_write[2] = false;
    head_owner = p;
    head_fresh = fresh;
    if
    :: fresh -> has_write[p] = true; has_epoch[p] = true
    :: else
    fi
}

inline stop(p)
{
    phase[p] = NONE;
    has_version[p] = false;
    has_write[p] = false;
    has_epoch[p] = false;
    unresolved[p] = false;
    appending[p] = false
}

inline succeed(p)
{
    unresolved[p] = false;
    has_write[p] = false;
    has_version[p] = true;
    if
    :: phase[p] == SEALING -> phase[p] = RECOVERING
    :: else -> appending[p] = false
    fi
}

/* A write certainly had no effect: a takeover is abandoned, an append is repeated later. */
inline give_up(p)
{
    unresolved[p] = false;
    if
    :: phase[p] == SEALING -> stop(p)
    :: else -> appending[p] = false
    fi
}

inline read_back(p)
{
    if
    :: has_write[p] -> succeed(p)
    :: !has_write[p] && !has_version[p] -> stop(p)
#ifdef BROKEN_UNCHANGED_IS_FAILED
    :: !has_write[p] && has_version[p] -> give_up(p)
#else
    :: !has_write[p] && has_version[p] -> unresolved[p] = true
#endif
    fi
}

/* One attempt of the write that process p has in flight: a takeover or an append. */
inline attempt_write(p)
{
    if
    :: has_version[p] -> apply(p, true); read_back(p)       /* with or without a response */
    :: !has_version[p] ->
#ifdef BROKEN_CONFLICT_IS_LOSS
        stop(p)
#else
        read_back(p)
#endif
    :: !stable && !unresolved[p] -> give_up(p)
    :: !stable && has_version[p] && !late_used ->
        late_used = true;
        late_fresh = true;
        late_owner = p;
#ifdef BROKEN_CONFLICT_IS_LOSS
        give_up(p)
#else
        read_back(p)
#endif
    fi
}

/* Before stability any process may suspect any owner. */
#ifdef BROKEN_RESTART_UNNOTICED
#define suspected(p) (!stable || !alive[head_owner])
#else
#ifdef BROKEN_DUEL
#define suspected(p) (!stable || !alive[head_owner] || !head_fresh || phase[head_owner] != SERVING)
#else
#define suspected(p) (!stable || !alive[head_owner] || !head_fresh)
#endif
#endif

inline deliver_late()
{
    p = late_owner;
    fresh = late_fresh;
    apply(p, fresh);
    p = 0;
    fresh = false
}

inline lose_memory(p)
{
    stop(p);
    if
    :: head_owner == p -> head_fresh = false
    :: else
    fi;
    if
    :: late_used && late_owner == p -> late_fresh = false
    :: else
    fi
}

active proctype environment()
{
    byte p;
    bool fresh;

    do
    :: atomic { !stable -> stable = true; break }
    :: atomic { !stable && late_used -> deliver_late() }
    :: atomic { !stable ->
            select(p : 0 .. PROCESSES - 1);
            if
            :: alive[p] && alive[0] + alive[1] + alive[2] > 1 -> alive[p] = false; lose_memory(p)
            :: alive[p] -> lose_memory(p)                   /* restarts at once under the same identity */
            :: !alive[p] -> alive[p] = true
            fi;
            p = 0
        }
    od;
    do
    :: atomic { late_used -> deliver_late() }
    :: atomic { late_used -> forget_late() }
    :: atomic { !late_used -> break }
    od
}

proctype process(byte p)
{
    do
    :: atomic { alive[p] && phase[p] == NONE && suspected(p) ->
            has_version[p] = true;
            has_write[p] = false;
            phase[p] = SEALING
        }
    :: atomic { alive[p] && phase[p] == SEALING -> attempt_write(p) }
    /* Fencing, merging and replication. They fail if a later owner has fenced the backups. */
    :: atomic { alive[p] && phase[p] == RECOVERING && !has_epoch[p] -> stop(p) }
    :: atomic { alive[p] && phase[p] == RECOVERING && has_epoch[p] -> phase[p] = SERVING }
    :: atomic { alive[p] && phase[p] == SERVING && !appending[p] && !stable ->
            appending[p] = true;
            has_write[p] = false
        }
    :: atomic { alive[p] && phase[p] == SERVING && appending[p] -> attempt_write(p) }
    :: atomic { alive[p] && phase[p] == SERVING && !has_epoch[p] -> stop(p) }
    :: atomic { alive[p] && phase[p] == SERVING && has_epoch[p] && stable && head_owner == p -> answered = true }
    od
}

init
{
    atomic {
        alive[0] = true;
        alive[1] = true;
        alive[2] = true;
        phase[0] = SERVING;
        phase[1] = NONE;
        phase[2] = NONE;
        has_version[0] = true;
        has_epoch[0] = true;
        run process(0);
        run process(1);
        run process(2)
    }
}

ltl progress { [] (stable -> <> answered) }
