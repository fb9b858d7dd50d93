/*
 * Budget: the backups acknowledge a high-water mark ("spent at most") before an owner spends up to it.
 *
 * One program with a limit, two backups, and owners that reserve the maximum cost of a call and settle the actual cost
 * afterwards. A process that takes no further step models a crash. A process that takes its next step late models a
 * pause. ALL_ACKS has the same meaning as in turns_history.pml.
 * Property: the program never spends more than its limit.
 */

#ifndef OWNERS
#define OWNERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 0                  /* backups that restart with empty memory */
#endif

#define LIMIT 4
#define CHUNK 2                     /* step of the high-water mark */
#define COST 2                      /* maximum cost of one call */
#define bit(i) (1 << (i))
#define has(set, i) (((set) >> (i)) & 1)

mtype = { NONE, FENCING, PUSHING, SERVING };

/* Epoch and backups in the head record. irreversible.pml and turns_history.pml model its compare-and-swap. */
byte epochs = 1, backup_list = 3;
byte incarnations, gone, restarts;
byte backup_fence[2], backup_high_water_mark[2];
byte spent;
#ifdef BROKEN_RESUME_FROM_SETTLED
byte settled;                       /* settled spending, written asynchronously */
#endif

bool message_used;
byte message_to, message_epoch, message_high_water_mark;

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

/* The high-water mark never decreases, so the order of messages does not matter. */
inline store(b, e, m)
{
    backup_fence[b] = (e > backup_fence[b] -> e : backup_fence[b]);
    backup_high_water_mark[b] = (m > backup_high_water_mark[b] -> m : backup_high_water_mark[b])
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
        message_high_water_mark = proposed
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
        high_water_mark = (backup_high_water_mark[b] > high_water_mark -> backup_high_water_mark[b] : high_water_mark)
    fi
}

#ifdef ALL_ACKS
#define stored (acks == list)
#define all_fenced (fenced != 0)    /* an append to the head removes unfenced backups from the list */
#else
#define stored (acks != 0)
#ifdef BROKEN_SKIP_GONE
#define all_fenced ((fenced | gone) == 3)
#else
#define all_fenced (fenced == 3)
#endif
#endif

/* A successor counts everything up to the high-water mark as spent. */
inline start_push()
{
    phase = PUSHING;
    proposed = high_water_mark;
    used = high_water_mark;
#ifdef BROKEN_RESUME_FROM_SETTLED
    used = settled;
#endif
#ifdef ALL_ACKS
    if
    :: epoch == epochs -> backup_list = fenced; list = fenced
    :: else -> phase = NONE
    fi;
#endif
    fenced = 0
}

/* Reserves the maximum cost of a call. The difference to the actual cost is returned when the call is settled. */
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
    settled = used
#endif
}

#ifdef BROKEN_USE_BEFORE_MARK
#define available (proposed - used)
#else
#define available (high_water_mark - used)
#endif

#define replicating (phase == PUSHING || (phase == SERVING && proposed > high_water_mark))

proctype process(bool first)
{
    byte epoch, high_water_mark, proposed, used, reserved, acks, fenced, list = 3;
    mtype phase = NONE;

    if
    :: first -> atomic { phase = SERVING; epoch = 1 }
    :: else
    fi;
end_process:
    do
    :: atomic { phase == NONE && epoch == 0 -> epochs++; epoch = epochs; list = backup_list; phase = FENCING }
    :: atomic { phase == FENCING && has(list, 0) && !has(fenced, 0) && accepts(0, 0, 255) -> fence(0) }
    :: atomic { phase == FENCING && has(list, 1) && !has(fenced, 1) && accepts(1, 0, 255) -> fence(1) }
    :: atomic { phase == FENCING && all_fenced -> start_push() }
    :: atomic { replicating && has(list, 0) && !has(acks, 0) -> replicate(0) }
    :: atomic { replicating && has(list, 1) && !has(acks, 1) -> replicate(1) }
    :: atomic { phase == PUSHING && stored -> phase = SERVING; acks = 0 }
    :: atomic { phase == SERVING && proposed == high_water_mark && high_water_mark + CHUNK <= LIMIT ->
            proposed = high_water_mark + CHUNK;
            acks = 0
        }
    :: atomic { phase == SERVING && proposed > high_water_mark && stored -> high_water_mark = proposed; acks = 0 }
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
            :: accepts(message_to, 0, message_epoch) -> store(message_to, message_epoch, message_high_water_mark)
            :: else
            fi;
            message_used = false;
            message_to = 0;
            message_epoch = 0;
            message_high_water_mark = 0
        }
#if RESTARTS > 0
    :: atomic { restarts < RESTARTS ->
            restarts++;
            if
            :: incarnations = incarnations | 1; backup_fence[0] = 0; backup_high_water_mark[0] = 0
            :: incarnations = incarnations | 2; backup_fence[1] = 0; backup_high_water_mark[1] = 0
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
