/*
 * Turns of conversations at history nodes. A turn is confirmed to the caller once LOSSES + 1 nodes have it on their
 * disks. Nodes lose their disks, are unreachable and lose power; no more than LOSSES are lost at the same time. A node
 * counts as lost until it has copied the turns of the others. One node can be emptied and removed, which is no loss.
 *
 * Properties: a confirmed turn stays at some node, and no reader is told that it does not exist.
 */

#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef NODES
#define NODES 3
#endif
#ifndef OUTAGES
#define OUTAGES 0
#endif
#ifndef WIPES
#define WIPES 2
#endif

#ifdef BROKEN_ONE_COPY_TOO_FEW
#define NEEDED LOSSES
#else
#define NEEDED (LOSSES + 1)
#endif

bool member[NODES], up[NODES];
bool in_memory[NODES], on_disk[NODES];
bool lost_disk[NODES];              /* the disk was lost, and not all turns are copied yet */
byte copied[NODES];                 /* bit set of the nodes that were copied since then */
byte confirmations;
bool confirmed;
byte lost, wipes, outages;
bool retiring, power_lost;
bool put_began, put_ended;          /* no confirmation counts after the end */

#define bit(n) (1 << (n))
#define has(n) (in_memory[n])

byte m_;

inline count_missing(n, result) {
    result = 0;
    for (m_ : 0 .. NODES - 1) {
        if
        :: m_ != n && member[m_] && !(copied[n] & bit(m_)) -> result++
        :: else
        fi
    }
    m_ = 0
}

/* One put: each node may receive it, in any order and with any delay. Its confirmation may be lost. */
proctype put(byte n)
{
end:
    atomic {
        up[n] && member[n] && !(retiring && n == 0) ->
        put_began = true;
        in_memory[n] = true;
#ifndef BROKEN_ACK_BEFORE_SYNC
        on_disk[n] = true;
#endif
        if
        :: !put_ended -> confirmations++
        :: true
        fi;
        if
        :: confirmations >= NEEDED -> confirmed = true
        :: else
        fi
    }
#ifdef BROKEN_ACK_BEFORE_SYNC
    on_disk[n] = in_memory[n]
#endif
}

proctype end_of_put()
{
    put_ended = true
}

proctype node(byte n)
{
    byte missing, m;
end:
    do
    :: atomic { /* loses its disk; it may lack a put that is on its way */
        member[n] && up[n] && !lost_disk[n] && lost < LOSSES && wipes < WIPES && !power_lost ->
        wipes++;
        lost++;
        in_memory[n] = false;
        on_disk[n] = false;
        lost_disk[n] = true;
        copied[n] = 0
    }
    :: atomic { /* is unreachable for a time */
        member[n] && up[n] && !lost_disk[n] && lost < LOSSES && outages < OUTAGES ->
        outages++;
        lost++;
        up[n] = false
    }
    :: atomic { !up[n] && member[n] -> up[n] = true; lost-- }
    :: atomic { /* copies the turns of another node */
        lost_disk[n] && up[n] ->
        if
        :: m = 0
        :: m = 1
        :: m = 2
#if NODES > 3
        :: m = 3
#endif
        fi;
        if
        :: m != n && member[m] && up[m] ->
            in_memory[n] = in_memory[n] || has(m);
            on_disk[n] = on_disk[n] || has(m);
            /* A put that the node had confirmed before it lost its disk may not be at the other one yet. */
            if
#ifdef BROKEN_COPY_ONCE
            :: !lost_disk[m] -> copied[n] = copied[n] | bit(m)
#else
            :: !lost_disk[m] && (put_ended || !put_began) -> copied[n] = copied[n] | bit(m)
#endif
            :: else
            fi
        :: else
        fi;
        m = 0
    }
    :: atomic { /* has copied enough */
        lost_disk[n] && up[n] ->
        count_missing(n, missing);
        if
        :: missing + 1 <= LOSSES -> lost_disk[n] = false; copied[n] = 0; lost--
        :: else
        fi;
        missing = 0
    }
    od
}

/* All nodes lose power: what was not synced is gone. */
proctype power_loss()
{
    byte n;
    atomic {
        power_lost = true;
        for (n : 0 .. NODES - 1) {
            in_memory[n] = on_disk[n]
        }
    }
}

/* Node 0 is emptied and removed. */
proctype retire()
{
    byte n;
end:
    atomic { up[0] && !lost_disk[0] && lost == 0 -> retiring = true }
end_copy:
    atomic {
        up[0] && !lost_disk[0] && lost == 0 ->
#ifndef BROKEN_RETIRE_BEFORE_COPIES
        for (n : 1 .. NODES - 1) {
            in_memory[n] = in_memory[n] || has(0);
            on_disk[n] = on_disk[n] || has(0)
        }
#endif
        member[0] = false;
        in_memory[0] = false;
        on_disk[0] = false
    }
}

proctype reader()
{
    byte n, known, not_found;
    bool found, was_confirmed;
    atomic { was_confirmed = confirmed; known = 0 }
    for (n : 0 .. NODES - 1) {
        atomic {
            if
            :: member[n] ->
                known++;
                if
                :: up[n] && has(n) -> found = true
#ifdef BROKEN_EMPTY_NODE_ANSWERS
                :: up[n] && !has(n) -> not_found++
#else
                :: up[n] && !has(n) && !lost_disk[n] -> not_found++
#endif
                :: else
                fi
            :: else
            fi
        }
    }
#ifdef BROKEN_404_FROM_ONE_NODE
    assert(!(was_confirmed && !found && not_found >= 1))
#else
    assert(!(was_confirmed && !found && not_found >= 1 && known - not_found <= LOSSES))
#endif
}

#define kept (in_memory[0] || in_memory[1] || in_memory[2])

active proctype monitor()
{
end:
    atomic { confirmed && !kept -> assert(false) }
}

init {
    byte n;
    atomic {
        for (n : 0 .. NODES - 1) {
            member[n] = true;
            up[n] = true
        }
        for (n : 0 .. NODES - 1) {
            run put(n);
            run node(n)
        }
        run reader();
        run end_of_put();
#ifdef POWER_LOSS
        run power_loss();
#endif
#ifdef RETIRE
        run retire()
#endif
    }
}
