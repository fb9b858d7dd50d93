/*
 * Budget of a sub-agent: a program grants a share to a child program in another partition, which returns the remainder.
 *
 * The parent and the child have two successive owners each. High-water marks and the end of the child are fenced
 * registers, which budget.pml models. The message with the remainder can be sent any number of times and arrive late.
 * Property: parent and child together never spend more than the limit of the parent.
 */

#define LIMIT 4
#define SHARE 2

/* The parent's high-water mark already equals its limit, so only the grant and the credit matter. */
byte parent_epoch = 1, child_epoch = 1;         /* highest epoch that the backups have seen */
byte parent_next = 1, child_next = 1;           /* latest epochs assigned to owners */
bool granted;
byte grant_epoch;                               /* epoch of the parent's owner that granted the share */

byte child_high_water_mark;
bool child_ended;
byte child_remainder;                           /* recorded in the entry that ends the child */

bool message_used;
byte message_remainder, message_epoch;

byte spent;

inline spend()
{
    spent++;
    assert(spent <= LIMIT)
}

proctype parent(bool first)
{
    byte epoch = first, used;
    bool credited;

end_parent:
    do
    /* A successor starts from the high-water mark, which includes the share. */
    :: atomic { epoch == 0 -> parent_next++; epoch = parent_next; parent_epoch = epoch; used = LIMIT }
    :: atomic { epoch == 1 && !granted && used + SHARE <= LIMIT ->
            granted = true;
            grant_epoch = epoch;
            used = used + SHARE
        }
    :: atomic { epoch != 0 && used < LIMIT -> used++; spend() }
#ifdef BROKEN_CREDIT_OF_FORMER_EPOCH
    :: atomic { epoch != 0 && message_used && !credited && used >= message_remainder ->
#else
#ifdef BROKEN_CREDIT_TWICE
    :: atomic { epoch != 0 && message_used && message_epoch == epoch && used >= message_remainder ->
#else
    :: atomic { epoch != 0 && message_used && message_epoch == epoch && !credited ->
#endif
#endif
            used = used - message_remainder;
            credited = true
        }
    od
}

#define may_write (epoch != 0 && granted && epoch == child_epoch && !child_ended)

proctype child(bool first)
{
    byte epoch = first, high_water_mark, used;

end_child:
    do
    :: atomic { epoch == 0 && granted ->
            child_next++;
            epoch = child_next;
            child_epoch = epoch;
            high_water_mark = child_high_water_mark;
            used = child_high_water_mark
        }
    :: atomic { may_write && high_water_mark < SHARE ->
            child_high_water_mark++;
            high_water_mark = child_high_water_mark
        }
    :: atomic { used < high_water_mark && !(child_ended && epoch == child_epoch) -> used++; spend() }
#ifdef BROKEN_RETURN_BEFORE_END
    :: atomic { epoch != 0 && granted && !child_ended && !message_used ->
            message_used = true;
            message_epoch = grant_epoch;
            message_remainder = SHARE - used;
            high_water_mark = used
        }
#endif
    :: atomic { may_write ->
            child_ended = true;
            child_remainder = SHARE - used;
            high_water_mark = used
        }
    :: atomic { epoch != 0 && child_ended && !message_used ->
            message_used = true;
            message_epoch = grant_epoch;
            message_remainder = child_remainder
        }
    od
}

init
{
    atomic {
        run parent(true);
        run parent(false);
        run child(true);
        run child(false)
    }
}
