/*
 * Which gateway may grant turns of a program without a mark in the store, while gateways freeze, are killed and stop.
 *
 * One program, gateways ranked by number, and disruptions that meet in any order. The first gateway that is up decides.
 * Each one knows a set of granted turns, one bit a turn; a grant is copied to the next gateway that is up. A process that
 * is down has forgotten all. Not modelled: lost copies, a cut before it is noticed, and two
 * gateways that decide at the same time.
 * Property: the turns granted without a mark exceed the allowance by no more than one turn.
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
bool lost[GATEWAYS];                /* the others count it as lost */
bool self_lost[GATEWAYS];           /* it counts itself as lost */
byte granted, disruptions;

inline count(set, result)
{
    result = (set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1) + ((set >> 4) & 1) + ((set >> 5) & 1)
}

/* Joins the record of gateway `from` with that of gateway `to`. */
inline join_record(to, from)
{
    if
    :: !has_record[to] || limit[from] < limit[to] -> limit[to] = limit[from]
    :: else
    fi;
    known[to] = known[to] | known[from];
    has_record[to] = true
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
                owns[g] = owns[g] || certain
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
            :: !found && !others_certain -> owns[g] = true; limit[g] = 0; has_record[g] = true
            :: else
            fi
        fi
    fi;
    count(known[g], a);
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
    :: else
    fi
}

inline forget(g)
{
    known[g] = 0;
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
    byte g, k, m, a, rank, other, second;
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
                owns[g] = false
#endif
            :: state[g] == DOWN || state[g] == STOPPED -> state[g] = UP; self_lost[g] = true; lost[g] = true
            :: else
            fi
       }
    od
}
