/*
 * Budget of a gateway: a bounded amount can be spent without a high-water mark in the store. The store must hold a
 * high-water mark before more is spent.
 *
 * One program, a first owner that knows that nothing was spent, and successors that have lost its record. They start at
 * any time and run concurrently, as after a network partition. A process that takes no further step models a crash.
 * Property: the turns granted by all owners exceed the budget by no more than one turn.
 */

#ifndef OWNERS
#define OWNERS 3
#endif

#define BUDGET 6
#define MAX_UNRECORDED 2            /* amount that counts as spent when the record is lost */
#define TURN 1                      /* maximum cost of a turn */
#define COARSE_LIMIT 4              /* up to here a high-water mark covers several turns */
#define max(a, b) ((a) > (b) -> (a) : (b))
#define min(a, b) ((a) < (b) -> (a) : (b))

byte high_water_mark, revision;     /* in the store */
byte spent;                         /* sum over all owners */

proctype owner(bool first)
{
    byte used, known_high_water_mark, known_revision, target;
    byte unrecorded = 0;

#ifdef BROKEN_SUCCESSOR_STARTS_AT_ZERO
    unrecorded = MAX_UNRECORDED;
#else
    if
    :: first -> unrecorded = MAX_UNRECORDED + TURN
    :: else -> used = MAX_UNRECORDED    /* the lost record may have granted this amount */
    fi;
#endif
    do
    :: used + TURN > BUDGET -> break
    :: used + TURN <= BUDGET && used + TURN <= max(unrecorded, known_high_water_mark) ->
        atomic {
            used = used + TURN;
            spent = spent + TURN;
            assert(spent <= BUDGET + TURN)
        }
    :: used + TURN <= BUDGET && used + TURN > max(unrecorded, known_high_water_mark) ->
        target = max(used + TURN, min(used + TURN + MAX_UNRECORDED, COARSE_LIMIT));
        atomic {
            if
#ifdef BROKEN_BLIND_WRITE
            :: true ->
#else
            :: revision == known_revision ->
#endif
                high_water_mark = target;
                revision++;
                known_revision = revision;
                known_high_water_mark = target
#ifndef BROKEN_BLIND_WRITE
            :: else ->
                known_revision = revision;
                if
                :: high_water_mark > known_high_water_mark ->
#ifndef BROKEN_MARK_OF_FORMER_PROCESS
                    used = max(used, high_water_mark);
#endif
                    unrecorded = 0;
                    known_high_water_mark = high_water_mark
                :: else
                fi
#endif
            fi
        }
    od
}

init {
    byte n;
    atomic {
        run owner(true);
        for (n : 2 .. OWNERS) {
            run owner(false)
        }
    }
}
