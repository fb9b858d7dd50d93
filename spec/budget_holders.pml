/*
 * Which gateway may grant turns of a program without a mark in the store, while gateways freeze, are killed and stop.
 *
 * One program, gateways ranked by number, and disruptions that meet in any order. The first gateway that is up decides.
 * Each one knows a set of granted turns, one bit a turn; a grant is copied to the next gateway that is up. A process that
 * is down has forgotten all. Not modelled: lost copies, a cut before it is noticed, and two
 * gateways that decide at the same time.
 * Properties: the turns granted without a mark exceed the allowance by no more than one turn. A gateway that writes a
 * mark counts all turns but one that were granted before; if it counted fewer, the budget would be exceeded later.
 */

#define GATEWAYS 4
#ifndef DISRUPTIONS
#define DISRUPTIONS 2
#endif
#define ALLOWANCE 3
#define MAX_TURNS 6                 /* more are never granted before the assertion fails */

#define UP 0
#define FROZEN 1
#define DOWN 2                      /* killed */
#define STOPPED 3                   /* stopped in order */

byte state[GATEWAYS];
byte known[GATEWAYS];               /* turns that the gateway knows */
bool has_record[GATEWAYS];
bool owns[GATEWAYS];
byte limit[GATEWAYS];               /* turns of the record that may be granted without a mark, all gateways together */
bool restricted[GATEWAYS];          /* the limit was lowered to one more turn, as others may grant too */
bool complete[GATEWAYS];            /* the copy is kept up to date */
byte presumed[GATEWAYS];            /* turns that count as granted although the gateway does not know them */
bool lost[GATEWAYS];                /* the others count it as lost */
bool self_lost[GATEWAYS];           /* it counts itself as lost */
byte granted, disruptions;

inline count(set, result)
{
    result = (set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1) + ((set >> 4) & 1) + ((set >> 5) & 1)
}

/* The presumed turns that are left when `more` turns have become known. */
inline explain(turns, more, result)
{
    result = (turns > (more) -> turns - (more) : 0)
}

/* Joins the record of gateway `from` with that of gateway `to`. */
inline join_record(to, from)
{
    if
    :: !has_record[to] || limit[from] < limit[to] -> limit[to] = limit[from]
    :: else
    fi;
    count(known[to], before);
    count(known[from], others);
    known[to] = known[to] | known[from];
    count(known[to], joined);
    explain(presumed[to], joined - before, before);
    explain(presumed[from], joined - others, others);
    presumed[to] = (before > others -> before : others);
    has_record[to] = true;
    complete[to] = complete[to] || complete[from] || owns[from]
}

/* Copies at gateways that are not among the first two any more are not kept up to date. */
inline drop_former_copies()
{
    rank = 0;
#ifndef BROKEN_COPIES_STAY_COMPLETE
    for (k : 0 .. GATEWAYS - 1) {
        if
        :: state[k] == UP ->
            if
            :: rank >= 2 -> complete[k] = false
            :: else
            fi;
            rank++
        :: else
        fi
    }
#endif
}

/* Whether gateway g would have the record: it is one of the first two among those that are up or were lost. */
inline would_have_record(g, result)
{
    rank = 0;
    for (k : 0 .. g - 1) {
        if
        :: state[k] == UP || lost[k] -> rank++
        :: else
        fi
    }
    result = !self_lost[g] && rank < 2
}

/* The first gateway other than `self` that is up, from `start` on, or GATEWAYS. */
inline next_up(self, start, result)
{
    result = start;
    do
    :: result < GATEWAYS && (result == self || state[result] != UP) -> result++
    :: else -> break
    od
}

inline ask_others(g)
{
    found = has_record[g];
    for (m : 0 .. GATEWAYS - 1) {
        if
        :: m != g && state[m] == UP ->
            would_have_record(m, certain);
            others_certain = others_certain || certain;
            if
            :: has_record[m] ->
                join_record(g, m);
                found = true;
#ifdef BROKEN_OLD_COPY
                owns[g] = owns[g] || certain
#else
                owns[g] = owns[g] || (certain && (owns[m] || complete[m]))
#endif
            :: else
            fi
        :: else
        fi
    }
}

inline decide(g)
{
    others_certain = false;
    found = has_record[g];
    if
    :: owns[g] -> skip
    :: else ->
        would_have_record(g, certain);
        if
        :: !has_record[g] && certain -> owns[g] = true      /* a new program */
#ifdef BROKEN_NO_COMPARISON
        :: has_record[g] -> skip
        :: !has_record[g] && !certain ->
#else
        :: has_record[g] || !certain ->
#endif
            ask_others(g);
            if
            :: !found && others_certain -> owns[g] = true
            :: !found && !others_certain ->
                owns[g] = true; limit[g] = 0; has_record[g] = true;
                presumed[g] = ALLOWANCE - 1
            :: else
            fi;
#ifndef BROKEN_OLD_COPY
            if
            :: has_record[g] && !owns[g] && !complete[g] ->
                count(known[g], a);
                a = a + presumed[g];
                limit[g] = (limit[g] > ALLOWANCE - 1 -> limit[g] : ALLOWANCE - 1);
                presumed[g] = presumed[g] + (limit[g] > a -> limit[g] - a : 0);
                limit[g] = 0;
                complete[g] = true
            :: else
            fi
#endif
        fi
    fi;
    count(known[g], a);
    a = a + presumed[g];
    if
    :: !has_record[g] -> has_record[g] = true; limit[g] = ALLOWANCE
    :: else
    fi;
    if
    :: !owns[g] && !restricted[g] ->
        restricted[g] = true;
        if
        :: a + 1 < limit[g] -> limit[g] = a + 1
        :: else
        fi
    :: else
    fi;
    if
    :: a < limit[g] ->
        assert(granted < ALLOWANCE + 1);
        known[g] = known[g] | (1 << granted);
        owns[g] = true;
        granted++;
        next_up(g, 0, other);
        if
        :: other < GATEWAYS -> join_record(other, g)
        :: else
        fi
    :: else -> assert(granted <= a + 1)     /* a mark is written; the turns that need it are not modelled */
    fi
}

inline forget(g)
{
    known[g] = 0;
    presumed[g] = 0;
    complete[g] = false;
    has_record[g] = false;
    owns[g] = false;
    restricted[g] = false;
    limit[g] = 0
}

inline hand_over(g)
{
#ifdef BROKEN_HANDOVER_OF_OWNED
    /* Only what the gateway has granted itself, to the next one only, which does not own it then. */
    if
    :: owns[g] ->
        next_up(g, 0, other);
        if
        :: other < GATEWAYS -> join_record(other, g)
        :: else
        fi
    :: else
    fi
#else
    if
    :: has_record[g] ->
        next_up(g, 0, other);
        if
        :: other < GATEWAYS ->
            join_record(other, g);
#ifdef BROKEN_TRANSFER_OF_COPIES
            owns[other] = true;
#else
            owns[other] = owns[other] || owns[g];
#endif
            other++;
            next_up(g, other, second);
            if
            :: second < GATEWAYS -> join_record(second, g)
            :: else
            fi
        :: else
        fi
    :: else
    fi
#endif
}

init {
    byte g, k, m, a, rank, other, second, before, others, joined;
    bool certain, found, others_certain;
    do
    :: granted < MAX_TURNS ->
        atomic {
            next_up(GATEWAYS, 0, g);
            if
            :: g < GATEWAYS -> decide(g)
            :: else
            fi
        }
    :: disruptions < DISRUPTIONS ->
        atomic {
            select(g : 0 .. GATEWAYS - 1);
            if
            :: state[g] == UP -> state[g] = FROZEN; lost[g] = true; disruptions++
            :: state[g] == UP -> forget(g); state[g] = DOWN; lost[g] = true; disruptions++
            :: state[g] == UP -> state[g] = STOPPED; hand_over(g); forget(g); disruptions++
            :: else
            fi
        }
    :: atomic {
            select(g : 0 .. GATEWAYS - 1);
            if
            :: state[g] == FROZEN ->
                state[g] = UP;
#ifndef BROKEN_WOKEN_COUNTS_AS_REPLICA
                self_lost[g] = true;
#endif
#ifndef BROKEN_OWNS_OVER_PAUSE
                owns[g] = false;
#endif
                complete[g] = false;
                drop_former_copies()
            :: state[g] == DOWN || state[g] == STOPPED ->
                state[g] = UP; self_lost[g] = true; lost[g] = true;
                drop_former_copies()
            :: else
            fi
       }
    od
}
