/*
 * Budget: a mark ("spent at most") is acknowledged by the backups ahead of use.
 *
 * One program with a limit, two backups, owners that reserve the largest possible cost of a call and settle it
 * afterwards. A process that takes no further step stands for a crash, one that takes its next step late stands for a pause.
 * ALL_ACKS as in turns_history.pml.
 * Property: the program never spends more than its limit.
 */

#ifndef OWNERS
#define OWNERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 0                  /* backups that restart with empty memory */
#endif

#define LIMIT 4
#define CHUNK 2                     /* step of the mark */
#define COST 2                      /* largest cost of one call */
#define bit(i) (1 << (i))
#define has(set, i) (((set) >> (i)) & 1)

mtype = { NONE, FENCING, PUSHING, SERVING };

/* Epoch and backups in the head record; irreversible.pml and turns_history.pml cover its compare-and-swap. */
byte epochs = 1, named = 3;
byte incarnations, gone, restarts;
byte backup_fence[2], backup_mark[2];
byte spent;
#ifdef BROKEN_RESUME_FROM_SETTLED
byte recorded;                      /* settled spending, written lazily */
#endif

bool message_used;
byte message_to, message_epoch, message_mark;

#ifdef BROKEN_NO_INCARNATION
#define same_incarnation(b, i) true
#else
#define same_incarnation(b, i) (has(incarnations, b) == (i))
#endif
#ifdef BROKEN_NO_EPOCH_CHECK
#define accepts(b, i, e) (!has(gone, b) && same_incarnation(b, i))
#else
#define accepts(b, i, e) (!has(gone, b) && same_incarnation(b, i) && (e) >= backup_fence[b])
#endif

/* A mark only rises, so the order of messages does not matter. */
inline store(b, e, m)
{
    backup_fence[b] = (e > backup_fence[b] -> e : backup_fence[b]);
    backup_mark[b] = (m > backup_mark[b] -> m : backup_mark[b])
}

inline replicate(b)
{
    if
    :: accepts(b, 0, epoch) -> store(b, epoch, proposed); acks = acks | bit(b)
    :: accepts(b, 0, epoch) -> store(b, epoch, proposed)
    :: !message_used ->
        message_used = true;
        message_to = b;
        message_epoch = epoch;
        message_mark = proposed
    :: true
    fi
}

inline fence(b)
{
    if
    :: epoch < backup_fence[b] -> phase = NONE
    :: else ->
        backup_fence[b] = epoch;
        fenced = fenced | bit(b);
        mark = (backup_mark[b] > mark -> backup_mark[b] : mark)
    fi
}

#ifdef ALL_ACKS
#define stored (acks == list)
#define all_fenced (fenced != 0)    /* backups that were not fenced leave the list, by an append to the head */
#else
#define stored (acks != 0)
#ifdef BROKEN_SKIP_GONE
#define all_fenced ((fenced | gone) == 3)
#else
#define all_fenced (fenced == 3)
#endif
#endif

/* A successor starts from the mark, as if all of it had been spent. */
inline start_push()
{
    phase = PUSHING;
    proposed = mark;
    used = mark;
#ifdef BROKEN_RESUME_FROM_SETTLED
    used = recorded;
#endif
#ifdef ALL_ACKS
    if
    :: epoch == epochs -> named = fenced; list = fenced
    :: else -> phase = NONE
    fi;
#endif
    fenced = 0
}

/* The call costs at most what was reserved; the rest is settled afterwards. */
inline call()
{
    used = used + COST;
    reserved = COST
}

inline settle(cost)
{
    spent = spent + cost;
    assert(spent <= LIMIT);
    used = used - (COST - cost);
    reserved = 0;
#ifdef BROKEN_RESUME_FROM_SETTLED
    recorded = used
#endif
}

#ifdef BROKEN_USE_BEFORE_MARK
#define available (proposed - used)
#else
#define available (mark - used)
#endif

#define replicating (phase == PUSHING || (phase == SERVING && proposed > mark))

proctype process(bool first)
{
    byte epoch, mark, proposed, used, reserved, acks, fenced, list = 3;
    mtype phase = NONE;

    if
    :: first -> atomic { phase = SERVING; epoch = 1 }
    :: else
    fi;
end_process:
    do
    :: atomic { phase == NONE && epoch == 0 -> epochs++; epoch = epochs; list = named; phase = FENCING }
    :: atomic { phase == FENCING && has(list, 0) && !has(fenced, 0) && accepts(0, 0, 255) -> fence(0) }
    :: atomic { phase == FENCING && has(list, 1) && !has(fenced, 1) && accepts(1, 0, 255) -> fence(1) }
    :: atomic { phase == FENCING && all_fenced -> start_push() }
    :: atomic { replicating && has(list, 0) && !has(acks, 0) -> replicate(0) }
    :: atomic { replicating && has(list, 1) && !has(acks, 1) -> replicate(1) }
    :: atomic { phase == PUSHING && stored -> phase = SERVING; acks = 0 }
    :: atomic { phase == SERVING && proposed == mark && mark + CHUNK <= LIMIT -> proposed = mark + CHUNK; acks = 0 }
    :: atomic { phase == SERVING && proposed > mark && stored -> mark = proposed; acks = 0 }
    :: atomic { phase == SERVING && reserved == 0 && available >= COST -> call() }
    :: atomic { reserved != 0 -> settle(1) }
    :: atomic { reserved != 0 -> settle(COST) }
    od
}

proctype environment()
{
end_environment:
    do
    :: atomic { message_used ->
            if
            :: accepts(message_to, 0, message_epoch) -> store(message_to, message_epoch, message_mark)
            :: else
            fi;
            message_used = false;
            message_to = 0;
            message_epoch = 0;
            message_mark = 0
        }
#if RESTARTS > 0
    :: atomic { restarts < RESTARTS ->
            restarts++;
            if
            :: incarnations = incarnations | 1; backup_fence[0] = 0; backup_mark[0] = 0
            :: incarnations = incarnations | 2; backup_fence[1] = 0; backup_mark[1] = 0
            fi
        }
#endif
#ifdef BROKEN_SKIP_GONE
    :: atomic { gone == 0 -> gone = 1 }
    :: atomic { gone == 0 -> gone = 2 }
#endif
    od
}

init
{
    atomic {
        byte i;
        run process(true);
        for (i : 2 .. OWNERS) { run process(false) }
        run environment()
    }
}
