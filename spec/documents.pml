/*
 * Documents: versions by compare-and-swap, spread between processes, also while the key-value service is down.
 *
 * One document, processes 0 to 2 that run it, operators that write it through the service. The content of a write is its
 * own number. Processes 1 and 2 start without a document, process 2 restarts. An outage is an execution without steps
 * of the service. Replies and messages carry the (version, content) pair and can be late.
 * Properties: the version at a process never goes back, a version has one content everywhere, a process that is ready
 * runs a document, a write never replaces an accepted document that its author has not seen, and a refused write has no
 * effect.
 */

#define PROCESSES 3
#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2                  /* writes by one operator */
#endif
#define WRITES (OPERATORS * ATTEMPTS)

mtype = { OK, CONFLICT, UNAVAILABLE, UNKNOWN };

byte version = 1, content;          /* the document in the key-value service */
byte contents[WRITES + 2];          /* content of every version that took effect, by version */
byte last_content;
byte refused;                       /* set of contents whose author was told that they are refused */

bool late_used;                     /* a write that can take effect later */
byte late_expected, late_content;

byte running[PROCESSES], running_content[PROCESSES], known[PROCESSES];
bool ready[PROCESSES];

bool message_used;
byte message_to, message_version, message_content;

/* A new version ends every late write, because versions are never used twice. */
inline apply(c, base)
{
    assert(!((refused >> c) & 1));
    assert(base == version);        /* the author has seen the document that the write replaces */
    late_used = false;
    late_expected = 0;
    late_content = 0;
    version++;
    content = c;
    contents[version] = c
}

/* Heartbeats announce versions; a process never runs a version below one that it knows of. */
inline install(p, v, c)
{
    if
#ifdef BROKEN_INSTALL_OLDER
    :: true ->
#else
    :: v > running[p] && v >= known[p] ->
#endif
        assert(v >= running[p]);
        running[p] = v;
        running_content[p] = c;
        known[p] = (v > known[p] -> v : known[p]);
        assert(c == contents[v])
    :: else
    fi
}

#define has_taken_effect(c) (contents[2] == (c) || contents[3] == (c))

/* A refused write has not taken effect and never will. */
inline refuse()
{
    refused = refused | (1 << written);
    assert(!has_taken_effect(written))
}

/* After a lost reply, a conflict does not tell whether the write took effect before it was replaced. */
#ifdef BROKEN_CONFLICT_AFTER_LOST_REPLY
#define is_refused (result == CONFLICT || result == UNAVAILABLE)
#else
#define is_refused ((result == CONFLICT || result == UNAVAILABLE) && !lost)
#endif

proctype operator()
{
    byte base, attempt, written;
    bool lost;
    mtype result;

end_operator:
    do
    :: atomic { attempt < ATTEMPTS && base == 0 ->
            base = version;
            attempt++;
            last_content++;
            written = last_content
        }
#ifdef BROKEN_INSTALL_BEFORE_CONFIRMED
    :: atomic { base != 0 && base + 1 > running[0] -> install(0, base + 1, written) }
#endif
    :: atomic { base != 0 ->
            if
#ifdef BROKEN_BLIND_WRITE
            :: apply(written, base); result = OK
#else
            :: version == base -> apply(written, base); result = OK
            :: version == base -> apply(written, base); lost = true
            :: version == base && !late_used ->
                late_used = true;
                late_expected = base;
                late_content = written;
                lost = true
            :: version != base && content == written -> result = OK     /* read-back of its own write */
            :: version != base && content != written -> result = CONFLICT
            :: !lost -> result = UNAVAILABLE
#endif
            :: lost -> result = UNKNOWN                                 /* the operator is told so */
            fi;
            if
            :: is_refused -> refuse()
            :: else
            fi;
            if
            :: result != 0 -> base = 0; written = 0; lost = false; result = 0
            :: else
            fi
        }
    od
}

inline fetch_from_service(p)
{
    if
    :: install(p, version, content)
    :: !message_used -> message_used = true; message_to = p; message_version = version; message_content = content
    fi
}

/* A process asks a peer, or hears the peer's heartbeat and fetches the body from it. */
inline ask(p, q)
{
    if
    :: known[p] = (running[q] > known[p] -> running[q] : known[p]);
        install(p, running[q], running_content[q])
    :: known[p] = (running[q] > known[p] -> running[q] : known[p])      /* heartbeat only, the fetch fails */
    :: !message_used && running[q] != 0 ->
        message_used = true;
        message_to = p;
        message_version = running[q];
        message_content = running_content[q]
    fi
}

#ifdef BROKEN_UNREADY_PEER_ANSWERS
#define can_answer(q) true
#else
#define can_answer(q) ready[q]
#endif

#ifdef BROKEN_UNREADY_PEER_ANSWERS
#define set_answered() answered = true
#else
#define set_answered() skip
#endif

#ifdef BROKEN_READY_BELOW_KNOWN
#define may_start(p) (running[p] != 0)
#else
#ifdef BROKEN_UNREADY_PEER_ANSWERS
#define may_start(p) (answered && running[p] >= known[p])
#else
#define may_start(p) (running[p] != 0 && running[p] >= known[p])
#endif
#endif

proctype process(byte p; byte q; byte r)
{
    bool answered, restarted;

end_process:
    do
    :: atomic { fetch_from_service(p); set_answered() }
    :: atomic { can_answer(q) -> ask(p, q); set_answered() }
    :: atomic { can_answer(r) -> ask(p, r); set_answered() }
    :: atomic { !ready[p] && may_start(p) ->
            ready[p] = true;
            assert(running[p] != 0);
            assert(running[p] >= known[p])
        }
    :: atomic { p == 2 && !restarted ->
            restarted = true;
            answered = false;
            ready[p] = false;
            running[p] = 0;
            running_content[p] = 0;
            known[p] = 0
        }
    od
}

proctype environment()
{
    byte c, base;

end_environment:
    do
    :: atomic { late_used && late_expected == version ->
            c = late_content;
            base = late_expected;
            apply(c, base);
            c = 0;
            base = 0
        }
    :: atomic { message_used ->
            install(message_to, message_version, message_content);
            message_used = false;
            message_to = 0;
            message_version = 0;
            message_content = 0
        }
    od
}

init
{
    atomic {
        byte i;
        running[0] = 1;
        known[0] = 1;
        ready[0] = true;
        run process(0, 1, 2);
        run process(1, 0, 2);
        run process(2, 0, 1);
        for (i : 1 .. OPERATORS) { run operator() }
        run environment()
    }
}
