/*
 * Turns and history: replication to the backups listed in the head record, fencing by epoch, change of the backup list.
 *
 * One program with two turns. Every attempt of a turn has a unique content (1, 2, ...). A replica holds the whole chain
 * of turns. A process that takes no further step models a crash. A process that takes its next step late models a
 * pause. A message that is never delivered models an unreachable backup.
 * Acknowledgement rules:
 *   default    one backup in the head's list must acknowledge; a successor must fence every backup in the previous list
 *   ALL_ACKS   every backup in the head's list must acknowledge; a successor must fence one of them
 * PUBLISH: before it serves, a successor writes the merged chain into the head and sets its epoch as ready, instead of
 * replicating the chain. A merge uses only replicas of the epoch that was last ready.
 * Properties: an acknowledged turn keeps its content, and every later owner that serves has the turn.
 */

#ifndef OWNERS
#define OWNERS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3                  /* total number of attempts, and so of contents */
#endif
#ifndef SEALS
#define SEALS 1
#endif
#ifndef CHANGES
#define CHANGES 0                   /* number of changes of the backup list */
#endif
#ifndef RESTARTS
#define RESTARTS 0                  /* backups that restart with empty memory */
#endif
#ifndef LATE_MESSAGES
#define LATE_MESSAGES true
#endif
#ifndef LATE_WRITES
#define LATE_WRITES true
#endif

#define BACKUPS 3
#define bit(i) (1 << (i))
#define has(set, i) (((set) >> (i)) & 1)
#define contains(set, part) (((set) & (part)) == (part))

mtype = { NONE, SEALING, FENCING, PUSHING, SERVING };
mtype = { OK, CONFLICT, UNAVAILABLE, UNKNOWN, LOST };
mtype = { SYNCING, WRITING };

/* Head record. Lists are sets of backups. A set of incarnations has one bit for each backup. */
byte head_version = 1, head_epoch = 1, head_write, head_list = 3, head_incarnations;
byte writes_in_use;
#ifdef PUBLISH
byte head_ready = 1, head_one, head_two;
byte late_ready, late_one, late_two;
#endif
#ifdef BROKEN_SKIP_GONE
byte head_recorded;                 /* number of turns recorded in the head (entries written asynchronously) */
#endif

bool late_used;                     /* a delayed write of the head that can still take effect */
byte late_expected, late_epoch, late_write, late_list, late_incarnations;

/* Backups: highest epoch seen, and the stored chain with the epoch and the sequence number of its message. */
byte incarnations, gone, restarts;
byte backup_fence[BACKUPS], backup_epoch[BACKUPS], backup_sequence[BACKUPS], backup_one[BACKUPS], backup_two[BACKUPS];

bool message_used;                  /* a delayed replication message */
byte message_to, message_incarnation, message_epoch, message_sequence, message_one, message_two;

byte attempts, seals, changes;

/* Turns acknowledged to callers, and the chain with which the latest owner started to serve. */
byte acknowledged_one, acknowledged_two;
byte active_epoch = 1, active_one, active_two;

inline acknowledge_one(content)
{
    assert(acknowledged_one == 0 || acknowledged_one == (content));
    assert(epoch >= active_epoch || active_one == (content));
    acknowledged_one = content
}

inline acknowledge_two(content)
{
    assert(acknowledged_one == 0 || acknowledged_one == one);
    assert(acknowledged_two == 0 || acknowledged_two == (content));
    assert(epoch >= active_epoch || active_two == (content));
    acknowledged_two = content
}

inline forget_late()
{
    late_used = false;
    late_expected = 0;
    late_epoch = 0;
    late_write = 0;
    late_list = 0;
#ifdef PUBLISH
    late_ready = 0;
    late_one = 0;
    late_two = 0;
#endif
    late_incarnations = 0
}

/* After a new version no delayed write can take effect, because versions are never reused. */
inline apply_head(e, w, l, i)
{
    forget_late();
    head_version++;
    head_epoch = e;
    head_write = w;
    head_list = l;
    head_incarnations = i
}

inline apply_ready(ready, c1, c2)
{
#ifdef PUBLISH
    if
    :: ready != 0 -> head_ready = ready; head_one = c1; head_two = c2
    :: else
    fi
#else
    skip
#endif
}

/* A write id that occurs nowhere in the state is equivalent to a new one. */
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

inline end_write()
{
    writes_in_use = writes_in_use & ~bit(write);
    write = 0;
    unresolved = false
}

#define published ((phase == PUSHING) * epoch)

/*
 * One attempt of the write in flight and, after a lost response or a conflict, the read-back. If the version is
 * unchanged, the write stays unresolved: the result is UNKNOWN and the identical write is repeated.
 */
inline attempt_write(l, i)
{
    if
    :: head_version == version -> apply_head(epoch, write, l, i); apply_ready(published, one, two); result = OK
    :: head_version == version -> apply_head(epoch, write, l, i); apply_ready(published, one, two); result = UNKNOWN
    :: head_version != version -> result = CONFLICT
    :: result = UNAVAILABLE
    :: !late_used && LATE_WRITES && head_version == version ->
        late_used = true;
        late_expected = version;
        late_epoch = epoch;
        late_write = write;
        late_list = l;
        late_incarnations = i;
#ifdef PUBLISH
        late_ready = published;
        late_one = one;
        late_two = two;
#endif
        result = UNKNOWN
    fi;
    if
    :: result == OK -> version = head_version
    :: result == UNAVAILABLE && !unresolved
    :: else ->
        unresolved = true;
        if
#ifdef BROKEN_RESOLVE_BY_EPOCH
        :: head_version != version && head_epoch == epoch -> version = head_version; result = OK
        :: head_version != version && head_epoch != epoch -> result = LOST
#else
        :: head_write == write -> version = head_version; result = OK
        :: head_write != write && head_version != version -> result = LOST
#endif
        :: head_version == version -> result = UNKNOWN
        fi
    fi
}

#ifdef BROKEN_NO_INCARNATION
#define same_incarnation(b, i) true
#else
#define same_incarnation(b, i) (has(incarnations, b) == (i))
#endif
#ifdef BROKEN_NO_EPOCH_CHECK
#define epoch_allowed(b, e) true
#else
#define epoch_allowed(b, e) ((e) >= backup_fence[b])
#endif
#ifdef BROKEN_NO_SEQUENCE
#define is_newer(b, e, s) true
#else
#define is_newer(b, e, s) ((e) > backup_epoch[b] || (s) >= backup_sequence[b])
#endif
#define accepts(b, i, e, s) (!has(gone, b) && same_incarnation(b, i) && epoch_allowed(b, e) && is_newer(b, e, s))

inline store(b, e, s, c1, c2)
{
    backup_fence[b] = (e > backup_fence[b] -> e : backup_fence[b]);
    backup_epoch[b] = e;
    backup_sequence[b] = s;
    backup_one[b] = c1;
    backup_two[b] = c2
}

/* The chain including the turn that is being replicated. */
#define sent_one (one + (one == 0) * turn)
#define sent_two (two + (one != 0 && two == 0) * turn)

/*
 * Sends the current state to backup b of incarnation i. The message is acknowledged, stored without acknowledgement,
 * delayed or lost.
 */
inline replicate(b, i)
{
    if
    :: accepts(b, i, epoch, sequence) ->
        store(b, epoch, sequence, sent_one, sent_two);
        if
        :: has(list, b) && has(list_incarnations, b) == i -> list_acks = list_acks | bit(b)
        :: else
        fi;
        if
        :: has(next_list, b) && has(next_incarnations, b) == i -> next_acks = next_acks | bit(b)
        :: else
        fi
    :: accepts(b, i, epoch, sequence) -> store(b, epoch, sequence, sent_one, sent_two)
    :: LATE_MESSAGES && !message_used && !has(gone, b) && epoch >= backup_fence[b] ->
        message_used = true;
        message_to = b;
        message_incarnation = i;
        message_epoch = epoch;
        message_sequence = sequence;
        message_one = sent_one;
        message_two = sent_two
    :: true
    fi
}

#define list_member(b) (has(list, b) && !has(list_acks, b))
#define next_member(b) (has(next_list, b) && !has(next_acks, b))

inline replicate_to_one()
{
    if
    :: true
    :: list_member(0) -> replicate(0, has(list_incarnations, 0))
    :: list_member(1) -> replicate(1, has(list_incarnations, 1))
    :: next_member(0) -> replicate(0, has(next_incarnations, 0))
    :: next_member(1) -> replicate(1, has(next_incarnations, 1))
#if CHANGES > 0 || defined(BROKEN_SEAL_NAMES_NEW_LIST)
    :: list_member(2) -> replicate(2, has(list_incarnations, 2))
    :: next_member(2) -> replicate(2, has(next_incarnations, 2))
#endif
    fi
}

#ifdef ALL_ACKS
#define enough(acks, members) contains(acks, members)
#else
#define enough(acks, members) (((acks) & (members)) != 0)
#endif

/* While a change of the list is unresolved, acknowledgements of both lists are required. */
#ifdef BROKEN_OLD_LIST_ONLY
#define stored (enough(list_acks, list))
#else
#ifdef BROKEN_NEW_LIST_ONLY
#define stored (change == WRITING -> enough(next_acks, next_list) : enough(list_acks, list))
#else
#define stored (enough(list_acks, list) && (change != WRITING || enough(next_acks, next_list)))
#endif
#endif

inline new_state()
{
    sequence++;
    list_acks = 0;
    next_acks = 0
}

inline start_turn()
{
    attempts++;
    turn = attempts;
    new_state()
}

inline commit_turn()
{
    if
    :: one == 0 -> one = turn; acknowledge_one(turn)
    :: else -> two = turn; acknowledge_two(turn)
    fi;
    turn = 0
}

inline stop()
{
    phase = NONE;
    epoch = 0;
    version = 0;
    list = 0;
    list_incarnations = 0;
    next_list = 0;
    next_incarnations = 0;
    change = 0;
    one = 0;
    two = 0;
    turn = 0;
    sequence = 0;
    best_epoch = 0;
    list_acks = 0;
    next_acks = 0;
    fenced = 0
}

inline start_seal()
{
    seals++;
    version = head_version;
    epoch = head_epoch + 1;
    list = head_list;
    list_incarnations = head_incarnations;
#ifdef PUBLISH
    one = head_one;
    two = head_two;
    best_epoch = head_ready;
#endif
    new_write();
    phase = SEALING
}

#ifdef BROKEN_SEAL_NAMES_NEW_LIST
#define sealed_list 4
#else
#define sealed_list list
#endif

inline write_seal()
{
    attempt_write(sealed_list, list_incarnations);
    if
    :: result == OK -> end_write(); phase = FENCING
    :: result == LOST || result == UNAVAILABLE -> end_write(); stop()
    :: result == UNKNOWN
    fi;
    result = 0
}

#ifdef BROKEN_LONGEST_CHAIN
#define chain_length(c1, c2) ((c1) == 0 -> 0 : ((c2) == 0 -> 1 : 2))
#define is_better(b) (chain_length(backup_one[b], backup_two[b]) > chain_length(one, two))
#else
#ifdef PUBLISH
#define is_better(b) (backup_epoch[b] == best_epoch && backup_sequence[b] > sequence)
#else
#define is_better(b) (backup_epoch[b] > best_epoch || (backup_epoch[b] == best_epoch && backup_sequence[b] > sequence))
#endif
#endif

/* Fetches the replica of backup b under the new epoch. From then on the backup refuses lower epochs. */
inline fence(b)
{
    if
    :: epoch < backup_fence[b] -> stop()
    :: else ->
        backup_fence[b] = epoch;
        fenced = fenced | bit(b);
        if
        :: is_better(b) ->
            best_epoch = backup_epoch[b];
            sequence = backup_sequence[b];
            one = backup_one[b];
            two = backup_two[b]
        :: else
        fi
    fi
}

#define can_fence(b) (has(list, b) && !has(fenced, b) && !has(gone, b) && same_incarnation(b, has(list_incarnations, b)))

inline fence_one()
{
    if
    :: true
    :: can_fence(0) -> fence(0)
    :: can_fence(1) -> fence(1)
#if CHANGES > 0 || defined(BROKEN_SEAL_NAMES_NEW_LIST)
    :: can_fence(2) -> fence(2)
#endif
    fi
}

#ifdef ALL_ACKS
#define all_fenced (fenced != 0)
#else
#ifdef BROKEN_SKIP_GONE
#define all_fenced contains(fenced | gone, list)
#else
#ifdef BROKEN_SKIP_RESTARTED
#define all_fenced contains(fenced | (incarnations ^ list_incarnations), list)
#else
#define all_fenced contains(fenced, list)
#endif
#endif
#endif

/* The merged chain is replicated under the new epoch before the successor serves. */
inline start_push()
{
    sequence = 0;
    best_epoch = 0;
#ifdef BROKEN_SEAL_NAMES_NEW_LIST
    list = sealed_list;
#endif
#ifdef ALL_ACKS
    if
    :: contains(fenced, list)
    :: else -> next_list = fenced; next_incarnations = list_incarnations; change = SYNCING
    fi;
#endif
    fenced = 0;
#ifdef PUBLISH
    list_incarnations = list & incarnations;
    new_write();
#endif
    new_state();
    phase = PUSHING
}

/* A successor that has been replaced by a later seal has an older chain, but cannot acknowledge any more turns. */
inline start_serving()
{
    phase = SERVING;
    if
    :: epoch > active_epoch ->
        assert(acknowledged_one == 0 || acknowledged_one == one);
        assert(acknowledged_two == 0 || acknowledged_two == two);
        active_epoch = epoch;
        active_one = one;
        active_two = two
    :: else
    fi
}

/* Writes the merged chain and the list with the current incarnations. */
inline write_ready()
{
    attempt_write(list, list_incarnations);
    if
    :: result == OK -> end_write(); start_serving()
    :: result == LOST -> end_write(); stop()
    :: result == UNKNOWN || result == UNAVAILABLE
    fi;
    result = 0
}

/*
 * Chooses a new list: one backup is removed or replaced. A restarted backup joins with its new incarnation. Backups 0
 * and 1 are symmetric, so the lists {1} and {1, 2} are omitted.
 */
inline choose_list()
{
    changes++;
    if
    :: next_list = 1
    :: next_list = 5
    fi;
    next_incarnations = incarnations & next_list;
    change = SYNCING;
    new_state()
}

#ifdef BROKEN_LIST_WITHOUT_SYNC
#define synchronised true
#else
#define synchronised contains(next_acks, next_list)
#endif

inline end_change()
{
    next_list = 0;
    next_incarnations = 0;
    next_acks = 0;
    change = 0
}

inline write_change()
{
    attempt_write(next_list, next_incarnations);
    if
    :: result == OK ->
        end_write();
        list = next_list;
        list_incarnations = next_incarnations;
        list_acks = next_acks;
        end_change()
    :: result == LOST -> end_write(); stop()
    :: result == UNAVAILABLE -> end_write(); end_change()
#ifdef BROKEN_UNCHANGED_IS_FAILED
    :: result == UNKNOWN -> end_write(); end_change()
#else
    :: result == UNKNOWN
#endif
    fi;
    result = 0
}

proctype process(bool first)
{
    byte epoch, version, write, list, list_incarnations, next_list, next_incarnations;
    byte one, two, turn, sequence, best_epoch, list_acks, next_acks, fenced;
    bool unresolved;
    mtype phase = NONE, change, result;

    if
    :: first -> atomic { phase = SERVING; epoch = 1; version = 1; list = 3 }
    :: else
    fi;
end_process:
    do
    :: atomic { phase == NONE && seals < SEALS && (!first || OWNERS < 3) -> start_seal() }
    :: atomic { phase == SEALING -> write_seal() }
    :: atomic { phase == FENCING -> fence_one() }
    :: atomic { phase == FENCING && all_fenced ->
#ifdef BROKEN_SKIP_GONE
            if
            :: head_recorded > (one == 0 -> 0 : (two == 0 -> 1 : 2)) -> stop()
            :: else -> start_push()
            fi
#else
            start_push()
#endif
        }
#ifdef PUBLISH
    :: atomic { phase == PUSHING -> write_ready() }
    :: atomic { phase == SERVING -> replicate_to_one() }
#else
    :: atomic { phase == PUSHING || phase == SERVING -> replicate_to_one() }
#ifdef BROKEN_SERVE_BEFORE_PUSH
    :: atomic { phase == PUSHING -> start_serving() }
#else
    :: atomic { phase == PUSHING && stored -> start_serving() }
#endif
#endif
    :: atomic { phase == SERVING && turn == 0 && two == 0 && attempts < ATTEMPTS -> start_turn() }
    :: atomic { phase == SERVING && turn != 0 && stored -> commit_turn() }
    /* Answered as not stored; the program does not advance. A sequence number is never reused for another content. */
    :: atomic { phase == SERVING && turn != 0 ->
            turn = 0;
#ifndef BROKEN_SEQUENCE_REUSED
            new_state()
#endif
        }
    /* A repeated request is answered from the chain, also by an owner that has only recovered the turn. */
    :: atomic { phase == SERVING && one != 0 && acknowledged_one != one -> acknowledge_one(one) }
    :: atomic { phase == SERVING && two != 0 && acknowledged_two != two -> acknowledge_two(two) }
#if CHANGES > 0
    :: atomic { phase == SERVING && change == 0 && changes < CHANGES -> choose_list() }
#endif
#if CHANGES > 0 || defined(ALL_ACKS)
    :: atomic { (phase == SERVING || phase == PUSHING) && change == SYNCING && synchronised ->
            change = WRITING; new_write() }
    :: atomic { change == WRITING -> write_change() }
#endif
#ifdef BROKEN_SKIP_GONE
    :: atomic { phase == SERVING && head_version == version && one != 0 -> head_recorded = (two == 0 -> 1 : 2) }
#endif
    od
}

proctype environment()
{
    byte epoch, write, list, i, ready, one, two;

end_environment:
    do
    :: atomic { late_used && head_version == late_expected ->
            epoch = late_epoch;
            write = late_write;
            list = late_list;
            i = late_incarnations;
#ifdef PUBLISH
            ready = late_ready;
            one = late_one;
            two = late_two;
#endif
            apply_head(epoch, write, list, i);
            apply_ready(ready, one, two);
            ready = 0;
            one = 0;
            two = 0;
            epoch = 0;
            write = 0;
            list = 0;
            i = 0
        }
    :: atomic { message_used ->
            if
            :: accepts(message_to, message_incarnation, message_epoch, message_sequence) ->
                store(message_to, message_epoch, message_sequence, message_one, message_two)
            :: else
            fi;
            message_used = false;
            message_to = 0;
            message_incarnation = 0;
            message_epoch = 0;
            message_sequence = 0;
            message_one = 0;
            message_two = 0
        }
#if RESTARTS > 0
    :: atomic { restarts < RESTARTS ->
            restarts++;
            if
            :: !has(incarnations, 0) -> i = 0
            :: !has(incarnations, 1) -> i = 1
            fi;
            incarnations = incarnations | bit(i);
            backup_fence[i] = 0;
            store(i, 0, 0, 0, 0);
            i = 0
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
